package formation

import (
	"maps"
	"slices"

	"github.com/egretreach/egretreach/internal/fleet/routes"
)

// minCoverageGap is how much lower a model's coverage must be than that of the best covered one
// before engines are prepared for it.
const minCoverageGap = 0.4

// rebalance prepares engines that serve a well covered model for a model that lacks replicas.
// Their hosts load it while the engines go on serving. Once enough hosts of a fabric domain hold
// it, regroup forms the replica.
func (p *Planner) rebalance(fabrics map[string][]Host, replicaOf map[string]*replica) {
	existing := p.replicaCounts()
	lacking, ok := p.undercoveredModel(existing)
	if !ok {
		return
	}
	var target []Host
	most := 0
	for _, fabric := range slices.Sorted(maps.Keys(fabrics)) {
		pool := p.convertible(fabrics[fabric], lacking, replicaOf)
		ready := 0
		for _, h := range pool {
			if p.holdsOrLoads(h, lacking) {
				ready++
			}
		}
		if len(pool) >= lacking.Size && ready < lacking.Size && (target == nil || ready > most) {
			target, most = pool, ready
		}
	}
	for _, h := range target {
		if most >= lacking.Size || p.storeBusy() {
			return
		}
		if !p.holdsOrLoads(h, lacking) {
			p.stageHost(h, lacking)
			most++
		}
	}
}

// undercoveredModel returns the model with the lowest coverage. It reports whether the best
// covered model exceeds it by enough to spare engines.
func (p *Planner) undercoveredModel(existing map[string]int) (routes.Model, bool) {
	var least, best routes.Model
	for _, m := range p.view.Engine.Models {
		if least.Name == "" || p.coverage(m, existing) < p.coverage(least, existing) {
			least = m
		}
		if best.Name == "" || p.coverage(m, existing) > p.coverage(best, existing) {
			best = m
		}
	}
	return least, least.Size > 0 && p.coverage(least, existing)+minCoverageGap < min(1, p.coverage(best, existing))
}

// convertible returns the engines of a fabric domain that are free or serve another model than m.
func (p *Planner) convertible(hosts []Host, m routes.Model, replicaOf map[string]*replica) []Host {
	var pool []Host
	for _, h := range hosts {
		r := replicaOf[h.ID]
		if r == nil || r.model != m.Name && servingMember(r, h) {
			pool = append(pool, h)
		}
	}
	return pool
}

// holdsOrLoads reports whether an engine holds a model or is loading it.
func (p *Planner) holdsOrLoads(h Host, m routes.Model) bool {
	running, loading := p.loading[h.Incarnation()]
	return !p.needsLoad(h, m) || loading && running.model == m.Name
}

// storeBusy reports whether the running loads leave only the capacity of the weight store that is
// kept for more urgent loads.
func (p *Planner) storeBusy() bool {
	limit := p.view.Engine.MaxConcurrentLoads
	return limit > 0 && len(p.loading)+extraLoads >= limit
}
