package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/replica"
)

// Decide returns what to do about the fleet now. The same fleet snapshot always gives the
// same decisions in the same order: the ends of drains; repairs and missing replicas
// by descending priority; voluntary replacements; preloads; extra replicas on idle
// hosts.
func Decide(f Fleet) []Decision {
	p := newPlanner(&f)
	p.endDrains()
	order := p.deploymentOrder()
	for _, dep := range order {
		p.repairAll(dep)
		p.formMissing(dep)
	}
	for _, dep := range order {
		p.retire(dep)
		p.replaceServing(dep)
		p.endEvacuated(dep)
	}
	p.preload(order)
	p.useIdleHosts(order)
	return p.decisions
}

// deploymentOrder returns the deployments by descending priority, then by descending
// cost of downtime. It skips deployments with HostsPerReplica 0.
func (p *planner) deploymentOrder() []int {
	order := make([]int, 0, len(p.fleet.Deployments))
	for i := range p.fleet.Deployments {
		if p.fleet.Deployments[i].HostsPerReplica > 0 {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := &p.fleet.Deployments[a], &p.fleet.Deployments[b]
		return cmp.Or(
			cmp.Compare(y.Priority, x.Priority),
			cmp.Compare(y.DowntimeCost, x.DowntimeCost),
			cmp.Compare(x.Spec.Deployment, y.Spec.Deployment),
		)
	})
	return order
}

// endDrains dissolves replicas that have drained and ends those whose deployment is gone.
func (p *planner) endDrains() {
	for i := range p.groups {
		g := &p.groups[i]
		if g.State == replica.StateDraining {
			p.endDrain(g)
			continue
		}
		if g.dep < 0 {
			p.endGroup(g, ReasonDeploymentGone)
		}
	}
}

// endDrain dissolves a draining replica once no request can be in flight on it: when
// it is idle or has lost a member.
func (p *planner) endDrain(g *group) {
	if g.Idle || g.lostMembers() > 0 {
		g.ended = true
		p.emit(Dissolve{Replica: g.ID, Reason: ReasonDrained})
		return
	}
	p.emitWait(g, time.Time{}, ReasonInFlight)
}

// endGroup drains a replica that serves requests, and dissolves one that does not
// serve or is idle.
func (p *planner) endGroup(g *group, reason Reason) {
	serves := g.serving()
	g.ended = true
	if g.dep >= 0 && !p.evacuated(g) {
		p.extras[g.dep]--
	}
	if serves && !g.Idle {
		p.emit(Drain{Replica: g.ID, Reason: reason})
	} else {
		p.emit(Dissolve{Replica: g.ID, Reason: reason})
	}
	for _, i := range g.survivors {
		if !p.fleet.Hosts[i].leaving() {
			p.fabrics[p.fabricOf[i]].beingFreed++
		}
	}
}

// replicaCounts counts a deployment's replicas by what can be expected of them.
type replicaCounts struct {
	// stable replicas serve and may stay; toReplace ones serve and are to be replaced.
	stable, toReplace int
	// loading replicas load or are formed in this round; degraded ones miss a member.
	loading, degraded int
}

// total counts all replicas that count towards the number wanted.
func (t replicaCounts) total() int {
	return t.stable + t.toReplace + t.loading + t.degraded
}

// countReplicas counts the replicas of deployment dep. Those that drain or end in this
// round, and evacuated ones that are not degraded, are left out.
func (p *planner) countReplicas(dep int) replicaCounts {
	t := replicaCounts{loading: p.formed[dep]}
	for _, g := range p.groupsOf[dep] {
		switch {
		case g.degraded():
			t.degraded++
		case p.evacuated(g):
		case g.loading():
			t.loading++
		case !g.serving():
		case p.replaceReason(g) != "":
			t.toReplace++
		default:
			t.stable++
		}
	}
	return t
}
