package placement

// compactionCandidate returns a replica whose move to another fabric domain would
// free a slot for a replica of the largest size, or nil. It returns nil if there is
// such a slot already, or if a deployment may use idle hosts for extra replicas:
// a free slot would not stay free then.
func (p *planner) compactionCandidate() *group {
	for i := range p.fleet.Deployments {
		if p.limits[i] > p.fleet.Deployments[i].Replicas {
			return nil
		}
	}
	for fabric := range p.fabrics {
		if len(p.fabrics[fabric].free) >= p.largestReplica {
			return nil
		}
	}
	for i := range p.groups {
		if g := &p.groups[i]; p.freesSlot(g) {
			return g
		}
	}
	return nil
}

// freesSlot reports whether moving g frees a slot for a replica of the largest size,
// and whether there is another fabric domain that g can move to.
func (p *planner) freesSlot(g *group) bool {
	if g.dep < 0 || g.fabric == noFabric || !g.serving() || p.evacuated(g) || !p.settled(g) {
		return false
	}
	if len(p.fabrics[g.fabric].free)+len(g.members) < p.largestReplica || len(g.members) == p.largestReplica {
		return false
	}
	return p.hasReplacement(g) || p.pickOutside(g.dep, g.fabric) != nil
}

// hasReplacement reports whether g's deployment has more serving and loading replicas
// than it wants, so that one of them replaces g.
func (p *planner) hasReplacement(g *group) bool {
	live := 0
	for _, other := range p.groupsOf[g.dep] {
		if other.serving() || other.loading() {
			live++
		}
	}
	return live > p.fleet.Deployments[g.dep].Replicas
}

// formCompacted forms the replacement of a replica that is moved by compaction. It
// waits until no host copies weights from the store.
func (p *planner) formCompacted(g *group) {
	hosts := p.pickOutside(g.dep, g.fabric)
	if hosts == nil || p.storeCopies > 0 {
		return
	}
	p.claim(g.dep, hosts, ReasonCompaction)
}
