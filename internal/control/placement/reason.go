package placement

import "github.com/egretreach/egretreach/internal/fleet/replica"

// moveReason returns why a replica that serves or loads is to be replaced, or "".
func (p *planner) moveReason(g *group) Reason {
	for _, i := range g.members {
		if p.fleet.Hosts[i].Stop.Wanted {
			return ReasonPlannedStop
		}
	}
	d := &p.fleet.Deployments[g.dep]
	if !sameWeights(g.Spec, d.Spec) || len(g.Hosts) != d.HostsPerReplica {
		return ReasonRollout
	}
	if g.fabric != noFabric && !d.allows(p.fabrics[g.fabric].name) {
		return ReasonRollout
	}
	if p.settled(g) && p.slowGroup(g) {
		return ReasonStraggler
	}
	if p.settled(g) && g.fabric == noFabric {
		return ReasonCrossFabric
	}
	if g == p.compacted {
		return ReasonCompaction
	}
	return ""
}

// sameWeights reports whether two specs need the same load.
func sameWeights(a, b replica.Spec) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Role == b.Role
}

// settled reports whether voluntary moves of g are allowed again.
func (p *planner) settled(g *group) bool {
	return p.now.Sub(g.CreatedAt) >= p.policy.SettleTime
}

// slowGroup reports whether a member has been a straggler for long enough.
func (p *planner) slowGroup(g *group) bool {
	for _, i := range g.members {
		h := &p.fleet.Hosts[i]
		if p.straggles(h) && p.now.Sub(h.SlowSince) >= p.policy.StragglerHold {
			return true
		}
	}
	return false
}

// servingMoveReason returns why a serving replica is to be replaced, or "".
func (p *planner) servingMoveReason(g *group) Reason {
	if !g.serving() {
		return ""
	}
	return p.moveReason(g)
}
