package placement

// preload copies weights to hosts while loading replicas leave the weight store
// capacity and no claim waits. A host that holds the weights can join a replica by a
// local load. Free hosts come first, then the members of replicas of lower priority
// and of replicas that serve an old version. For each, the weights of the deployment
// with the highest priority come first.
func (p *planner) preload(order []int) {
	if p.policy.ColdSpares || p.claimWaiting {
		return
	}
	copies := p.maxStoreCopies() - p.storeCopies
	for _, dep := range order {
		for fabric := range p.fabrics {
			if p.fleet.Deployments[dep].allows(p.fabrics[fabric].name) {
				copies = p.preloadHosts(dep, p.fabrics[fabric].free, copies)
			}
		}
	}
	for _, dep := range order {
		for i := range p.groups {
			if g := &p.groups[i]; p.shouldPreload(dep, g) {
				copies = p.preloadHosts(dep, g.survivors, copies)
			}
		}
	}
}

// shouldPreload reports whether the weights of dep are to be copied to the members of g.
func (p *planner) shouldPreload(dep int, g *group) bool {
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

// preloadHosts orders at most the given number of copies of the weights of dep to hosts,
// and returns how many more may be ordered.
func (p *planner) preloadHosts(dep int, hosts []int, copies int) int {
	w := p.fleet.Deployments[dep].weights()
	for _, i := range hosts {
		h := &p.fleet.Hosts[i]
		if copies <= 0 {
			return copies
		}
		if p.preloading[i] || h.Preloading || h.leaving() || h.holds(w) || p.atWeightsLimit(h) {
			continue
		}
		p.preloading[i] = true
		copies--
		p.emit(Preload{Host: h.ID, Weights: w, Reason: ReasonWarmSpare})
	}
	return copies
}

// atWeightsLimit reports whether a host holds as many wanted weights as it may.
func (p *planner) atWeightsLimit(h *Host) bool {
	wanted := 0
	for i := range p.fleet.Deployments {
		if h.holds(p.fleet.Deployments[i].weights()) {
			wanted++
		}
	}
	return wanted >= p.policy.MaxWeightsPerHost
}
