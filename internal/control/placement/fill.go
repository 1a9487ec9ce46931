package placement

import (
	"cmp"
	"slices"
)

// fill forms the replicas that deployment dep lacks.
func (p *planner) fill(dep int) {
	d := &p.fleet.Deployments[dep]
	lacking := d.Replicas - p.tally(dep).claimed()
	for range lacking {
		if !p.fillOne(dep) {
			return
		}
	}
}

// fillOne forms one lacking replica, or says why not and returns false.
func (p *planner) fillOne(dep int) bool {
	d := &p.fleet.Deployments[dep]
	if p.pickGroup(dep) != nil {
		return p.form(dep, ReasonReplicaWanted)
	}
	if p.preemptFor(dep, nil, reachLower) {
		return false
	}
	if p.lacksForLong(d) {
		if hosts := p.spread(d, nil); hosts != nil {
			return p.claim(dep, hosts, ReasonCrossFabric)
		}
	}
	p.emit(Wait{Deployment: d.Spec.Deployment, Reason: ReasonNoSpare})
	return false
}

// lacksForLong reports whether a lack has lasted until fabric domains may be crossed.
func (p *planner) lacksForLong(d *Deployment) bool {
	if !d.CrossFabric || d.LackingSince.IsZero() {
		return false
	}
	return p.now.Sub(d.LackingSince) >= p.policy.CrossFabricHold
}

// form claims the best free group, and reports whether there is one. It counts a
// group that waits for room at the weight store.
func (p *planner) form(dep int, why Reason) bool {
	hosts := p.pickGroup(dep)
	if hosts == nil {
		return false
	}
	return p.claim(dep, hosts, why)
}

// claim claims hosts for a new replica once the weight store has room for its load.
func (p *planner) claim(dep int, hosts []int, why Reason) bool {
	d := &p.fleet.Deployments[dep]
	_, copies := p.loadTime(d, hosts)
	if !p.admits(copies) {
		p.keep(Wait{Deployment: d.Spec.Deployment, Reason: ReasonStoreSaturated}, hosts)
		return true
	}
	p.take(hosts)
	p.formed[dep]++
	p.storeLoads += copies
	p.emit(Form{Spec: d.Spec, Hosts: p.ids(hosts), Reason: why})
	return true
}

// spread completes keep with free hosts of any allowed fabric domain, from as few
// domains as possible, or returns nil.
func (p *planner) spread(d *Deployment, keep []int) []int {
	order := make([]int, len(p.fabrics))
	for at := range order {
		order[at] = at
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(len(p.fabrics[b].free), len(p.fabrics[a].free))
	})
	hosts := slices.Clone(keep)
	for _, at := range order {
		need := min(d.HostsPerReplica-len(hosts), len(p.fabrics[at].free))
		if need > 0 {
			hosts = append(hosts, p.pick(d, at, need)...)
		}
	}
	if len(hosts) < d.HostsPerReplica {
		return nil
	}
	return hosts[:d.HostsPerReplica]
}

// retire ends replicas beyond those wanted: such as have been replaced, such as
// never came to serve, then the youngest.
func (p *planner) retire(dep int) {
	d := &p.fleet.Deployments[dep]
	t := p.tally(dep)
	if t.claimed() <= d.Replicas {
		return
	}
	for _, g := range p.groupsOf[dep] {
		if g.degraded() && t.good >= p.limits[dep] {
			p.end(g, ReasonReplaced)
			t.degraded--
		}
	}
	t = p.retireLeaving(dep, t)
	if t.leaving > 0 || t.degraded > 0 {
		return
	}
	p.retireYoungest(dep, t)
}

// retireLeaving drains leaving replicas whose replacement serves.
func (p *planner) retireLeaving(dep int, t tally) tally {
	d := &p.fleet.Deployments[dep]
	for _, g := range p.groupsOf[dep] {
		if t.good+t.leaving <= d.Replicas {
			break
		}
		if why := p.servingMoveReason(g); why != "" {
			p.end(g, why)
			t.leaving--
		}
	}
	return t
}

// retireYoungest ends loading, then serving replicas beyond the limit.
func (p *planner) retireYoungest(dep int, t tally) {
	excess := t.claimed() - p.limits[dep]
	if excess <= 0 {
		return
	}
	groups := slices.Clone(p.groupsOf[dep])
	slices.SortFunc(groups, func(a, b *group) int {
		return cmp.Or(
			cmp.Compare(b2i(a.serving()), b2i(b.serving())),
			b.CreatedAt.Compare(a.CreatedAt),
			cmp.Compare(b.ID, a.ID),
		)
	})
	for _, g := range groups {
		if excess > 0 && (g.serving() || g.loading()) {
			p.end(g, ReasonSurplus)
			excess--
		}
	}
}

// b2i orders false before true.
func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}
