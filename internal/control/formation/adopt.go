package formation

import "slices"

// adopt takes up replicas that engines report and the planner does not know: those of an
// earlier leader, or of an order that came late.
func (p *Planner) adopt() {
	for _, h := range p.view.Hosts {
		if h.Member == nil || !h.Alive {
			continue
		}
		_, known := p.units[h.Member.Replica]
		_, over := p.ended[h.Member.Replica]
		if known || over || p.placed(h) {
			continue
		}
		model, ok := p.view.Engine.Model(modelOfReplica(h.Member.Replica))
		if !ok {
			continue // Not one that a planner formed; its members are told to leave.
		}
		u := &unit{
			Place: Place{h.Member.Replica, h.Member.Epoch}, model: model.Name, fabric: h.Fabric,
			members: make([]string, model.Size), phase: phaseForming, began: p.now, limit: p.now.Add(adoptTime),
		}
		p.units[u.Replica] = u
		p.note(u, "adopted", "reported by "+h.ID)
	}
	for _, h := range p.view.Hosts {
		if h.Member == nil {
			continue
		}
		u := p.units[h.Member.Replica]
		if u != nil && h.in(u.Place) && h.Member.Rank < len(u.members) && u.members[h.Member.Rank] == "" && !p.calledAway(h, u) {
			u.members[h.Member.Rank] = h.ID
			u.late = u.late || u.began.Before(p.now)
		}
	}
}

// calledAway reports whether an engine was told to join a later replica than u. The order
// may still come to it, even if that replica was given up.
func (p *Planner) calledAway(h Host, u *unit) bool { return p.past[h.Life()].joined > u.Epoch }

// placed reports whether the engine belongs to a replica that the planner knows.
func (p *Planner) placed(h Host) bool {
	for _, u := range p.units {
		if u.phase != phaseLeaving && slices.Contains(u.members, h.ID) {
			return true
		}
	}
	return false
}
