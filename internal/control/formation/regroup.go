package formation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/routes"
)

const (
	// regroupMinGain is the least gain, as a fraction of the closed replicas' part of all engines, for which replicas are
	// closed. A smaller one is not worth the disturbance. In a fleet of any size no gain above maxRegroupMinGain, a fraction of
	// all work, is too small.
	regroupMinGain    = 0.15
	maxRegroupMinGain = 0.03
	// regroupInterval is the least time between two regroupings in one fabric domain. regroupWait
	// is how long the domain forms no other replicas while one is under way.
	regroupInterval = 6 * time.Second
	regroupWait     = 4 * time.Second
	// regroupCheckInterval is the least time between two checks in one fabric domain. The checks
	// cost processor time.
	regroupCheckInterval = 250 * time.Millisecond
)

// regroup closes some serving replicas of a fabric domain if their engines, together with the free ones, could form
// replicas of higher value without loads from the weight store. It must gain enough over current, the best composition of
// the free engines alone. It reports whether it closed any replica.
func (p *Planner) regroup(fabric string, hosts []Host, existing map[string]int, current composition) bool {
	if p.recentlyWithdrawn(fabric) || !p.view.TrafficStarted || p.now.Sub(p.lastRegroup[fabric]) < regroupInterval || p.now.Sub(p.lastRegroupCheck[fabric]) < regroupCheckInterval {
		return false
	}
	p.lastRegroupCheck[fabric] = p.now
	var best []*replica
	gain := 0.0
	for _, closed := range p.closableSets(fabric, len(hosts)) {
		if g := p.regroupValue(closed, hosts, existing) - current.value - p.minGain(closed); g > gain {
			best, gain = closed, g
		}
	}
	for _, r := range best {
		p.enterPhase(r, phaseClosing, "its engines and the free ones form better replicas")
	}
	if len(best) > 0 {
		p.lastRegroup[fabric] = p.now
	}
	return len(best) > 0
}

// minGain returns the gain that closing replicas must bring.
func (p *Planner) minGain(closed []*replica) float64 {
	engines := 0
	for _, r := range closed {
		engines += len(r.members)
	}
	return min(maxRegroupMinGain, regroupMinGain*float64(engines)/float64(max(len(p.view.Hosts), 1)))
}

// closableSets returns every single serving replica of a fabric domain, every pair of them, and for each model a larger set if it takes
// more than two replicas of others, with the free engines, to form one of it.
func (p *Planner) closableSets(fabric string, free int) [][]*replica {
	var serving []*replica
	for _, name := range slices.Sorted(maps.Keys(p.replicas)) {
		if r := p.replicas[name]; r.fabric == fabric && r.phase == phaseServing {
			serving = append(serving, r)
		}
	}
	var sets [][]*replica
	for i, r := range serving {
		sets = append(sets, []*replica{r})
		for _, other := range serving[i+1:] {
			sets = append(sets, []*replica{r, other})
		}
	}
	for _, m := range p.view.Engine.Models {
		if set := p.setForLarger(m, serving, free); len(set) > 2 {
			sets = append(sets, set)
		}
	}
	return sets
}

// setForLarger returns so many replicas of other models that their engines and the free ones suffice for a replica of model m. It prefers
// those whose hosts hold m. The result is nil if there are too few.
func (p *Planner) setForLarger(m routes.Model, serving []*replica, free int) []*replica {
	var others []*replica
	for _, r := range serving {
		if r.model != m.Name {
			others = append(others, r)
		}
	}
	slices.SortStableFunc(others, func(a, b *replica) int { return cmp.Compare(p.countHolding(b, m), p.countHolding(a, m)) })
	for i, r := range others {
		if free += len(r.members); free >= m.Size {
			return others[:i+1]
		}
	}
	return nil
}

// countHolding returns the number of members of a replica whose hosts hold a model.
func (p *Planner) countHolding(r *replica, m routes.Model) int {
	count := 0
	for _, id := range r.members {
		if h, known := p.hosts[id]; known && !p.needsLoad(h, m) {
			count++
		}
	}
	return count
}

// regroupValue returns the value that the free engines and those of the closed replicas have
// together, less the value of the closed replicas. It returns 0 if one of these engines is not
// usable.
func (p *Planner) regroupValue(closed []*replica, hosts []Host, existing map[string]int) float64 {
	pool := slices.Clone(hosts)
	remaining := maps.Clone(existing)
	var closedCandidates []candidate
	for _, r := range closed {
		for _, id := range r.members {
			h, known := p.hosts[id]
			if !known || !p.available(h) {
				return 0
			}
			pool = append(pool, h)
		}
		remaining[r.model]--
		m, _ := p.view.Engine.Model(r.model)
		closedCandidates = append(closedCandidates, candidate{model: m})
	}
	regrouped := p.bestComposition(pool, remaining, func(c candidate) bool { return !c.needsLoad })
	return regrouped.value*float64(valueHorizon)/float64(valueHorizon+drainTimeout) - p.valueOf(closedCandidates, remaining)
}

// regrouping reports whether a replica of the fabric domain is being closed and the last
// regrouping there is recent.
func (p *Planner) regrouping(fabric string) bool {
	if p.now.Sub(p.lastRegroup[fabric]) > regroupWait {
		return false
	}
	for _, r := range p.replicas {
		if r.fabric == fabric && (r.phase == phaseClosing || r.phase == phaseLeaving) {
			return true
		}
	}
	return false
}
