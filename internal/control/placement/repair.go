package placement

import (
	"cmp"
	"slices"
	"time"
)

// option is one way to make a degraded replica whole.
type option struct {
	old    []*group
	hosts  []int
	load   time.Duration
	copies int
	why    Reason
}

// repairAll looks after the degraded replicas of deployment dep, the longest lost first.
func (p *planner) repairAll(dep int) {
	var degraded []*group
	for _, g := range p.groupsOf[dep] {
		if g.degraded() {
			degraded = append(degraded, g)
		}
	}
	slices.SortFunc(degraded, func(a, b *group) int {
		return cmp.Or(
			p.lossOf(a).Compare(p.lossOf(b)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	cover := p.tally(dep).claimed() - p.fleet.Deployments[dep].Replicas
	for _, g := range degraded {
		switch {
		case g.gone:
		case !p.darkGroup(g).IsZero():
			p.repairDark(dep, g, cover > 0)
			cover--
		default:
			p.repair(dep, g)
		}
	}
}

// lossOf returns when the replica last lost a member.
func (p *planner) lossOf(g *group) time.Time {
	latest := time.Time{}
	for _, i := range g.missing {
		if at := p.missingSince(g, i); at.After(latest) {
			latest = at
		}
	}
	return latest
}

// missingSince returns when member i of g went missing.
func (p *planner) missingSince(g *group, i int) time.Time {
	h := &p.fleet.Hosts[i]
	if !h.Alive {
		return h.Since
	}
	for at, id := range g.Hosts {
		if id == h.ID && at < len(g.Members) {
			return g.Members[at].Since
		}
	}
	return time.Time{}
}

// repair takes the first way that is open to make g whole, the least drastic first.
func (p *planner) repair(dep int, g *group) {
	for _, try := range []func(int, *group) (option, bool){p.spares, p.remnants, p.relocation} {
		o, open := try(dep, g)
		if !open {
			continue
		}
		until := p.holdUntil(g, o.load)
		if p.now.Before(until) {
			p.wait(g, until, ReasonMemberMayReturn)
			return
		}
		p.apply(dep, g, o)
		return
	}
	if p.preemptFor(dep, g, reachLower) {
		return
	}
	if o, open := p.crossing(dep, g); open {
		p.apply(dep, g, o)
		return
	}
	p.wait(g, time.Time{}, ReasonNoSpare)
}

// apply carries an option out, unless the weight store has no room for its load.
func (p *planner) apply(dep int, g *group, o option) {
	if !p.admits(o.copies) {
		p.keep(Wait{Deployment: g.Spec.Deployment, Replica: g.ID, Reason: ReasonStoreSaturated}, o.hosts)
		return
	}
	swap := Swap{Spec: p.fleet.Deployments[dep].Spec, Hosts: p.ids(o.hosts), Reason: o.why}
	for _, old := range o.old {
		old.gone = true
		swap.Old = append(swap.Old, old.ID)
	}
	p.take(o.hosts)
	p.formed[dep]++
	p.storeLoads += o.copies
	p.emit(swap)
}

// holdUntil returns until when waiting for g's members is better than a rebuild
// that takes load.
func (p *planner) holdUntil(g *group, load time.Duration) time.Time {
	if p.willNotReturn(g) {
		return p.now
	}
	model := p.policy.HostReturn
	for range len(g.missing) - 1 {
		model.ShortShare *= p.policy.HostReturn.ShortShare
	}
	saved := load - p.fleet.Deployments[g.dep].Load.LocalLoad
	hold := model.hold(saved)
	if limit := p.policy.MaxHold; limit > 0 {
		hold = min(hold, limit)
	}
	return p.lossOf(g).Add(hold)
}

// willNotReturn reports whether a member will not be back, or not for long.
func (p *planner) willNotReturn(g *group) bool {
	for _, i := range g.missing {
		h := &p.fleet.Hosts[i]
		if h.Stop.Wanted || p.flaps(h) {
			return true
		}
	}
	return g.unknown > 0
}

// lossReason tells a flapping member from a lost one.
func (p *planner) lossReason(g *group) Reason {
	for _, i := range g.missing {
		if p.flaps(&p.fleet.Hosts[i]) {
			return ReasonMemberFlaps
		}
	}
	return ReasonMemberLost
}

// keepers returns the survivors that a new group may keep, the head first. Strict
// leaves out stragglers and hosts that are to stop.
func (p *planner) keepers(g *group, strict bool) []int {
	d := &p.fleet.Deployments[g.dep]
	var keep []int
	for _, i := range g.survivors {
		h := &p.fleet.Hosts[i]
		if p.now.Before(h.ClaimableAt) || !d.allows(h.Fabric) {
			continue
		}
		if strict && (h.Stop.Wanted || p.straggles(h)) {
			continue
		}
		keep = append(keep, i)
	}
	return keep
}

// spares completes g with free hosts of its own fabric domain.
func (p *planner) spares(dep int, g *group) (option, bool) {
	if g.fabric == noFabric {
		return option{}, false
	}
	for _, strict := range []bool{true, false} {
		if o, open := p.complete(dep, g, p.keepers(g, strict)); open {
			return o, true
		}
	}
	return option{}, false
}

// complete adds free hosts to those that g keeps.
func (p *planner) complete(dep int, g *group, keep []int) (option, bool) {
	d := &p.fleet.Deployments[dep]
	if len(keep) == 0 || !d.allows(p.fabrics[g.fabric].name) {
		return option{}, false
	}
	keep = keep[:min(len(keep), d.HostsPerReplica)]
	added := p.pick(d, g.fabric, d.HostsPerReplica-len(keep))
	if added == nil {
		return option{}, false
	}
	return p.option(d, []*group{g}, append(keep, added...), p.lossReason(g)), true
}

// option works out the load time of a way.
func (p *planner) option(d *Deployment, old []*group, hosts []int, why Reason) option {
	load, copies := p.loadTime(d, hosts)
	return option{old: old, hosts: hosts, load: load, copies: copies, why: why}
}

// remnants completes g with the survivors of other degraded replicas of its fabric
// domain: those of its own deployment, or of one of lower priority.
func (p *planner) remnants(dep int, g *group) (option, bool) {
	d := &p.fleet.Deployments[dep]
	if g.fabric == noFabric || !d.allows(p.fabrics[g.fabric].name) {
		return option{}, false
	}
	hosts := p.keepers(g, true)
	hosts = append(hosts, p.fabrics[g.fabric].free...)
	old := []*group{g}
	for i := range p.groups {
		donor := &p.groups[i]
		if len(hosts) >= d.HostsPerReplica {
			break
		}
		if donor == g || !p.gives(dep, donor, g.fabric) {
			continue
		}
		old = append(old, donor)
		hosts = append(hosts, p.keepers(donor, true)...)
	}
	if len(hosts) < d.HostsPerReplica {
		return option{}, false
	}
	return p.option(d, old, hosts[:d.HostsPerReplica], ReasonRemnants), true
}

// gives reports whether a degraded replica may give its survivors to deployment dep.
func (p *planner) gives(dep int, donor *group, at int) bool {
	if donor.fabric != at || !donor.degraded() || donor.dep < 0 {
		return false
	}
	if donor.dep != dep && p.fleet.Deployments[donor.dep].Priority >= p.fleet.Deployments[dep].Priority {
		return false
	}
	load := p.fleet.Deployments[donor.dep].Load.LocalLoad
	return !p.now.Before(p.holdUntil(donor, load+p.policy.DrainTime))
}

// relocation rebuilds g from free hosts of another fabric domain and frees its survivors.
func (p *planner) relocation(dep int, g *group) (option, bool) {
	hosts := p.pickGroup(dep)
	if hosts == nil {
		return option{}, false
	}
	d := &p.fleet.Deployments[dep]
	return p.option(d, []*group{g}, hosts, ReasonRelocate), true
}

// crossing completes g over fabric domains, as the last resort.
func (p *planner) crossing(dep int, g *group) (option, bool) {
	d := &p.fleet.Deployments[dep]
	if !d.CrossFabric || p.now.Sub(p.lossOf(g)) < p.policy.CrossFabricHold {
		return option{}, false
	}
	hosts := p.spread(d, p.keepers(g, true))
	if hosts == nil {
		return option{}, false
	}
	return p.option(d, []*group{g}, hosts, ReasonCrossFabric), true
}

// repairDark looks after a replica whose whole fabric domain vanished at once. It
// keeps the claim, and builds another replica only after DarkHold.
func (p *planner) repairDark(dep int, g *group, covered bool) {
	dark := p.darkGroup(g)
	until := dark.Add(p.policy.DarkHold)
	switch {
	case p.now.Before(until):
		p.wait(g, until, ReasonDomainDark)
	case covered:
		p.wait(g, time.Time{}, ReasonReplacementLoading)
	case p.form(dep, ReasonRelocate):
	case p.preemptFor(dep, nil, reachExtras):
	case p.now.Sub(dark) >= p.policy.CrossFabricHold && p.fillFromOthers(dep):
	default:
		p.wait(g, time.Time{}, ReasonDomainDark)
	}
}

// fillFromOthers frees hosts of lower priority for another replica of dep, or forms
// one over fabric domains, and reports whether it found a way.
func (p *planner) fillFromOthers(dep int) bool {
	if p.preemptFor(dep, nil, reachLower) {
		return true
	}
	d := &p.fleet.Deployments[dep]
	if !d.CrossFabric {
		return false
	}
	hosts := p.spread(d, nil)
	return hosts != nil && p.claim(dep, hosts, ReasonCrossFabric)
}
