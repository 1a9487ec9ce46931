package placement

import (
	"cmp"
	"slices"
	"time"
)

// repairOption is one way to repair a degraded replica. It replaces the old replicas by
// one on hosts.
type repairOption struct {
	old    []*group
	hosts  []int
	load   time.Duration
	copies int
	reason Reason
}

// repairAll repairs the degraded replicas of deployment dep. The one whose last loss is
// the longest ago comes first.
func (p *planner) repairAll(dep int) {
	var degraded []*group
	for _, g := range p.groupsOf[dep] {
		if g.degraded() {
			degraded = append(degraded, g)
		}
	}
	slices.SortFunc(degraded, func(a, b *group) int {
		return cmp.Or(
			p.lastLoss(a).Compare(p.lastLoss(b)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	// In an outage, replicas beyond the number wanted cover for degraded ones.
	replacements := p.countReplicas(dep).total() - p.fleet.Deployments[dep].Replicas
	for _, g := range degraded {
		switch {
		case g.ended:
		case p.evacuated(g):
			p.repair(dep, g)
		case !p.groupOutageSince(g).IsZero():
			p.repairInOutage(dep, g, replacements > 0)
			replacements--
		default:
			p.repair(dep, g)
		}
	}
}

// lastLoss returns when the replica last lost a member.
func (p *planner) lastLoss(g *group) time.Time {
	latest := time.Time{}
	for _, i := range g.missing {
		if since := p.missingSince(g, i); since.After(latest) {
			latest = since
		}
	}
	return latest
}

// missingSince returns when member i of g went missing.
func (p *planner) missingSince(g *group, i int) time.Time {
	h := &p.fleet.Hosts[i]
	if !h.Alive {
		return h.AliveChangedAt
	}
	for m, id := range g.Hosts {
		if id == h.ID && m < len(g.Members) {
			return g.Members[m].MissingSince
		}
	}
	return time.Time{}
}

// repair applies the first repair of g that is possible, the least disruptive first, or
// waits while the return of the lost members is the better choice.
func (p *planner) repair(dep int, g *group) {
	for _, try := range []func(int, *group) (repairOption, bool){p.repairWithSpares, p.repairWithRemnants, p.repairElsewhere} {
		o, possible := try(dep, g)
		if !possible {
			continue
		}
		until := p.holdUntil(g, o.load)
		if p.now.Before(until) {
			p.emitWait(g, until, ReasonMemberMayReturn)
			return
		}
		p.applyOption(dep, g, o)
		return
	}
	if p.preemptFor(dep, g, scopeLowerPriority) {
		return
	}
	if o, possible := p.repairAcrossFabrics(dep, g); possible {
		p.applyOption(dep, g, o)
		return
	}
	p.emitWait(g, time.Time{}, ReasonNoSpare)
}

// applyOption emits the Swap of an option if the weight store has capacity for its load,
// and otherwise reserves the hosts.
func (p *planner) applyOption(dep int, g *group, o repairOption) {
	if !p.storeHasCapacity(o.copies) {
		p.reserveAndWait(Wait{Deployment: g.Spec.Deployment, Replica: g.ID, Reason: ReasonStoreSaturated}, o.hosts)
		return
	}
	swap := Swap{Spec: p.fleet.Deployments[dep].Spec, Hosts: p.hostIDs(o.hosts), Reason: o.reason}
	for _, old := range o.old {
		old.ended = true
		swap.Old = append(swap.Old, old.ID)
	}
	p.take(o.hosts)
	p.formed[dep]++
	p.storeCopies += o.copies
	p.emit(swap)
}

// holdUntil returns until when waiting for g's lost members is better than a rebuild
// that takes the time load.
func (p *planner) holdUntil(g *group, load time.Duration) time.Time {
	if p.willNotReturn(g) {
		return p.now
	}
	model := p.policy.HostReturn
	for range len(g.missing) - 1 {
		model.ShortShare *= p.policy.HostReturn.ShortShare
	}
	saved := load - p.fleet.Deployments[g.dep].LoadCost.LocalLoadTime
	hold := model.hold(saved)
	if limit := p.policy.MaxHold; limit > 0 {
		hold = min(hold, limit)
	}
	return p.lastLoss(g).Add(hold)
}

// willNotReturn reports whether a lost member is not expected back, or not to stay:
// it is to stop, flaps, or is unknown.
func (p *planner) willNotReturn(g *group) bool {
	for _, i := range g.missing {
		h := &p.fleet.Hosts[i]
		if h.leaving() || p.isFlapping(h) {
			return true
		}
	}
	return g.unknown > 0
}

// lossReason returns the reason for replacing g's missing members: one of them flaps, or
// they were lost.
func (p *planner) lossReason(g *group) Reason {
	for _, i := range g.missing {
		if p.isFlapping(&p.fleet.Hosts[i]) {
			return ReasonMemberFlaps
		}
	}
	return ReasonMemberLost
}

// reusableSurvivors returns the survivors that a new replica may use, in the order of
// the members, so that a head that survives comes first. With strict, stragglers and
// hosts that are to stop are left out.
func (p *planner) reusableSurvivors(g *group, strict bool) []int {
	d := &p.fleet.Deployments[g.dep]
	var kept []int
	for _, i := range g.survivors {
		h := &p.fleet.Hosts[i]
		if p.now.Before(h.ClaimableAt) || !d.allows(h.Fabric) || !d.allowsHost(h) || h.Evacuated {
			continue
		}
		if strict && (h.leaving() || p.isStraggler(h)) {
			continue
		}
		kept = append(kept, i)
	}
	return kept
}

// repairWithSpares completes g with free hosts of its own fabric domain.
func (p *planner) repairWithSpares(dep int, g *group) (repairOption, bool) {
	if g.fabric == noFabric {
		return repairOption{}, false
	}
	for _, strict := range []bool{true, false} {
		if o, possible := p.completeWithSpares(dep, g, p.reusableSurvivors(g, strict)); possible {
			return o, true
		}
	}
	return repairOption{}, false
}

// completeWithSpares adds free hosts of g's fabric domain to the hosts that g keeps.
func (p *planner) completeWithSpares(dep int, g *group, kept []int) (repairOption, bool) {
	d := &p.fleet.Deployments[dep]
	if len(kept) == 0 || !d.allows(p.fabrics[g.fabric].name) {
		return repairOption{}, false
	}
	kept = kept[:min(len(kept), d.HostsPerReplica)]
	added := p.pick(d, g.fabric, d.HostsPerReplica-len(kept))
	if added == nil {
		return repairOption{}, false
	}
	return p.newOption(d, []*group{g}, append(kept, added...), p.lossReason(g)), true
}

// newOption returns a repairOption with its load time.
func (p *planner) newOption(d *Deployment, old []*group, hosts []int, reason Reason) repairOption {
	load, copies := p.loadTime(d, hosts)
	return repairOption{old: old, hosts: hosts, load: load, copies: copies, reason: reason}
}

// repairWithRemnants completes g with free hosts and the survivors of other degraded
// replicas of its fabric domain. Those belong to its own deployment or to one of lower
// priority.
func (p *planner) repairWithRemnants(dep int, g *group) (repairOption, bool) {
	d := &p.fleet.Deployments[dep]
	if g.fabric == noFabric || !d.allows(p.fabrics[g.fabric].name) {
		return repairOption{}, false
	}
	hosts := p.reusableSurvivors(g, true)
	hosts = append(hosts, p.allowedFree(d, g.fabric)...)
	old := []*group{g}
	for i := range p.groups {
		donor := &p.groups[i]
		if len(hosts) >= d.HostsPerReplica {
			break
		}
		if donor == g || !p.mayDonate(dep, donor, g.fabric) {
			continue
		}
		old = append(old, donor)
		hosts = append(hosts, p.reusableSurvivors(donor, true)...)
	}
	if len(hosts) < d.HostsPerReplica {
		return repairOption{}, false
	}
	return p.newOption(d, old, hosts[:d.HostsPerReplica], ReasonRemnants), true
}

// mayDonate reports whether a degraded replica in the given fabric domain may give its
// survivors to deployment dep. It may once waiting for its own lost members is no longer
// better than a rebuild.
func (p *planner) mayDonate(dep int, donor *group, fabric int) bool {
	if donor.fabric != fabric || !donor.degraded() || donor.dep < 0 {
		return false
	}
	if donor.dep != dep && p.fleet.Deployments[donor.dep].Priority >= p.fleet.Deployments[dep].Priority {
		return false
	}
	load := p.fleet.Deployments[donor.dep].LoadCost.LocalLoadTime
	return !p.now.Before(p.holdUntil(donor, load+p.policy.DrainTime))
}

// repairElsewhere rebuilds g from free hosts of one fabric domain, usually another one,
// and frees its survivors.
func (p *planner) repairElsewhere(dep int, g *group) (repairOption, bool) {
	hosts := p.pickGroup(dep)
	if hosts == nil {
		return repairOption{}, false
	}
	d := &p.fleet.Deployments[dep]
	return p.newOption(d, []*group{g}, hosts, ReasonRelocate), true
}

// repairAcrossFabrics completes g with hosts of several fabric domains, as the last
// resort.
func (p *planner) repairAcrossFabrics(dep int, g *group) (repairOption, bool) {
	d := &p.fleet.Deployments[dep]
	if !d.CrossFabric || p.now.Sub(p.lastLoss(g)) < p.policy.CrossFabricHold {
		return repairOption{}, false
	}
	hosts := p.pickAcrossFabrics(d, p.reusableSurvivors(g, true))
	if hosts == nil {
		return repairOption{}, false
	}
	return p.newOption(d, []*group{g}, hosts, ReasonCrossFabric), true
}

// repairInOutage handles a degraded replica whose fabric domain has an outage. It keeps
// the claim, and forms another replica only after DomainOutageHold and only if no other
// replica covers for this one.
func (p *planner) repairInOutage(dep int, g *group, covered bool) {
	outageSince := p.groupOutageSince(g)
	until := outageSince.Add(p.policy.DomainOutageHold)
	switch {
	case p.now.Before(until):
		p.emitWait(g, until, ReasonDomainDark)
	case covered:
		p.emitWait(g, time.Time{}, ReasonReplacementLoading)
	case p.form(dep, ReasonRelocate):
	case p.preemptFor(dep, nil, scopeExtras):
	case p.now.Sub(outageSince) >= p.policy.CrossFabricHold && p.formAsLastResort(dep):
	default:
		p.emitWait(g, time.Time{}, ReasonDomainDark)
	}
}

// formAsLastResort preempts replicas of lower priority for another replica of dep, or
// forms one that spans fabric domains, and reports whether either was possible.
func (p *planner) formAsLastResort(dep int) bool {
	if p.preemptFor(dep, nil, scopeLowerPriority) {
		return true
	}
	d := &p.fleet.Deployments[dep]
	if !d.CrossFabric {
		return false
	}
	hosts := p.pickAcrossFabrics(d, nil)
	return hosts != nil && p.claim(dep, hosts, ReasonCrossFabric)
}
