package placement

// preload copies weights to hosts while replicas leave the weight store room and no
// claim waits: to free hosts, to members of replicas of lower priority, and of replicas that serve an old
// version. The weights of the highest priority come first. A host that holds the
// weights joins a replica by a local load.
func (p *planner) preload(order []int) {
	if p.policy.ColdSpares || p.pending {
		return
	}
	room := p.storeSlots() - p.storeLoads
	for _, dep := range order {
		for at := range p.fabrics {
			if p.fleet.Deployments[dep].allows(p.fabrics[at].name) {
				room = p.preloadHosts(dep, p.fabrics[at].free, room)
			}
		}
	}
	for _, dep := range order {
		for i := range p.groups {
			if g := &p.groups[i]; p.preloads(dep, g) {
				room = p.preloadHosts(dep, g.survivors, room)
			}
		}
	}
}

// preloads reports whether the members of g are to hold the weights of dep.
func (p *planner) preloads(dep int, g *group) bool {
	if g.dep < 0 || !g.serving() {
		return false
	}
	d := &p.fleet.Deployments[dep]
	if g.fabric == noFabric || !d.allows(p.fabrics[g.fabric].name) {
		return false
	}
	if g.dep == dep {
		return !sameWeights(g.Spec, d.Spec)
	}
	return p.fleet.Deployments[g.dep].Priority < d.Priority
}

// preloadHosts orders at most room copies of the weights of dep, and returns the room left.
func (p *planner) preloadHosts(dep int, hosts []int, room int) int {
	w := p.fleet.Deployments[dep].weights()
	for _, i := range hosts {
		h := &p.fleet.Hosts[i]
		if room <= 0 {
			return room
		}
		if p.copying[i] || h.Preloading || h.Stop.Wanted || h.holds(w) || p.full(h) {
			continue
		}
		p.copying[i] = true
		room--
		p.emit(Preload{Host: h.ID, Weights: w, Reason: ReasonWarmSpare})
	}
	return room
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
