package formation

import (
	"cmp"
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
	// earlyLoads is the part of their time that loads take while no caller has come.
	earlyLoads = 0.1
)

// candidate is one replica that could be formed now.
type candidate struct {
	model   routes.Model
	members []Host
	// ready is how long the slowest member takes to hold the model.
	ready time.Duration
	// pending says that a member does not hold the model yet, and loads is how many must
	// begin to load it from the weight store.
	pending bool
	loads   int
}

// composition is a way to use the free engines of one fabric domain.
type composition struct {
	replicas []candidate
	value    float64
}

// compose returns the most valuable way to form replicas of hosts. have is how many there
// are of each model; allowed says which replicas may be considered.
func (p *Planner) compose(hosts []Host, have map[string]int, allowed func(candidate) bool) composition {
	var best composition
	counts := make([]int, len(p.view.Engine.Models))
	p.enumerate(counts, 0, len(hosts), func() {
		replicas, ok := p.assign(hosts, counts, allowed)
		if !ok {
			return
		}
		if value := p.worth(replicas, have); value > best.value {
			best = composition{replicas, value}
		}
	})
	return best
}

// enumerate calls visit for every number of replicas of each model from index on that fits
// into room engines.
func (p *Planner) enumerate(counts []int, index, room int, visit func()) {
	if index == len(counts) {
		visit()
		return
	}
	size := p.view.Engine.Models[index].Size
	for n := 0; size > 0 && n*size <= room || n == 0; n++ {
		counts[index] = n
		p.enumerate(counts, index+1, room-n*size, visit)
		if size <= 0 {
			break
		}
	}
	counts[index] = 0
}

// assign gives each replica the engines that suit its model best compared with the other
// models that are formed.
func (p *Planner) assign(hosts []Host, counts []int, allowed func(candidate) bool) ([]candidate, bool) {
	left := slices.Clone(hosts)
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
		slices.SortStableFunc(left, func(a, b Host) int {
			return cmp.Or(cmp.Compare(p.advantage(a, m, others), p.advantage(b, m, others)),
				cmp.Compare(p.readyIn(a, m), p.readyIn(b, m)))
		})
		for range counts[i] {
			c := p.candidate(m, left[:m.Size])
			left = left[m.Size:]
			if !allowed(c) {
				return nil, false
			}
			replicas = append(replicas, c)
		}
	}
	return replicas, true
}

// advantage is how much longer an engine takes to hold a model than the quickest of others.
func (p *Planner) advantage(h Host, m routes.Model, others []routes.Model) time.Duration {
	if len(others) == 0 {
		return p.readyIn(h, m)
	}
	quickest := time.Duration(math.MaxInt64)
	for _, o := range others {
		quickest = min(quickest, p.readyIn(h, o))
	}
	return p.readyIn(h, m) - quickest
}

func (p *Planner) candidate(m routes.Model, members []Host) candidate {
	c := candidate{model: m, members: slices.Clone(members)}
	for _, h := range members {
		c.ready = max(c.ready, p.readyIn(h, m))
		c.pending = c.pending || p.mustLoad(h, m)
		if !p.holdsSoon(h, m) {
			c.loads++
		}
	}
	return c
}

// worth is what replicas add to how well the demand is met, each counted the less the later
// it is ready.
func (p *Planner) worth(replicas []candidate, have map[string]int) float64 {
	total := 0.0
	count := map[string]int{}
	for _, c := range replicas {
		required := max(p.required(c.model), 1)
		n := float64(have[c.model.Name] + count[c.model.Name])
		count[c.model.Name]++
		added := met((n+1)/required) - met(n/required) + surplus/required
		wait := horizon + c.ready
		if p.view.Started {
			wait += time.Duration(c.loads) * loadCost
		}
		total += max(c.model.Share, surplus) * added * float64(horizon) / float64(wait)
	}
	return total
}

// met is how well a demand is met of which a part is covered. The better it is met the less
// one more replica adds, so that no model goes without.
func met(part float64) float64 { return math.Sqrt(min(1, max(0, part))) }

// have counts the replicas of each model that serve or will, those that are about to end
// left out.
func (p *Planner) have() map[string]int {
	have := map[string]int{}
	for _, u := range p.units {
		if u.phase != phaseLeaving && u.phase != phaseClosing {
			have[u.model]++
		}
	}
	return have
}

// required is how many replicas a model's demand asks for.
func (p *Planner) required(m routes.Model) float64 {
	if demand, known := p.view.Demand[m.Name]; known && p.view.Started {
		return demand
	}
	return m.Share * float64(len(p.view.Hosts)) / float64(max(m.Size, 1))
}

// readyIn is how long an engine takes to hold a model.
func (p *Planner) readyIn(h Host, m routes.Model) time.Duration {
	switch {
	case p.modelOf(h) == m.Name:
		return joinTime
	case h.staged(m.Name):
		return m.Warm
	case !p.view.Started:
		return time.Duration(float64(m.Load) * earlyLoads)
	default:
		return p.loadLeft(h, m) + m.Warm
	}
}

func (p *Planner) mustLoad(h Host, m routes.Model) bool {
	return p.modelOf(h) != m.Name && !h.staged(m.Name)
}
