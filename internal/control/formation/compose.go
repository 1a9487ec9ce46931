package formation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/routes"
)

const (
	// valueHorizon discounts the value of a replica by the time until it is ready: one that
	// becomes ready after this time counts half.
	valueHorizon = 8 * time.Second
	// loadPenalty is added to the ready time of a replica for each load from the weight store,
	// because other loads wait for the store meanwhile.
	loadPenalty = 2 * time.Second
	// surplusValue weighs a replica beyond the demand against one within it. It is also the least
	// share that valueOf assumes for a model.
	surplusValue = 0.05
	// demandHeadroom is how many times the replicas that a demand would keep busy all the time are worth having: requests
	// arrive unevenly, and replicas are lost.
	demandHeadroom = 1.3
	// preTrafficLoadFactor is the fraction of the configured load time that a load takes before
	// the first caller's request.
	preTrafficLoadFactor = 0.1
)

// candidate is a replica that could be formed now.
type candidate struct {
	model   routes.Model
	members []Host
	// readyTime is the time until the slowest member holds the model.
	readyTime time.Duration
	// needsLoad is true if a member does not hold the model yet. newLoads counts the members that
	// would have to start a load from the weight store.
	needsLoad bool
	newLoads  int
}

// composition is a set of replicas that could be formed of the free engines of one fabric domain.
type composition struct {
	replicas []candidate
	value    float64
}

// bestComposition returns the most valuable set of replicas that can be formed of hosts.
// existing counts the replicas of each model so far; allowed filters the candidates.
func (p *Planner) bestComposition(hosts []Host, existing map[string]int, allowed func(candidate) bool) composition {
	var best composition
	counts := make([]int, len(p.view.Engine.Models))
	p.forEachCount(counts, 0, len(hosts), func() {
		replicas, ok := p.assignHosts(hosts, counts, allowed)
		if !ok {
			return
		}
		if value := p.valueOf(replicas, existing); value > best.value {
			best = composition{replicas, value}
		}
	})
	return best
}

// forEachCount calls visit for every combination of replica counts that fits into room engines.
// It varies the counts of the models from index on.
func (p *Planner) forEachCount(counts []int, index, room int, visit func()) {
	if index == len(counts) {
		visit()
		return
	}
	size := p.view.Engine.Models[index].Size
	for n := 0; size > 0 && n*size <= room || n == 0; n++ {
		counts[index] = n
		p.forEachCount(counts, index+1, room-n*size, visit)
		if size <= 0 {
			break
		}
	}
	counts[index] = 0
}

// assignHosts gives each replica the engines that suit its model best, compared with the other
// models that are formed. It reports false if a candidate is not allowed.
func (p *Planner) assignHosts(hosts []Host, counts []int, allowed func(candidate) bool) ([]candidate, bool) {
	free := slices.Clone(hosts)
	var replicas []candidate
	for i, m := range p.view.Engine.Models {
		if counts[i] == 0 {
			continue
		}
		var others []routes.Model
		for j := i + 1; j < len(counts); j++ {
			if counts[j] > 0 {
				others = append(others, p.view.Engine.Models[j])
			}
		}
		slices.SortStableFunc(free, func(a, b Host) int {
			return cmp.Or(cmp.Compare(p.extraReadyTime(a, m, others), p.extraReadyTime(b, m, others)),
				cmp.Compare(p.readyTime(a, m), p.readyTime(b, m)))
		})
		for range counts[i] {
			c := p.newCandidate(m, free[:m.Size])
			free = free[m.Size:]
			if !allowed(c) {
				return nil, false
			}
			replicas = append(replicas, c)
		}
	}
	return replicas, true
}

// extraReadyTime returns how much longer an engine takes to hold model m than to hold the
// quickest of the other models. Without others it returns the ready time for m.
func (p *Planner) extraReadyTime(h Host, m routes.Model, others []routes.Model) time.Duration {
	if len(others) == 0 {
		return p.readyTime(h, m)
	}
	quickest := time.Duration(math.MaxInt64)
	for _, o := range others {
		quickest = min(quickest, p.readyTime(h, o))
	}
	return p.readyTime(h, m) - quickest
}

func (p *Planner) newCandidate(m routes.Model, members []Host) candidate {
	c := candidate{model: m, members: slices.Clone(members)}
	for _, h := range members {
		c.readyTime = max(c.readyTime, p.readyTime(h, m))
		c.needsLoad = c.needsLoad || p.needsLoad(h, m)
		if !p.holdsOrLoads(h, m) {
			c.newLoads++
		}
	}
	return c
}

// valueOf returns how much replicas improve the coverage of the demand, weighed by the models'
// shares. The later a replica is ready, the less it counts.
func (p *Planner) valueOf(replicas []candidate, existing map[string]int) float64 {
	total := 0.0
	count := map[string]int{}
	for _, c := range replicas {
		required := max(p.requiredReplicas(c.model)*demandHeadroom, 1)
		n := float64(existing[c.model.Name] + count[c.model.Name])
		count[c.model.Name]++
		gain := demandUtility((n+1)/required) - demandUtility(n/required) + surplusValue/required
		wait := valueHorizon + c.readyTime
		if p.view.TrafficStarted {
			wait += time.Duration(c.newLoads) * loadPenalty
		}
		total += max(c.model.Share, surplusValue) * gain * float64(valueHorizon) / float64(wait)
	}
	return total
}

// demandUtility returns the utility of covering a part of a demand, 0 to 1. It is concave: each
// further replica of a model adds less, so that no model is left without one.
func demandUtility(part float64) float64 { return math.Sqrt(min(1, max(0, part))) }

// replicaCounts returns the number of replicas of each model that serve or are being formed.
func (p *Planner) replicaCounts() map[string]int {
	counts := map[string]int{}
	for _, r := range p.replicas {
		if r.phase != phaseLeaving && r.phase != phaseClosing && !p.isEvacuated(r) {
			counts[r.model]++
		}
	}
	return counts
}

// requiredReplicas returns the number of replicas that a model's demand needs. Before the demand
// is known it is the number that the model's share suggests.
func (p *Planner) requiredReplicas(m routes.Model) float64 {
	if demand, known := p.view.Demand[m.Name]; known && p.view.TrafficStarted {
		return demand
	}
	return m.Share * float64(p.hostCount()) / float64(max(m.Size, 1))
}

// readyTime returns how long an engine takes to hold a model.
func (p *Planner) readyTime(h Host, m routes.Model) time.Duration {
	switch {
	case p.modelOf(h) == m.Name:
		return joinTime
	case h.hasStaged(m.Name):
		return m.WarmLoadTime
	case !p.view.TrafficStarted:
		return time.Duration(float64(m.LoadTime) * preTrafficLoadFactor)
	default:
		return p.remainingLoad(h, m) + m.WarmLoadTime
	}
}

func (p *Planner) needsLoad(h Host, m routes.Model) bool {
	return p.modelOf(h) != m.Name && !h.hasStaged(m.Name)
}
