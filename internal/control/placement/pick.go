package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// spreadPenalty is the load time that is worth one replica less of the same
// deployment in a fabric domain.
const spreadPenalty = 10 * time.Second

// wholePenalty is the load time that is worth one place for a whole replica left
// free. Such a place takes over from any fabric domain, and lets a replacement be
// built first.
const wholePenalty = time.Minute

// maxFreeBonus bounds the preference for the domain with the most free hosts.
const maxFreeBonus = 9

// pick returns the best count free hosts of a fabric domain for d, or nil.
// Hosts that hold the weights come first, then those lost least often.
func (p *planner) pick(d *Deployment, at, count int) []int {
	if count == 0 {
		return []int{}
	}
	free := p.fabrics[at].free
	if count > len(free) || !d.allows(p.fabrics[at].name) {
		return nil
	}
	best := slices.Clone(free)
	w := d.weights()
	slices.SortStableFunc(best, func(a, b int) int {
		return p.compareSpares(w, a, b)
	})
	return best[:count]
}

// compareSpares orders free hosts by their fitness for a claim that loads w.
func (p *planner) compareSpares(w Weights, a, b int) int {
	x, y := &p.fleet.Hosts[a], &p.fleet.Hosts[b]
	if x.holds(w) != y.holds(w) {
		if x.holds(w) {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(x.Losses, y.Losses),
		cmp.Compare(x.slowness(), y.slowness()),
		cmp.Compare(x.ID, y.ID),
	)
}

// pickGroup returns the hosts of the best fabric domain for a whole new replica of
// deployment dep, or nil. It weighs load time, spread, and hosts left over.
func (p *planner) pickGroup(dep int) []int {
	return p.pickOutside(dep, noFabric)
}

// pickOutside is pickGroup without fabric domain avoid.
func (p *planner) pickOutside(dep, avoid int) []int {
	d := &p.fleet.Deployments[dep]
	var best []int
	var bestScore time.Duration
	for at := range p.fabrics {
		if at == avoid {
			continue
		}
		hosts := p.pick(d, at, d.HostsPerReplica)
		if hosts == nil {
			continue
		}
		load, _ := p.loadTime(d, hosts)
		score := load + spreadPenalty*time.Duration(p.replicasIn(dep, at))
		score += wholePenalty * time.Duration(p.wholeLost(at, d.HostsPerReplica))
		score -= time.Second * time.Duration(min(len(p.fabrics[at].free), maxFreeBonus))
		if best == nil || score < bestScore {
			best, bestScore = hosts, score
		}
	}
	return best
}

// wholeLost counts the places for whole replicas that a claim of count free hosts
// of a fabric domain would cost, by the size of the largest replicas.
func (p *planner) wholeLost(at, count int) int {
	free := len(p.fabrics[at].free)
	return free/p.largest - (free-count)/p.largest
}

// replicasIn counts the deployment's replicas in a fabric domain.
func (p *planner) replicasIn(dep, at int) int {
	count := 0
	for _, g := range p.groupsOf[dep] {
		if !g.gone && g.fabric == at {
			count++
		}
	}
	return count
}

// ids names hosts.
func (p *planner) ids(hosts []int) []host.ID {
	out := make([]host.ID, len(hosts))
	for at, i := range hosts {
		out[at] = p.fleet.Hosts[i].ID
	}
	return out
}

// accelerators counts the accelerators of hosts.
func (p *planner) accelerators(hosts []int) int {
	count := 0
	for _, i := range hosts {
		count += p.fleet.Hosts[i].Accelerators
	}
	return count
}
