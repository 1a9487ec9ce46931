package placement

// leaving reports whether the host is not to be used by a new replica: its stop is planned, or its failure domain is
// evacuated.
func (h *Host) leaving() bool { return h.Stop.Requested || h.Evacuated }

// evacuated reports whether g's head is in an evacuated failure domain, so that no requests are sent to g. Such a
// replica is no capacity. It keeps its claim until enough others serve, and serves again at once if the evacuation
// is withdrawn before.
func (p *planner) evacuated(g *group) bool {
	if len(g.Hosts) == 0 {
		return false
	}
	head, known := p.hostAt[g.Hosts[0]]
	return known && p.fleet.Hosts[head].Evacuated
}

// endEvacuated drains the evacuated replicas of deployment dep once as many others serve as are wanted. Running
// requests finish.
func (p *planner) endEvacuated(dep int) {
	t := p.countReplicas(dep)
	for _, g := range p.groupsOf[dep] {
		switch {
		case !g.serving() || !p.evacuated(g):
		case t.stable+t.toReplace >= p.fleet.Deployments[dep].Replicas:
			p.endGroup(g, ReasonEvacuated)
		default:
			p.emitWait(g, p.stopDeadline(g), ReasonEvacuated)
		}
	}
}
