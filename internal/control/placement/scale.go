package placement

import (
	"cmp"
	"slices"
)

// formMissing forms the replicas that deployment dep lacks, until one cannot be formed.
func (p *planner) formMissing(dep int) {
	d := &p.fleet.Deployments[dep]
	lacking := d.Replicas - p.countReplicas(dep).total()
	for range lacking {
		if !p.formOneMissing(dep) {
			return
		}
	}
}

// formOneMissing forms one missing replica. Otherwise it returns false, and preempts
// others for their hosts or records why it waits.
func (p *planner) formOneMissing(dep int) bool {
	d := &p.fleet.Deployments[dep]
	if p.pickGroup(dep) != nil {
		return p.form(dep, ReasonReplicaWanted)
	}
	if p.preemptFor(dep, nil, scopeLowerPriority) {
		return false
	}
	if p.mayCrossFabrics(d) {
		if hosts := p.pickAcrossFabrics(d, nil); hosts != nil {
			return p.claim(dep, hosts, ReasonCrossFabric)
		}
	}
	p.emit(Wait{Deployment: d.Spec.Deployment, Reason: ReasonNoSpare})
	return false
}

// mayCrossFabrics reports whether d has lacked a replica for long enough to form one
// over several fabric domains.
func (p *planner) mayCrossFabrics(d *Deployment) bool {
	if !d.CrossFabric || d.UnderReplicatedSince.IsZero() {
		return false
	}
	return p.now.Sub(d.UnderReplicatedSince) >= p.policy.CrossFabricHold
}

// form claims the best set of free hosts for a new replica, and reports whether there
// is one. It also returns true if the claim has to wait for the weight store.
func (p *planner) form(dep int, reason Reason) bool {
	hosts := p.pickGroup(dep)
	if hosts == nil {
		return false
	}
	return p.claim(dep, hosts, reason)
}

// claim claims hosts for a new replica if the weight store has capacity for its load,
// and otherwise reserves them. It always returns true.
func (p *planner) claim(dep int, hosts []int, reason Reason) bool {
	d := &p.fleet.Deployments[dep]
	_, copies := p.loadTime(d, hosts)
	if !p.storeHasCapacity(copies) {
		p.reserveAndWait(Wait{Deployment: d.Spec.Deployment, Reason: ReasonStoreSaturated}, hosts)
		return true
	}
	p.take(hosts)
	p.formed[dep]++
	p.storeCopies += copies
	p.emit(Form{Spec: d.Spec, Hosts: p.hostIDs(hosts), Reason: reason})
	return true
}

// pickAcrossFabrics adds free hosts to kept until they form a whole replica. It uses
// as few of the allowed fabric domains as possible, and returns nil if there are
// too few hosts.
func (p *planner) pickAcrossFabrics(d *Deployment, kept []int) []int {
	order := make([]int, len(p.fabrics))
	for fabric := range order {
		order[fabric] = fabric
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(len(p.fabrics[b].free), len(p.fabrics[a].free))
	})
	hosts := slices.Clone(kept)
	for _, fabric := range order {
		need := min(d.HostsPerReplica-len(hosts), len(p.allowedFree(d, fabric)))
		if need > 0 {
			hosts = append(hosts, p.pick(d, fabric, need)...)
		}
	}
	if len(hosts) < d.HostsPerReplica {
		return nil
	}
	return hosts[:d.HostsPerReplica]
}

// retire ends replicas beyond those wanted: first degraded ones that are no longer
// needed, then those that have been replaced, then the youngest.
func (p *planner) retire(dep int) {
	d := &p.fleet.Deployments[dep]
	t := p.countReplicas(dep)
	if t.total() <= d.Replicas {
		return
	}
	for _, g := range p.groupsOf[dep] {
		if g.degraded() && t.stable >= p.limits[dep] {
			p.endGroup(g, ReasonReplaced)
			t.degraded--
		}
	}
	t = p.retireReplaced(dep, t)
	if t.toReplace > 0 || t.degraded > 0 {
		return
	}
	p.retireYoungest(dep, t)
}

// retireReplaced drains replicas that are to be replaced and whose replacement serves.
func (p *planner) retireReplaced(dep int, t replicaCounts) replicaCounts {
	d := &p.fleet.Deployments[dep]
	for _, g := range p.groupsOf[dep] {
		if t.stable+t.toReplace <= d.Replicas {
			break
		}
		if reason := p.servingReplaceReason(g); reason != "" {
			p.endGroup(g, reason)
			t.toReplace--
		}
	}
	return t
}

// retireYoungest ends replicas beyond the deployment's limit: loading ones before
// serving ones, and the youngest of each first.
func (p *planner) retireYoungest(dep int, t replicaCounts) {
	excess := t.total() - p.limits[dep]
	if excess <= 0 {
		return
	}
	groups := slices.Clone(p.groupsOf[dep])
	slices.SortFunc(groups, func(a, b *group) int {
		return cmp.Or(
			cmp.Compare(boolToInt(a.serving()), boolToInt(b.serving())),
			b.CreatedAt.Compare(a.CreatedAt),
			cmp.Compare(b.ID, a.ID),
		)
	})
	for _, g := range groups {
		if excess > 0 && !p.evacuated(g) && (g.serving() || g.loading()) {
			p.endGroup(g, ReasonSurplus)
			excess--
		}
	}
}

// boolToInt returns 0 for false and 1 for true.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
