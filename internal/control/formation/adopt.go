package formation

import "slices"

// adoptReported starts to track replicas that engines report but the planner does not know. They
// were formed by an earlier leader, or by an order that was carried out late. They start in
// phaseForming, in which the loss or the drain of a member ends them even if the head is active.
func (p *Planner) adoptReported() {
	for _, h := range p.view.Hosts {
		if h.Member == nil || !h.Alive {
			continue
		}
		_, known := p.replicas[h.Member.Replica]
		_, ended := p.ended[h.Member.Replica]
		if known || ended || p.inKnownReplica(h) {
			continue
		}
		model, ok := p.view.Engine.Model(modelOfReplica(h.Member.Replica))
		if !ok {
			continue // A standby replica, or one of an unknown model: see ensureReleased.
		}
		r := &replica{
			ReplicaRef: ReplicaRef{h.Member.Replica, h.Member.Epoch}, model: model.Name, fabric: h.Fabric,
			members: make([]string, model.Size), phase: phaseForming, since: p.now, deadline: p.now.Add(adoptTimeout),
		}
		p.replicas[r.Replica] = r
		p.recordDecision(r, "adopted", "reported by "+h.ID)
	}
	for _, h := range p.view.Hosts {
		if h.Member == nil {
			continue
		}
		r := p.replicas[h.Member.Replica]
		if r != nil && h.memberOf(r.ReplicaRef) && h.Member.Rank >= 0 && h.Member.Rank < len(r.members) && r.members[h.Member.Rank] == "" && !p.hasLaterJoin(h, r) {
			r.members[h.Member.Rank] = h.ID
			r.lateJoin = r.lateJoin || r.since.Before(p.now)
		}
	}
}

// hasLaterJoin reports whether a join for a later replica than r was sent to the engine. The
// engine may still carry out that join, even if the later replica was given up.
func (p *Planner) hasLaterJoin(h Host, r *replica) bool {
	return p.history[h.Incarnation()].highestJoin > r.Epoch
}

// inKnownReplica reports whether the engine is a member of a replica that the planner tracks and
// that is not leaving.
func (p *Planner) inKnownReplica(h Host) bool {
	for _, r := range p.replicas {
		if r.phase != phaseLeaving && slices.Contains(r.members, h.ID) {
			return true
		}
	}
	return false
}
