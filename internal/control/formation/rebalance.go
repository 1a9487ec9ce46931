package formation

import (
	"maps"
	"slices"

	"github.com/egretreach/egretreach/internal/fleet/routes"
)

// lackGap is by how much less of its demand a model must be able to meet than the best
// covered one before engines of that one are prepared for it.
const lackGap = 0.4

// rebalance prepares engines that serve a model which is well covered for one that lacks
// replicas: their hosts load it while they serve. Once enough of a fabric domain hold it,
// an exchange forms the replica.
func (p *Planner) rebalance(fabrics map[string][]Host, holder map[string]*unit) {
	have := p.have()
	lacking, ok := p.lacking(have)
	if !ok {
		return
	}
	var target []Host
	most := 0
	for _, fabric := range slices.Sorted(maps.Keys(fabrics)) {
		pool := p.convertible(fabrics[fabric], lacking, holder)
		ready := 0
		for _, h := range pool {
			if p.holdsSoon(h, lacking) {
				ready++
			}
		}
		if len(pool) >= lacking.Size && ready < lacking.Size && (target == nil || ready > most) {
			target, most = pool, ready
		}
	}
	for _, h := range target {
		if most >= lacking.Size || p.busyStore() {
			return
		}
		if !p.holdsSoon(h, lacking) {
			p.stageOne(h, lacking)
			most++
		}
	}
}

// lacking returns the model that is covered the least, if another one is covered so much
// better that it can spare engines.
func (p *Planner) lacking(have map[string]int) (routes.Model, bool) {
	var least, best routes.Model
	for _, m := range p.view.Engine.Models {
		if least.Name == "" || p.covered(m, have) < p.covered(least, have) {
			least = m
		}
		if best.Name == "" || p.covered(m, have) > p.covered(best, have) {
			best = m
		}
	}
	return least, least.Size > 0 && p.covered(least, have)+lackGap < min(1, p.covered(best, have))
}

// convertible returns the engines of a fabric domain that are free or serve another model.
func (p *Planner) convertible(hosts []Host, m routes.Model, holder map[string]*unit) []Host {
	var pool []Host
	for _, h := range hosts {
		u := holder[h.ID]
		if u == nil || u.model != m.Name && settledMember(u, h) {
			pool = append(pool, h)
		}
	}
	return pool
}

// holdsSoon reports whether an engine holds a model, or is loading it.
func (p *Planner) holdsSoon(h Host, m routes.Model) bool {
	under, loading := p.loading[h.Life()]
	return !p.mustLoad(h, m) || loading && under.model == m.Name
}

// busyStore reports whether the weight store has no room beside more urgent loads.
func (p *Planner) busyStore() bool {
	atOnce := p.view.Engine.LoadsAtOnce
	return atOnce > 0 && len(p.loading)+fewLoads >= atOnce
}
