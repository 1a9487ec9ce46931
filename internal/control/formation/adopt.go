package formation

import "slices"

// adoptReported starts to track replicas that engines report but the planner does not know. They
// were formed by an earlier leader, or by an order that was carried out late.
func (p *Planner) adoptReported() {
	for _, h := range p.view.Hosts {
		if h.Member == nil || !h.Alive {
			continue
		}
		_, known := p.replicas[h.Member.Replica]
		_, over := p.ended[h.Member.Replica]
		if known || over || p.inKnownReplica(h) {
			continue
		}
		model, ok := p.view.Engine.Model(modelOfReplica(h.Member.Replica))
		if !ok {
			continue // The planner did not form it; ensureReleased tells its members to leave.
		}
		u := &replica{
			ReplicaRef: ReplicaRef{h.Member.Replica, h.Member.Epoch}, model: model.Name, fabric: h.Fabric,
			members: make([]string, model.Size), phase: phaseForming, since: p.now, deadline: p.now.Add(adoptTimeout),
		}
		p.replicas[u.Replica] = u
		p.recordDecision(u, "adopted", "reported by "+h.ID)
	}
	for _, h := range p.view.Hosts {
		if h.Member == nil {
			continue
		}
		u := p.replicas[h.Member.Replica]
		if u != nil && h.memberOf(u.ReplicaRef) && h.Member.Rank < len(u.members) && u.members[h.Member.Rank] == "" && !p.hasLaterJoin(h, u) {
			u.members[h.Member.Rank] = h.ID
			u.lateJoin = u.lateJoin || u.since.Before(p.now)
		}
	}
}

// hasLaterJoin reports whether a join for a later replica than u was sent to the engine. The
// engine may still carry out that join, even if the later replica was given up.
func (p *Planner) hasLaterJoin(h Host, u *replica) bool {
	return p.history[h.Incarnation()].highestJoin > u.Epoch
}

// inKnownReplica reports whether the engine is a member of a replica that the planner tracks and
// that is not leaving.
func (p *Planner) inKnownReplica(h Host) bool {
	for _, u := range p.replicas {
		if u.phase != phaseLeaving && slices.Contains(u.members, h.ID) {
			return true
		}
	}
	return false
}
