package formation

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/routes"
)

const (
	// horizon is how far ahead a new replica is valued: one that is ready after as long
	// counts half.
	horizon = 8 * time.Second
	// loadCost is what one load from the weight store adds to the time that a replica is
	// taken to need: others wait for the store meanwhile.
	loadCost = 2 * time.Second
	// surplus is the value of a replica beyond the demand, against one that is needed.
	surplus = 0.05
	// sizeTie lets larger replicas go first where models lack the same part.
	sizeTie = 0.02
	// shortfall is the part of a replica by which a model must lack before a load from the
	// weight store is worth it.
	shortfall = 0.2
	// settleFabric is how long a fabric domain's free engines must have been the same
	// before a load is begun there.
	settleFabric = 1200 * time.Millisecond
	// arrivalTime is how long an engine that has just come is left free, so that the others
	// of its domain, which come one after the other, are there when replicas are formed.
	arrivalTime = 500 * time.Millisecond
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
	// score is its value for each engine that it takes.
	score float64
}

// form makes new replicas of the engines that are free, those of the most value first.
func (p *Planner) form() {
	free := p.free()
	p.watch(free)
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

// watch notes when the free engines of each fabric domain last changed.
func (p *Planner) watch(free map[string][]Host) {
	for fabric, hosts := range free {
		names := ""
		for _, h := range hosts {
			names += h.ID + " "
		}
		if last, ok := p.settled[fabric]; !ok || last.names != names {
			p.settled[fabric] = settled{names, p.now}
		}
	}
}

// gathering reports whether engines are still coming to a fabric domain.
func (p *Planner) gathering(fabric string) bool {
	return p.now.Sub(p.arrived[fabric]) < arrivalTime
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
		if h.usable() && !held[h.ID] && p.released(h) {
			free[h.Fabric] = append(free[h.Fabric], h)
		}
	}
	for _, list := range free {
		slices.SortFunc(list, byID)
	}
	return free
}

// released reports whether an engine that no known replica holds may be used: it is in
// none, or its replica's head is out. Otherwise it is told to leave first.
func (p *Planner) released(h Host) bool {
	if h.Member == nil || p.ended[h.Member.Replica].clean {
		return true
	}
	p.give(Leave{h.ID, Place{h.Member.Replica, h.Member.Epoch}})
	return false
}

// best returns the replica to form next.
func (p *Planner) best(free map[string][]Host) (candidate, bool) {
	var best candidate
	found := false
	for _, m := range p.view.Engine.Models {
		for _, fabric := range slices.Sorted(maps.Keys(free)) {
			c, ok := p.candidate(m, fabric, free[fabric])
			if ok && (!found || c.score > best.score) {
				best, found = c, true
			}
		}
	}
	return best, found
}

func (p *Planner) candidate(m routes.Model, fabric string, hosts []Host) (candidate, bool) {
	if m.Size <= 0 || len(hosts) < m.Size || p.gathering(fabric) {
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
	lack := p.lack(m)
	if !p.view.Started {
		// Loads cost little yet: all models get their part, the largest replicas first.
		c.score = lack/max(p.required(m), 1) + float64(m.Size)*sizeTie
		return c, true
	}
	c.score = p.value(m, lack) * float64(horizon) / float64(horizon+c.ready+time.Duration(c.loads)*loadCost) / float64(m.Size)
	if c.loads == 0 {
		return c, true
	}
	calm := p.now.Sub(p.settled[fabric].since) >= settleFabric
	return c, calm && lack >= shortfall && p.mayLoad(c.loads)
}

// lack is how many replicas of a model there are fewer than its demand asks for.
func (p *Planner) lack(m routes.Model) float64 {
	have := 0
	for _, u := range p.units {
		if u.model == m.Name && u.phase != phaseLeaving {
			have++
		}
	}
	return p.required(m) - float64(have)
}

// required is how many replicas a model's demand asks for.
func (p *Planner) required(m routes.Model) float64 {
	if demand, known := p.view.Demand[m.Name]; known && p.view.Started {
		return demand
	}
	return m.Share * float64(len(p.view.Hosts)) / float64(max(m.Size, 1))
}

// value is what one more replica of a model is worth: the model's part of the work, times
// what the replica adds to how well the demand is met. The better it is met the less one
// more adds, so that no model goes without.
func (p *Planner) value(m routes.Model, lack float64) float64 {
	required := max(p.required(m), 1)
	have := required - lack
	return max(m.Share, surplus) * (met((have+1)/required) - met(have/required) + surplus/required)
}

// met is how well a demand is met of which a part is covered.
func met(part float64) float64 { return math.Sqrt(min(1, max(0, part))) }

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
	for _, h := range c.members {
		if p.mustLoad(h, c.model) {
			p.load(h, c.model)
		}
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
