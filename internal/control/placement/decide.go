package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/replica"
)

// Decide returns what to do about the fleet now. The same picture always gives the
// same decisions in the same order: ends of drains, repairs and missing replicas by
// falling priority, voluntary moves, then the preload and the use of idle hosts.
func Decide(f Fleet) []Decision {
	p := newPlanner(&f)
	p.endDrains()
	order := p.deploymentOrder()
	for _, dep := range order {
		p.repairAll(dep)
		p.fill(dep)
	}
	for _, dep := range order {
		p.retire(dep)
		p.move(dep)
	}
	p.preload(order)
	p.useIdle(order)
	return p.decisions
}

// deploymentOrder returns the deployments by falling priority, then falling cost of
// downtime. One without a size is passed over.
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
			cmp.Compare(y.DowntimeWeight, x.DowntimeWeight),
			cmp.Compare(x.Spec.Deployment, y.Spec.Deployment),
		)
	})
	return order
}

// endDrains dissolves replicas that have drained and drains those no one wants.
func (p *planner) endDrains() {
	for i := range p.groups {
		g := &p.groups[i]
		if g.State == replica.StateDraining {
			p.endDrain(g)
			continue
		}
		if g.dep < 0 {
			p.end(g, ReasonDeploymentGone)
		}
	}
}

// endDrain dissolves a draining replica once nothing can be in flight on it.
func (p *planner) endDrain(g *group) {
	if g.Idle || g.lost() > 0 {
		g.gone = true
		p.emit(Dissolve{Replica: g.ID, Reason: ReasonDrained})
		return
	}
	p.wait(g, time.Time{}, ReasonInFlight)
}

// end drains a serving replica and dissolves one that does not serve.
func (p *planner) end(g *group, why Reason) {
	serves := g.serving()
	g.gone = true
	if g.dep >= 0 {
		p.extras[g.dep]--
	}
	if serves && !g.Idle {
		p.emit(Drain{Replica: g.ID, Reason: why})
	} else {
		p.emit(Dissolve{Replica: g.ID, Reason: why})
	}
	for _, i := range g.survivors {
		if !p.fleet.Hosts[i].Stop.Wanted {
			p.fabrics[p.fabricOf[i]].freed++
		}
	}
}

// tally counts a deployment's replicas by what can be expected of them.
type tally struct {
	// good serve and may stay; leaving serve and are to be replaced.
	good, leaving int
	// coming load, or are formed in this round; degraded miss a member.
	coming, degraded int
}

// claimed counts the replicas that stand for a wanted one.
func (t tally) claimed() int {
	return t.good + t.leaving + t.coming + t.degraded
}

// tally counts the replicas of deployment dep.
func (p *planner) tally(dep int) tally {
	t := tally{coming: p.formed[dep]}
	for _, g := range p.groupsOf[dep] {
		switch {
		case g.degraded():
			t.degraded++
		case g.loading():
			t.coming++
		case !g.serving():
		case p.moveReason(g) != "":
			t.leaving++
		default:
			t.good++
		}
	}
	return t
}
