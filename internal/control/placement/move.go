package placement

import (
	"cmp"
	"slices"
	"time"
)

// crossFabricSlowness is the factor by which a replica over several fabric domains
// is slower.
const crossFabricSlowness = 2

// move replaces the leaving replicas of deployment dep: such as stand before a
// planned stop, serve an old version, hold a straggler or cross fabric domains.
// A replacement is built first where hosts for a whole one are free.
func (p *planner) move(dep int) {
	p.dropObsolete(dep)
	p.updateAdapters(dep)
	d := &p.fleet.Deployments[dep]
	pending := 0
	for _, g := range p.leavingGroups(dep) {
		t := p.tally(dep)
		formed := p.formed[dep]
		building := t.claimed() - d.Replicas + pending
		switch {
		case building >= max(1, d.Rollout.MaxSurge):
			p.wait(g, time.Time{}, ReasonReplacementLoading)
		case p.moveReason(g) == ReasonCompaction:
			p.compact(g)
		case p.form(dep, p.moveReason(g)):
			if p.formed[dep] == formed {
				pending++
			}
		case !p.stopIsNear(g) && p.preemptFor(dep, nil, reachExtras):
			pending++
		case p.mayDrain(dep, g, t):
			p.end(g, p.moveReason(g))
		case p.takeExtras(dep, g):
		default:
			p.wait(g, p.stopAt(g), ReasonNoSpare)
		}
	}
}

// leavingGroups returns serving replicas that are to be replaced, the most urgent first.
func (p *planner) leavingGroups(dep int) []*group {
	var leaving []*group
	for _, g := range p.groupsOf[dep] {
		if p.servingMoveReason(g) != "" {
			leaving = append(leaving, g)
		}
	}
	slices.SortFunc(leaving, func(a, b *group) int {
		return cmp.Or(
			cmp.Compare(urgency(p.moveReason(a)), urgency(p.moveReason(b))),
			p.stopAt(a).Compare(p.stopAt(b)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return leaving
}

// urgency orders the reasons for a move.
func urgency(why Reason) int {
	return slices.Index([]Reason{ReasonPlannedStop, ReasonStraggler, ReasonRollout, ReasonCrossFabric, ReasonCompaction}, why)
}

// stopAt returns the first planned stop among g's members, or zero.
func (p *planner) stopAt(g *group) time.Time {
	first := time.Time{}
	for _, i := range g.members {
		stop := p.fleet.Hosts[i].Stop
		if stop.Wanted && !stop.At.IsZero() && (first.IsZero() || stop.At.Before(first)) {
			first = stop.At
		}
	}
	return first
}

// mayDrain reports whether g may go down before its replacement stands.
func (p *planner) mayDrain(dep int, g *group, t tally) bool {
	d := &p.fleet.Deployments[dep]
	missing := d.Replicas - t.good - t.leaving
	why := p.moveReason(g)
	if why == ReasonRollout {
		return missing < d.Rollout.MaxUnavailable
	}
	if why == ReasonPlannedStop && p.stopIsNear(g) {
		return true
	}
	if missing > 0 {
		return false
	}
	hosts := p.rebuilt(d, g)
	if hosts == nil {
		return false
	}
	load, copies := p.loadTime(d, hosts)
	// A stop without a time waits for nothing but hosts, or it might wait for ever.
	untimed := why == ReasonPlannedStop && p.stopAt(g).IsZero()
	if copies > 0 && !p.policy.ColdSpares && !untimed {
		return false
	}
	if why != ReasonPlannedStop && !p.earns(d, g, load) {
		return false
	}
	p.take(hosts)
	return true
}

// takeExtras frees hosts of replicas beyond those wanted for the rebuild of g, and
// reports whether hosts are on their way.
func (p *planner) takeExtras(dep int, g *group) bool {
	if g.fabric == noFabric || p.moveReason(g) == ReasonRollout {
		return false
	}
	need := p.fleet.Deployments[dep].HostsPerReplica - len(p.keepers(g, true))
	if need <= 0 {
		return false
	}
	if lacking := need - p.within(g.fabric); lacking > 0 {
		victims := p.victims(dep, g.fabric, lacking, reachExtras)
		if victims == nil {
			return false
		}
		for _, v := range victims {
			p.end(v.group, ReasonPreempted)
		}
	}
	w := Wait{Deployment: g.Spec.Deployment, Replica: g.ID, Until: p.stopAt(g), Reason: ReasonHostsBeingFreed}
	p.keep(w, p.reserve(g.fabric, need))
	return true
}

// stopIsNear reports whether a planned stop leaves just the time to drain.
func (p *planner) stopIsNear(g *group) bool {
	at := p.stopAt(g)
	return !at.IsZero() && !p.now.Before(at.Add(-p.policy.DrainTime))
}

// rebuilt returns the hosts of one fabric domain that would form g anew after its
// drain, or nil.
func (p *planner) rebuilt(d *Deployment, g *group) []int {
	for at := range p.fabrics {
		var hosts []int
		for _, i := range p.keepers(g, true) {
			if p.fabricOf[i] == at {
				hosts = append(hosts, i)
			}
		}
		hosts = hosts[:min(len(hosts), d.HostsPerReplica)]
		if len(hosts) == 0 {
			continue
		}
		if added := p.pick(d, at, d.HostsPerReplica-len(hosts)); added != nil {
			return append(hosts, added...)
		}
	}
	return nil
}

// earns reports whether the speed that g gains within the horizon outweighs its
// downtime and its stranded accelerators during the rebuild.
func (p *planner) earns(d *Deployment, g *group, load time.Duration) bool {
	slowness := 1.0
	if g.fabric == noFabric {
		slowness = crossFabricSlowness
	}
	for _, i := range g.members {
		slowness = max(slowness, p.fleet.Hosts[i].slowness())
	}
	gained := d.DowntimeWeight * (1 - 1/slowness) * p.policy.Horizon.Seconds()
	idle := d.DowntimeWeight + d.StrandedWeight*float64(p.accelerators(g.survivors))
	return gained > idle*(p.policy.DrainTime+load).Seconds()
}

// dropObsolete dissolves replicas that load what is no longer wanted.
func (p *planner) dropObsolete(dep int) {
	for _, g := range p.groupsOf[dep] {
		if !g.loading() {
			continue
		}
		if why := p.moveReason(g); why == ReasonRollout || why == ReasonPlannedStop {
			p.end(g, ReasonObsolete)
		}
	}
}

// updateAdapters changes adapters in place, on one serving replica at a time.
func (p *planner) updateAdapters(dep int) {
	d := &p.fleet.Deployments[dep]
	var next *group
	for _, g := range p.groupsOf[dep] {
		if !g.serving() || p.moveReason(g) != "" {
			continue
		}
		if g.updating() {
			return
		}
		if next == nil && !slices.Equal(g.Spec.Adapters, d.Spec.Adapters) {
			next = g
		}
	}
	if next != nil {
		p.emit(Update{Replica: next.ID, Spec: d.Spec, Reason: ReasonAdapters})
	}
}

// updating reports whether a serving replica's members load adapters.
func (g *group) updating() bool {
	for _, m := range g.Members {
		if m.State == MemberLoading {
			return true
		}
	}
	return false
}
