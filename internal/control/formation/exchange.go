package formation

import (
	"maps"
	"slices"
	"time"
)

const (
	// regroupMinGain is the least gain, as a fraction of all work, for which replicas are closed.
	// A smaller one is not worth the disturbance.
	regroupMinGain = 0.03
	// regroupInterval is the least time between two regroupings in one fabric domain. regroupWait
	// is how long the domain forms no other replicas while one is under way.
	regroupInterval = 6 * time.Second
	regroupWait     = 4 * time.Second
	// regroupCheckInterval is the least time between two checks in one fabric domain. The checks
	// cost processor time.
	regroupCheckInterval = 250 * time.Millisecond
)

// regroup closes one or two serving replicas of a fabric domain if their engines, together with
// the free ones, could form more valuable replicas without loads from the weight store. The value
// of the best composition of the free engines alone is deducted. It reports whether it closed
// any.
func (p *Planner) regroup(fabric string, hosts []Host, have map[string]int, warm composition) bool {
	if !p.view.TrafficStarted || p.now.Sub(p.lastRegroup[fabric]) < regroupInterval || p.now.Sub(p.lastRegroupCheck[fabric]) < regroupCheckInterval {
		return false
	}
	p.lastRegroupCheck[fabric] = p.now
	var best []*replica
	gain := regroupMinGain
	for _, closed := range p.closableSets(fabric) {
		if g := p.regroupValue(closed, hosts, have) - warm.value; g > gain {
			best, gain = closed, g
		}
	}
	for _, u := range best {
		p.enterPhase(u, phaseClosing, "its engines serve better with the free ones")
	}
	if len(best) > 0 {
		p.lastRegroup[fabric] = p.now
	}
	return len(best) > 0
}

// closableSets returns every single serving replica of a fabric domain and every pair of them.
func (p *Planner) closableSets(fabric string) [][]*replica {
	var units []*replica
	for _, name := range slices.Sorted(maps.Keys(p.replicas)) {
		if u := p.replicas[name]; u.fabric == fabric && u.phase == phaseServing {
			units = append(units, u)
		}
	}
	var sets [][]*replica
	for i, u := range units {
		sets = append(sets, []*replica{u})
		for _, other := range units[i+1:] {
			sets = append(sets, []*replica{u, other})
		}
	}
	return sets
}

// regroupValue returns the value that the free engines and those of the closed replicas have
// together, less the value of the closed replicas. It returns 0 if one of these engines is not
// usable.
func (p *Planner) regroupValue(closed []*replica, hosts []Host, have map[string]int) float64 {
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
	together := p.bestComposition(pool, without, func(c candidate) bool { return !c.needsLoad })
	return together.value*float64(valueHorizon)/float64(valueHorizon+drainTimeout) - p.valueOf(lost, without)
}

// regrouping reports whether a replica of the fabric domain is being closed and the last
// regrouping there is recent.
func (p *Planner) regrouping(fabric string) bool {
	if p.now.Sub(p.lastRegroup[fabric]) > regroupWait {
		return false
	}
	for _, u := range p.replicas {
		if u.fabric == fabric && (u.phase == phaseClosing || u.phase == phaseLeaving) {
			return true
		}
	}
	return false
}
