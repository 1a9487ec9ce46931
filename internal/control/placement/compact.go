package placement

// compaction returns a replica whose move to another fabric domain would leave a
// place for a whole replica of the largest size free where there is none, or nil. A
// fleet that uses its idle hosts has no use for such a place.
func (p *planner) compaction() *group {
	for i := range p.fleet.Deployments {
		if p.limits[i] > p.fleet.Deployments[i].Replicas {
			return nil
		}
	}
	for at := range p.fabrics {
		if len(p.fabrics[at].free) >= p.largest {
			return nil
		}
	}
	for i := range p.groups {
		if g := &p.groups[i]; p.makesPlace(g) {
			return g
		}
	}
	return nil
}

// makesPlace reports whether a move of g leaves a whole place free, and can be made.
func (p *planner) makesPlace(g *group) bool {
	if g.dep < 0 || g.fabric == noFabric || !g.serving() || !p.settled(g) {
		return false
	}
	if len(p.fabrics[g.fabric].free)+len(g.members) < p.largest || len(g.members) == p.largest {
		return false
	}
	return p.moving(g) || p.pickOutside(g.dep, g.fabric) != nil
}

// moving reports whether g's deployment has a replacement for it, in any stage.
func (p *planner) moving(g *group) bool {
	live := 0
	for _, other := range p.groupsOf[g.dep] {
		if other.serving() || other.loading() {
			live++
		}
	}
	return live > p.fleet.Deployments[g.dep].Replicas
}

// compact forms the replacement of a replica that is moved to make place.
func (p *planner) compact(g *group) {
	hosts := p.pickOutside(g.dep, g.fabric)
	if hosts == nil || p.storeLoads > 0 {
		return
	}
	p.claim(g.dep, hosts, ReasonCompaction)
}
