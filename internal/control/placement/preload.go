package placement

// preload copies weights to free hosts while no replica loads from the store, the
// weights of the highest priority first. A warm spare joins by a local load.
func (p *planner) preload(order []int) {
	if p.policy.ColdSpares {
		return
	}
	room := p.storeSlots() - p.storeLoads
	for _, dep := range order {
		room -= p.preloadFor(dep, room)
	}
}

// preloadFor orders at most room copies of the weights of dep, and returns how many.
func (p *planner) preloadFor(dep, room int) int {
	d := &p.fleet.Deployments[dep]
	ordered := 0
	for at := range p.fabrics {
		if !d.allows(p.fabrics[at].name) {
			continue
		}
		for _, i := range p.fabrics[at].free {
			h := &p.fleet.Hosts[i]
			if ordered >= room {
				return ordered
			}
			if p.taken[i] || h.Preloading || h.holds(d.weights()) || p.full(h) {
				continue
			}
			p.taken[i] = true
			ordered++
			p.emit(Preload{Host: h.ID, Weights: d.weights(), Reason: ReasonWarmSpare})
		}
	}
	return ordered
}

// full reports whether a host holds as many wanted weights as it may.
func (p *planner) full(h *Host) bool {
	wanted := 0
	for i := range p.fleet.Deployments {
		if h.holds(p.fleet.Deployments[i].weights()) {
			wanted++
		}
	}
	return wanted >= p.policy.WeightsPerHost
}
