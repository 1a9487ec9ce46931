package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/replica"
)

// lowerPriorityShare is what the downtime of a group of lower priority counts against one
// of higher priority.
const lowerPriorityShare = 0.5

// reach says whose hosts a deployment may take.
type reach int

const (
	// reachExtras is replicas beyond those wanted, of no higher priority.
	reachExtras reach = iota
	// reachLower is those, and all replicas of lower priority.
	reachLower
)

// victim is a replica that may lose its hosts to another deployment.
type victim struct {
	*group
	cost float64
}

// preemptFor frees hosts for g, or for a replica that dep lacks if g is nil, from the
// replicas within reach. It reports whether hosts are on their way or it is too
// early to take any.
func (p *planner) preemptFor(dep int, g *group, within reach) bool {
	for _, at := range p.fabricOrder(dep, g) {
		if p.preemptIn(dep, g, at, within) {
			return true
		}
	}
	return false
}

// fabricOrder returns the fabric domains in which hosts may be freed, those with
// the most free hosts first; for a degraded replica its own first.
func (p *planner) fabricOrder(dep int, g *group) []int {
	var order []int
	for at := range p.fabrics {
		if p.fleet.Deployments[dep].allows(p.fabrics[at].name) {
			order = append(order, at)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if g != nil && (a == g.fabric) != (b == g.fabric) {
			return b2i(b == g.fabric) - b2i(a == g.fabric)
		}
		return cmp.Compare(p.within(b), p.within(a))
	})
	return order
}

// within counts the hosts of a fabric domain that are free or being freed.
func (p *planner) within(at int) int {
	return len(p.fabrics[at].free) + p.fabrics[at].freed
}

// preemptIn frees hosts in one fabric domain.
func (p *planner) preemptIn(dep int, g *group, at int, within reach) bool {
	need := p.fleet.Deployments[dep].HostsPerReplica
	if g != nil && g.fabric == at {
		need = max(0, need-len(p.keepers(g, false)))
	}
	if p.within(at) < need {
		victims := p.victims(dep, at, need-p.within(at), within)
		if victims == nil || !p.worthwhile(dep, g, victims) {
			return false
		}
		if until := p.preemptAt(dep, g, victims); p.now.Before(until) {
			p.wait(g, until, ReasonMemberMayReturn)
			return true
		}
		for _, v := range victims {
			p.end(v.group, ReasonPreempted)
		}
	}
	w := Wait{Deployment: p.fleet.Deployments[dep].Spec.Deployment, Reason: ReasonHostsBeingFreed}
	if g != nil {
		w.Replica = g.ID
	}
	p.keep(w, p.reserve(at, need))
	return true
}

// preemptAt returns until when waiting for g's members is better than the end of
// victims and a rebuild with their hosts.
func (p *planner) preemptAt(dep int, g *group, victims []victim) time.Time {
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

// reserve counts off hosts that are being freed, and returns the free ones that
// are to be kept beside them.
func (p *planner) reserve(at, count int) []int {
	f := &p.fabrics[at]
	now := min(count, len(f.free))
	f.freed -= count - now
	return slices.Clone(f.free[:now])
}

// victims returns the cheapest replicas of a fabric domain that deployment dep may
// take and that together free at least count hosts, or nil.
func (p *planner) victims(dep, at, count int, within reach) []victim {
	var all []victim
	for i := range p.groups {
		v := &p.groups[i]
		if v.fabric == at && p.mayTake(dep, v, within) {
			all = append(all, victim{group: v, cost: p.downtimeCost(v)})
		}
	}
	slices.SortFunc(all, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.ID, b.ID))
	})
	var chosen []victim
	for _, v := range all {
		if p.outranks(dep, v.dep, within) || countOf(chosen, v.dep) < p.extras[v.dep] {
			chosen = append(chosen, v)
			count -= len(v.survivors)
		}
		if count <= 0 {
			return chosen
		}
	}
	return nil
}

// countOf counts the victims of deployment dep.
func countOf(chosen []victim, dep int) int {
	count := 0
	for _, v := range chosen {
		if v.dep == dep {
			count++
		}
	}
	return count
}

// outranks reports whether dep may take hosts of replicas that deployment other wants.
func (p *planner) outranks(dep, other int, within reach) bool {
	return within == reachLower && p.fleet.Deployments[other].Priority < p.fleet.Deployments[dep].Priority
}

// mayTake reports whether dep may take the hosts of v.
func (p *planner) mayTake(dep int, v *group, within reach) bool {
	if v.dep < 0 || v.dep == dep {
		return false
	}
	if !v.serving() && !v.loading() {
		return false
	}
	if p.outranks(dep, v.dep, within) {
		return true
	}
	extra := p.extras[v.dep] > 0
	return extra && p.fleet.Deployments[v.dep].Priority <= p.fleet.Deployments[dep].Priority
}

// downtimeCost returns what a second without v costs.
func (p *planner) downtimeCost(v *group) float64 {
	d := &p.fleet.Deployments[v.dep]
	cost := d.StrandedWeight * float64(p.accelerators(v.survivors))
	if v.State == replica.StateServing && p.extras[v.dep] <= 0 {
		cost += lowerPriorityShare * d.DowntimeWeight
	}
	return cost
}

// worthwhile weighs the end of victims against what it saves. Hosts that the new
// replica takes are stranded no longer; the rest of the victims' hosts are.
func (p *planner) worthwhile(dep int, g *group, victims []victim) bool {
	d := &p.fleet.Deployments[dep]
	lost := 0.0
	freed := 0
	for _, v := range victims {
		lost += v.cost
		freed += p.accelerators(v.survivors)
	}
	idle := p.policy.HostReturn.LongMean
	rebuild := p.policy.DrainTime + p.copyTime(d, 1)
	gain := d.DowntimeWeight
	if g != nil {
		idle = p.remaining(g)
		gain += d.StrandedWeight * float64(p.accelerators(g.survivors))
	}
	gain += d.StrandedWeight * float64(freed)
	saved := (idle - rebuild).Seconds()
	return saved > 0 && gain*saved > lost*idle.Seconds()
}

// remaining returns the expected time until g's members are back.
func (p *planner) remaining(g *group) time.Duration {
	if p.willNotReturn(g) {
		return p.policy.HostReturn.LongMean
	}
	return p.policy.HostReturn.remaining(p.now.Sub(p.lossOf(g)))
}
