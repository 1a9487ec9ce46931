package placement

import "github.com/egretreach/egretreach/internal/fleet/replica"

// replaceReason returns why a replica that serves or loads is to be replaced, or "".
func (p *planner) replaceReason(g *group) Reason {
	for _, i := range g.members {
		if p.fleet.Hosts[i].leaving() {
			return ReasonPlannedStop
		}
	}
	d := &p.fleet.Deployments[g.dep]
	if !sameWeights(g.Spec, d.Spec) || len(g.Hosts) != d.HostsPerReplica {
		return ReasonRollout
	}
	for _, i := range g.members {
		if !d.allowsHost(&p.fleet.Hosts[i]) {
			return ReasonRollout
		}
	}
	if g.fabric != noFabric && !d.allows(p.fabrics[g.fabric].name) {
		return ReasonRollout
	}
	if p.settled(g) && p.hasStraggler(g) {
		return ReasonStraggler
	}
	if p.settled(g) && g.fabric == noFabric {
		return ReasonCrossFabric
	}
	if g == p.compacting {
		return ReasonCompaction
	}
	return ""
}

// sameWeights reports whether a replica can change from one spec to the other without
// loading the model again.
func sameWeights(a, b replica.Spec) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Role == b.Role
}

// settled reports whether g is old enough for a voluntary replacement.
func (p *planner) settled(g *group) bool {
	return p.now.Sub(g.CreatedAt) >= p.policy.SettleTime
}

// hasStraggler reports whether a member has been a straggler for long enough.
func (p *planner) hasStraggler(g *group) bool {
	for _, i := range g.members {
		h := &p.fleet.Hosts[i]
		if p.isStraggler(h) && p.now.Sub(h.SlowSince) >= p.policy.StragglerHold {
			return true
		}
	}
	return false
}

// servingReplaceReason returns why a serving replica is to be replaced, or "". Evacuated replicas are left to
// formMissing and endEvacuated.
func (p *planner) servingReplaceReason(g *group) Reason {
	if !g.serving() || p.evacuated(g) {
		return ""
	}
	return p.replaceReason(g)
}
