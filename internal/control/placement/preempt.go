package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/replica"
)

// lowerPriorityDiscount is the factor on the cost of downtime of a replica of lower
// priority when it is weighed against one of higher priority.
const lowerPriorityDiscount = 0.5

// preemptScope selects the replicas whose hosts a deployment may take.
type preemptScope int

const (
	// scopeExtras selects extra replicas of the same or lower priority.
	scopeExtras preemptScope = iota
	// scopeLowerPriority also selects all replicas of lower priority.
	scopeLowerPriority
)

// victim is a replica that may lose its hosts to another deployment.
type victim struct {
	*group
	cost float64
}

// preemptFor frees hosts for g, or for a replica that dep lacks if g is nil, from the
// replicas in scope. It reports whether hosts are being freed, or g still waits for
// its members to return.
func (p *planner) preemptFor(dep int, g *group, scope preemptScope) bool {
	for _, fabric := range p.fabricOrder(dep, g) {
		if p.preemptInFabric(dep, g, fabric, scope) {
			return true
		}
	}
	return false
}

// fabricOrder returns the fabric domains in which hosts may be freed: the degraded
// replica's own first, then those with the most hosts that are free or being freed.
func (p *planner) fabricOrder(dep int, g *group) []int {
	var order []int
	for fabric := range p.fabrics {
		if p.allowsFabric(&p.fleet.Deployments[dep], fabric) {
			order = append(order, fabric)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if g != nil && (a == g.fabric) != (b == g.fabric) {
			return boolToInt(b == g.fabric) - boolToInt(a == g.fabric)
		}
		return cmp.Compare(p.availableHosts(b), p.availableHosts(a))
	})
	return order
}

// availableHosts counts the hosts of a fabric domain that are free or being freed.
func (p *planner) availableHosts(fabric int) int {
	return len(p.fabrics[fabric].free) + p.fabrics[fabric].beingFreed
}

// preemptInFabric does what preemptFor does within one fabric domain.
func (p *planner) preemptInFabric(dep int, g *group, fabric int, scope preemptScope) bool {
	need := p.fleet.Deployments[dep].HostsPerReplica
	if g != nil && g.fabric == fabric {
		need = max(0, need-len(p.reusableSurvivors(g, false)))
	}
	if p.availableHosts(fabric) < need {
		victims := p.victims(dep, fabric, need-p.availableHosts(fabric), scope)
		if victims == nil || !p.preemptionPaysOff(dep, g, victims) {
			return false
		}
		if until := p.preemptNotBefore(dep, g, victims); p.now.Before(until) {
			p.emitWait(g, until, ReasonMemberMayReturn)
			return true
		}
		for _, v := range victims {
			p.endGroup(v.group, ReasonPreempted)
		}
	}
	w := Wait{Deployment: p.fleet.Deployments[dep].Spec.Deployment, Reason: ReasonHostsBeingFreed}
	if g != nil {
		w.Replica = g.ID
	}
	p.reserveAndWait(w, p.reserveHosts(fabric, need))
	return true
}

// preemptNotBefore returns until when waiting for g's members is better than preempting
// the victims and rebuilding g with their hosts.
func (p *planner) preemptNotBefore(dep int, g *group, victims []victim) time.Time {
	if g == nil {
		return p.now
	}
	var hosts []int
	for _, v := range victims {
		hosts = append(hosts, v.survivors...)
	}
	load, _ := p.loadTime(&p.fleet.Deployments[dep], hosts)
	return p.holdUntil(g, p.policy.DrainTime+load)
}

// reserveHosts reserves count hosts of a fabric domain, free ones first, and returns
// the free ones among them. The others are subtracted from the hosts being freed.
func (p *planner) reserveHosts(fabric, count int) []int {
	f := &p.fabrics[fabric]
	now := min(count, len(f.free))
	f.beingFreed -= count - now
	return slices.Clone(f.free[:now])
}

// victims returns the cheapest replicas of a fabric domain that deployment dep may
// preempt and that together free at least count hosts, or nil.
func (p *planner) victims(dep, fabric, count int, scope preemptScope) []victim {
	var all []victim
	for i := range p.groups {
		v := &p.groups[i]
		if v.fabric == fabric && p.mayPreempt(dep, v, scope) {
			all = append(all, victim{group: v, cost: p.downtimeCost(v)})
		}
	}
	slices.SortFunc(all, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.ID, b.ID))
	})
	var chosen []victim
	for _, v := range all {
		if p.outranks(dep, v.dep, scope) || countVictims(chosen, v.dep) < p.extras[v.dep] {
			chosen = append(chosen, v)
			count -= len(v.survivors)
		}
		if count <= 0 {
			return chosen
		}
	}
	return nil
}

// countVictims counts the victims of deployment dep.
func countVictims(chosen []victim, dep int) int {
	count := 0
	for _, v := range chosen {
		if v.dep == dep {
			count++
		}
	}
	return count
}

// outranks reports whether dep may take hosts even of those replicas that deployment
// other wants.
func (p *planner) outranks(dep, other int, scope preemptScope) bool {
	return scope == scopeLowerPriority && p.fleet.Deployments[other].Priority < p.fleet.Deployments[dep].Priority
}

// mayPreempt reports whether dep may take the hosts of v.
func (p *planner) mayPreempt(dep int, v *group, scope preemptScope) bool {
	if v.dep < 0 || v.dep == dep || p.evacuated(v) {
		return false
	}
	if !v.serving() && !v.loading() {
		return false
	}
	if p.outranks(dep, v.dep, scope) {
		return true
	}
	extra := p.extras[v.dep] > 0
	return extra && p.fleet.Deployments[v.dep].Priority <= p.fleet.Deployments[dep].Priority
}

// downtimeCost returns the cost of one second without v.
func (p *planner) downtimeCost(v *group) float64 {
	d := &p.fleet.Deployments[v.dep]
	cost := d.StrandedCost * float64(p.accelerators(v.survivors))
	if v.State == replica.StateServing && p.extras[v.dep] <= 0 {
		cost += lowerPriorityDiscount * d.DowntimeCost
	}
	return cost
}

// preemptionPaysOff reports whether ending the victims saves more than it costs. The
// accelerators of all hosts freed count as stranded on the side of the cost and as no
// longer stranded on the side of the gain.
func (p *planner) preemptionPaysOff(dep int, g *group, victims []victim) bool {
	d := &p.fleet.Deployments[dep]
	lost := 0.0
	freed := 0
	for _, v := range victims {
		lost += v.cost
		freed += p.accelerators(v.survivors)
	}
	expectedWait := p.policy.HostReturn.LongMean
	rebuild := p.policy.DrainTime + p.copyTime(d, 1)
	gain := d.DowntimeCost
	if g != nil {
		expectedWait = p.expectedReturn(g)
		gain += d.StrandedCost * float64(p.accelerators(g.survivors))
	}
	gain += d.StrandedCost * float64(freed)
	saved := (expectedWait - rebuild).Seconds()
	return saved > 0 && gain*saved > lost*expectedWait.Seconds()
}

// expectedReturn returns the expected time until g's lost members have returned.
func (p *planner) expectedReturn(g *group) time.Duration {
	if p.willNotReturn(g) {
		return p.policy.HostReturn.LongMean
	}
	return p.policy.HostReturn.expectedAbsence(p.now.Sub(p.lastLoss(g)))
}
