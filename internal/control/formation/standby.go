package formation

import "strings"

// standbyPrefix begins the names of standby replicas. A standby replica has a spare engine as its
// only member, which holds a model in memory. From there the spare joins a replica sooner than
// from its host's copy, and the host is free to store another model.
const standbyPrefix = "standby-"

// moveToStandby orders a spare to load the model that its host stores into memory. It reports
// whether the spare is suitable and was ordered to.
func (p *Planner) moveToStandby(h Host) bool {
	if len(h.Staged) == 0 || p.modelOf(h) != "" {
		return false
	}
	m, ok := p.view.Engine.Model(h.Staged[len(h.Staged)-1])
	if !ok || !p.ensureReleased(h) {
		return false
	}
	hist := p.history[h.Incarnation()]
	if hist.standby.Epoch == 0 {
		hist.standby = p.nextRef(m.Name)
		hist.standby.Replica = standbyPrefix + hist.standby.Replica
		p.history[h.Incarnation()] = hist
	}
	p.send(Join{h.ID, hist.standby, m.Name, []string{h.ID}})
	return true
}

// onStandby reports whether an engine is in a standby replica.
func (h Host) onStandby() bool {
	return h.Member != nil && strings.HasPrefix(h.Member.Replica, standbyPrefix)
}
