package formation

import (
	"maps"
	"slices"
	"time"
)

const (
	// exchangeGain is what the closing of replicas must bring, as a part of all work, to
	// be worth the disturbance.
	exchangeGain = 0.03
	// exchangeEvery is the least time between two such closings in one fabric domain, and
	// exchangeTime how long other formations there wait for one.
	exchangeEvery = 6 * time.Second
	exchangeTime  = 4 * time.Second
	// exchangeLook is the least time between two looks for one: they cost processor time.
	exchangeLook = 250 * time.Millisecond
)

// exchange closes one or two serving replicas of a fabric domain if their engines, together
// with the free ones, could form replicas of more value without the weight store.
func (p *Planner) exchange(fabric string, hosts []Host, have map[string]int, warm composition) bool {
	if !p.view.Started || p.now.Sub(p.exchanged[fabric]) < exchangeEvery || p.now.Sub(p.looked[fabric]) < exchangeLook {
		return false
	}
	p.looked[fabric] = p.now
	var best []*unit
	gain := exchangeGain
	for _, closed := range p.closable(fabric) {
		if g := p.exchangeFor(closed, hosts, have) - warm.value; g > gain {
			best, gain = closed, g
		}
	}
	for _, u := range best {
		p.enter(u, phaseClosing, "its engines serve better with the free ones")
	}
	if len(best) > 0 {
		p.exchanged[fabric] = p.now
	}
	return len(best) > 0
}

// closable returns the serving replicas of a fabric domain, one by one and two by two.
func (p *Planner) closable(fabric string) [][]*unit {
	var units []*unit
	for _, name := range slices.Sorted(maps.Keys(p.units)) {
		if u := p.units[name]; u.fabric == fabric && u.phase == phaseServing {
			units = append(units, u)
		}
	}
	var sets [][]*unit
	for i, u := range units {
		sets = append(sets, []*unit{u})
		for _, other := range units[i+1:] {
			sets = append(sets, []*unit{u, other})
		}
	}
	return sets
}

// exchangeFor is what the free engines and those of some serving replicas are worth
// together, less the replicas.
func (p *Planner) exchangeFor(closed []*unit, hosts []Host, have map[string]int) float64 {
	pool := slices.Clone(hosts)
	without := maps.Clone(have)
	var lost []candidate
	for _, u := range closed {
		for _, id := range u.members {
			h, known := p.hosts[id]
			if !known || !h.usable() {
				return 0
			}
			pool = append(pool, h)
		}
		without[u.model]--
		m, _ := p.view.Engine.Model(u.model)
		lost = append(lost, candidate{model: m})
	}
	together := p.compose(pool, without, func(c candidate) bool { return !c.pending })
	return together.value*float64(horizon)/float64(horizon+drainTime) - p.worth(lost, without)
}

// exchanging reports whether a replica of the fabric domain is being closed for an exchange.
func (p *Planner) exchanging(fabric string) bool {
	if p.now.Sub(p.exchanged[fabric]) > exchangeTime {
		return false
	}
	for _, u := range p.units {
		if u.fabric == fabric && (u.phase == phaseClosing || u.phase == phaseLeaving) {
			return true
		}
	}
	return false
}
