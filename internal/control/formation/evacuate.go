package formation

import "slices"

// reasonEvacuated is the reason for which replicas end whose failure domain is evacuated.
const reasonEvacuated = "its failure domain is evacuated"

// inEvacuated reports whether an engine is in an evacuated failure domain.
func (p *Planner) inEvacuated(h Host) bool { return slices.Contains(p.view.Evacuated, h.FailureDomain) }

// available reports whether the engine may become a member of a new replica, or load a model for one.
func (p *Planner) available(h Host) bool { return h.usable() && !p.inEvacuated(h) }

// isEvacuated reports whether a member of a replica is in an evacuated failure domain.
func (p *Planner) isEvacuated(r *replica) bool {
	return slices.ContainsFunc(r.members, func(id string) bool {
		h, known := p.hosts[id]
		return known && p.inEvacuated(h)
	})
}

// hostCount returns the number of engines outside evacuated failure domains.
func (p *Planner) hostCount() int {
	count := 0
	for _, h := range p.view.Hosts {
		if !p.inEvacuated(h) {
			count++
		}
	}
	return count
}

// trackEvacuations records the fabric domains in which an evacuation was withdrawn.
func (p *Planner) trackEvacuations() {
	evacuated := map[string]bool{}
	if len(p.view.Evacuated) > 0 {
		for _, h := range p.view.Hosts {
			if p.inEvacuated(h) {
				evacuated[h.Fabric] = true
			}
		}
	}
	for fabric := range p.evacuated {
		if !evacuated[fabric] {
			p.withdrawnAt[fabric] = p.now
		}
	}
	p.evacuated = evacuated
}

// recentlyWithdrawn reports whether an evacuation in a fabric domain was withdrawn a moment ago. Its engines form replicas of the models
// that they hold first, without closing others.
func (p *Planner) recentlyWithdrawn(fabric string) bool {
	at, known := p.withdrawnAt[fabric]
	return known && p.now.Sub(at) < regroupInterval
}

// closeIfEvacuated closes a serving replica in an evacuated failure domain. If its head is there gateways send it nothing more, and it is
// closed once they report no request in flight. A head elsewhere is closed at once, as it gets requests otherwise.
func (p *Planner) closeIfEvacuated(r *replica) {
	if !p.isEvacuated(r) {
		return
	}
	if _, busy := p.view.Heads[r.head()]; busy && p.inEvacuated(p.hosts[r.head()]) {
		return
	}
	r.evacuated = true
	p.enterPhase(r, phaseClosing, reasonEvacuated)
}
