package formation

import "strings"

// standbyMark begins the names of standby places. A spare that is alone in one holds a
// model in its memory, from which it joins a replica sooner than from its host; the host
// is free for another model then.
const standbyMark = "standby-"

// standBy lets a spare take the model that its host holds into memory. It reports whether
// the spare is about to.
func (p *Planner) standBy(h Host) bool {
	if len(h.Staged) == 0 || p.modelOf(h) != "" {
		return false
	}
	m, ok := p.view.Engine.Model(h.Staged[len(h.Staged)-1])
	if !ok || !p.released(h) {
		return false
	}
	memory := p.past[h.Life()]
	if memory.standby.Epoch == 0 {
		memory.standby = p.nextPlace(m.Name)
		memory.standby.Replica = standbyMark + memory.standby.Replica
		p.past[h.Life()] = memory
	}
	p.give(Join{h.ID, memory.standby, m.Name, []string{h.ID}})
	return true
}

// standsBy reports whether an engine is in a standby place.
func (h Host) standsBy() bool {
	return h.Member != nil && strings.HasPrefix(h.Member.Replica, standbyMark)
}
