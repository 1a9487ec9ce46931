package formation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/routes"
)

// candidate is one way to form a replica now.
type candidate struct {
	model   routes.Model
	fabric  string
	members []Host
	// ready is how long the slowest member takes to hold the model.
	ready time.Duration
	// loads is how many members must load from the weight store.
	loads int
}

// form makes new replicas of the engines that are free, for the model that lacks most.
func (p *Planner) form() {
	free := p.free()
	for {
		best, found := p.best(free)
		if !found {
			return
		}
		p.start(best)
		taken := map[string]bool{}
		for _, h := range best.members {
			taken[h.ID] = true
		}
		free[best.fabric] = slices.DeleteFunc(free[best.fabric], func(h Host) bool { return taken[h.ID] })
	}
}

// free returns the engines that no replica holds, by fabric domain.
func (p *Planner) free() map[string][]Host {
	held := map[string]bool{}
	for _, u := range p.units {
		for _, id := range u.members {
			held[id] = true
		}
	}
	free := map[string][]Host{}
	for _, h := range p.view.Hosts {
		if h.usable() && !held[h.ID] {
			free[h.Fabric] = append(free[h.Fabric], h)
		}
	}
	for _, list := range free {
		slices.SortFunc(list, byID)
	}
	return free
}

// best returns the replica to form next: of the model that lacks most, the one that is
// ready first.
func (p *Planner) best(free map[string][]Host) (candidate, bool) {
	var best candidate
	found := false
	for _, m := range p.view.Engine.Models {
		for _, fabric := range slices.Sorted(maps.Keys(free)) {
			c, ok := p.candidate(m, fabric, free[fabric])
			if ok && (!found || p.better(c, best)) {
				best, found = c, true
			}
		}
	}
	return best, found
}

func (p *Planner) better(a, b candidate) bool {
	if a.model.Name != b.model.Name {
		return p.supply(a.model) < p.supply(b.model)
	}
	return a.ready < b.ready
}

// supply is how many replicas of a model there are for its share of the work.
func (p *Planner) supply(m routes.Model) float64 {
	count := 0
	for _, u := range p.units {
		if u.model == m.Name && u.phase != phaseLeaving {
			count++
		}
	}
	weight := m.Share / float64(max(m.Size, 1))
	if weight <= 0 {
		weight = 1e-3
	}
	return float64(count) / weight
}

func (p *Planner) candidate(m routes.Model, fabric string, hosts []Host) (candidate, bool) {
	if m.Size <= 0 || len(hosts) < m.Size {
		return candidate{}, false
	}
	sorted := slices.Clone(hosts)
	slices.SortStableFunc(sorted, func(a, b Host) int { return cmp.Compare(p.readyIn(a, m), p.readyIn(b, m)) })
	c := candidate{model: m, fabric: fabric, members: sorted[:m.Size]}
	for _, h := range c.members {
		c.ready = max(c.ready, p.readyIn(h, m))
		if p.mustLoad(h, m) {
			c.loads++
		}
	}
	return c, !p.view.Started || c.loads == 0 || p.loads.room(p.now, c.loads)
}

// readyIn is how long an engine takes to hold a model.
func (p *Planner) readyIn(h Host, m routes.Model) time.Duration {
	switch {
	case p.modelOf(h) == m.Name:
		return joinTime
	case h.staged(m.Name):
		return m.Warm
	default:
		return m.Load
	}
}

func (p *Planner) mustLoad(h Host, m routes.Model) bool {
	return p.modelOf(h) != m.Name && !h.staged(m.Name)
}

func (p *Planner) start(c candidate) {
	if p.view.Started {
		p.loads.take(p.now, c.loads)
	}
	u := &unit{
		Place: p.nextPlace(), model: c.model.Name, fabric: c.fabric, phase: phaseForming,
		began: p.now, limit: p.now.Add(c.ready + formingMargin),
	}
	for _, h := range c.members {
		u.members = append(u.members, h.ID)
	}
	p.units[u.Replica] = u
	p.note(u, "formed", "free engines")
	for _, id := range u.members {
		p.give(Join{id, u.Place, u.model, u.members})
	}
}

// stage loads models onto the hosts of spare engines, so that they can replace a member
// quickly: of each fabric domain's spares the first gets the model with the largest
// replicas, the next the second largest, and so on round.
func (p *Planner) stage() {
	models := slices.Clone(p.view.Engine.Models)
	slices.SortStableFunc(models, func(a, b routes.Model) int { return cmp.Compare(b.Size, a.Size) })
	free := p.free()
	for _, fabric := range slices.Sorted(maps.Keys(free)) {
		p.stageSpares(models, free[fabric])
	}
}

func (p *Planner) stageSpares(models []routes.Model, spares []Host) {
	wanted := make([]routes.Model, 0, len(spares))
	for i := range spares {
		wanted = append(wanted, models[i%len(models)])
	}
	var idle []Host
	for _, h := range spares {
		i := slices.IndexFunc(wanted, func(m routes.Model) bool { return h.staged(m.Name) })
		if i < 0 {
			idle = append(idle, h)
			continue
		}
		wanted = slices.Delete(wanted, i, i+1)
	}
	for i, h := range idle {
		if len(h.Staged) > 0 && p.view.Started {
			continue // It holds a model that is wanted less; a load would buy little.
		}
		p.stageOne(h, wanted[i])
	}
}

func (p *Planner) stageOne(h Host, m routes.Model) {
	o := Stage{h.ID, m.Name}
	text := stageText(h)
	if at, ok := p.sent[text]; ok && p.now.Sub(at) < m.Load+formingMargin {
		return
	}
	if p.view.Started && !p.loads.room(p.now, 1) {
		return
	}
	if p.view.Started {
		p.loads.take(p.now, 1)
	}
	p.sent[text] = p.now
	p.orders = append(p.orders, o)
}

func stageText(h Host) string { return "stage " + h.ID }
