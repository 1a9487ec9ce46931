package placement

import (
	"cmp"
	"slices"
	"time"
)

// crossFabricSlowness is the factor by which a replica that spans several fabric
// domains is slower.
const crossFabricSlowness = 2

// replaceServing replaces those serving replicas of deployment dep that have a reason
// to be replaced, such as a planned stop, an old version, a straggler among the
// members, or members in several fabric domains. If enough hosts for a whole
// replacement are free, it is built before the old replica ends.
func (p *planner) replaceServing(dep int) {
	p.dissolveObsolete(dep)
	p.updateAdapters(dep)
	d := &p.fleet.Deployments[dep]
	pending := 0
	for _, g := range p.groupsToReplace(dep) {
		t := p.countReplicas(dep)
		formed := p.formed[dep]
		building := t.total() - d.Replicas + pending
		switch {
		case building >= max(1, d.Rollout.MaxSurge):
			p.emitWait(g, time.Time{}, ReasonReplacementLoading)
		case p.replaceReason(g) == ReasonCompaction:
			p.formCompacted(g)
		case p.form(dep, p.replaceReason(g)):
			if p.formed[dep] == formed {
				pending++
			}
		case !p.stopIsImminent(g) && p.preemptFor(dep, nil, scopeExtras):
			pending++
		case p.mayDrainFirst(dep, g, t):
			p.endGroup(g, p.replaceReason(g))
		case p.preemptExtras(dep, g):
		default:
			p.emitWait(g, p.stopDeadline(g), ReasonNoSpare)
		}
	}
}

// groupsToReplace returns the serving replicas that are to be replaced, the most
// urgent first.
func (p *planner) groupsToReplace(dep int) []*group {
	var groups []*group
	for _, g := range p.groupsOf[dep] {
		if p.servingReplaceReason(g) != "" {
			groups = append(groups, g)
		}
	}
	slices.SortFunc(groups, func(a, b *group) int {
		return cmp.Or(
			cmp.Compare(urgency(p.replaceReason(a)), urgency(p.replaceReason(b))),
			p.stopDeadline(a).Compare(p.stopDeadline(b)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return groups
}

// urgency returns the rank of a reason to replace a replica; the lowest is the most
// urgent.
func urgency(reason Reason) int {
	return slices.Index([]Reason{ReasonPlannedStop, ReasonStraggler, ReasonRollout, ReasonCrossFabric, ReasonCompaction}, reason)
}

// stopDeadline returns the earliest deadline of a planned stop among g's members, or
// zero.
func (p *planner) stopDeadline(g *group) time.Time {
	first := time.Time{}
	for _, i := range g.members {
		stop := p.fleet.Hosts[i].Stop
		if stop.Requested && !stop.Deadline.IsZero() && (first.IsZero() || stop.Deadline.Before(first)) {
			first = stop.Deadline
		}
	}
	return first
}

// mayDrainFirst reports whether g may be drained before its replacement exists. If it
// is to be rebuilt at once, its hosts are reserved.
func (p *planner) mayDrainFirst(dep int, g *group, t replicaCounts) bool {
	d := &p.fleet.Deployments[dep]
	missing := d.Replicas - t.stable - t.toReplace
	reason := p.replaceReason(g)
	if reason == ReasonRollout {
		return missing < d.Rollout.MaxUnavailable
	}
	if reason == ReasonPlannedStop && p.stopIsImminent(g) {
		return true
	}
	if missing > 0 {
		return false
	}
	hosts := p.rebuildHosts(d, g)
	if hosts == nil {
		return false
	}
	load, copies := p.loadTime(d, hosts)
	// A stop without a deadline waits only for hosts. With other conditions, it
	// might wait forever.
	untimed := reason == ReasonPlannedStop && p.stopDeadline(g).IsZero()
	if copies > 0 && !p.policy.ColdSpares && !untimed {
		return false
	}
	if reason != ReasonPlannedStop && !p.replacementPaysOff(d, g, load) {
		return false
	}
	p.take(hosts)
	return true
}

// preemptExtras frees hosts of extra replicas for the rebuild of g, and reports whether
// enough hosts are free or being freed.
func (p *planner) preemptExtras(dep int, g *group) bool {
	if g.fabric == noFabric || p.replaceReason(g) == ReasonRollout {
		return false
	}
	need := p.fleet.Deployments[dep].HostsPerReplica - len(p.reusableSurvivors(g, true))
	if need <= 0 {
		return false
	}
	if lacking := need - p.availableHosts(g.fabric); lacking > 0 {
		victims := p.victims(dep, g.fabric, lacking, scopeExtras)
		if victims == nil {
			return false
		}
		for _, v := range victims {
			p.endGroup(v.group, ReasonPreempted)
		}
	}
	w := Wait{Deployment: g.Spec.Deployment, Replica: g.ID, Until: p.stopDeadline(g), Reason: ReasonHostsBeingFreed}
	p.reserveAndWait(w, p.reserveHosts(g.fabric, need))
	return true
}

// stopIsImminent reports whether a planned stop leaves no more time than draining takes.
func (p *planner) stopIsImminent(g *group) bool {
	deadline := p.stopDeadline(g)
	return !deadline.IsZero() && !p.now.Before(deadline.Add(-p.policy.DrainTime))
}

// rebuildHosts returns the hosts of one fabric domain from which g could be rebuilt
// after its drain, or nil.
func (p *planner) rebuildHosts(d *Deployment, g *group) []int {
	for fabric := range p.fabrics {
		var hosts []int
		for _, i := range p.reusableSurvivors(g, true) {
			if p.fabricOf[i] == fabric {
				hosts = append(hosts, i)
			}
		}
		hosts = hosts[:min(len(hosts), d.HostsPerReplica)]
		if len(hosts) == 0 {
			continue
		}
		if added := p.pick(d, fabric, d.HostsPerReplica-len(hosts)); added != nil {
			return append(hosts, added...)
		}
	}
	return nil
}

// replacementPaysOff reports whether the speed that g gains within the policy's horizon
// outweighs its downtime and its stranded accelerators during the rebuild.
func (p *planner) replacementPaysOff(d *Deployment, g *group, load time.Duration) bool {
	slowness := 1.0
	if g.fabric == noFabric {
		slowness = crossFabricSlowness
	}
	for _, i := range g.members {
		slowness = max(slowness, p.fleet.Hosts[i].slowness())
	}
	gain := d.DowntimeCost * (1 - 1/slowness) * p.policy.Horizon.Seconds()
	costPerSecond := d.DowntimeCost + d.StrandedCost*float64(p.accelerators(g.survivors))
	return gain > costPerSecond*(p.policy.DrainTime+load).Seconds()
}

// dissolveObsolete dissolves replicas that are loading although they would have to be
// replaced at once, because of a rollout or a planned stop.
func (p *planner) dissolveObsolete(dep int) {
	for _, g := range p.groupsOf[dep] {
		if !g.loading() {
			continue
		}
		if reason := p.replaceReason(g); reason == ReasonRollout || reason == ReasonPlannedStop {
			p.endGroup(g, ReasonObsolete)
		}
	}
}

// updateAdapters changes adapters in place, on one serving replica at a time.
func (p *planner) updateAdapters(dep int) {
	d := &p.fleet.Deployments[dep]
	var next *group
	for _, g := range p.groupsOf[dep] {
		if !g.serving() || p.replaceReason(g) != "" {
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

// updating reports whether a member of a serving replica loads adapters.
func (g *group) updating() bool {
	for _, m := range g.Members {
		if m.State == MemberLoading {
			return true
		}
	}
	return false
}
