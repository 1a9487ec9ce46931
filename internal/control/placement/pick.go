package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// spreadPenalty is the extra load time that is accepted to have one replica less of
// the same deployment in a fabric domain.
const spreadPenalty = 10 * time.Second

// slotPenalty is the extra load time that is accepted to leave one more slot for a
// whole replica free. Such a slot can replace a replica of any fabric domain, and lets
// a replacement be built before the old replica ends.
const slotPenalty = time.Minute

// maxFreeBonus bounds the preference for fabric domains with many free hosts. Each
// free host up to it counts as one second of load time.
const maxFreeBonus = 9

// pick returns the best count free hosts of a fabric domain for d, or nil if there are
// too few. Hosts that hold the weights come first, then those lost least often.
func (p *planner) pick(d *Deployment, fabric, count int) []int {
	if count == 0 {
		return []int{}
	}
	best := p.allowedFree(d, fabric)
	if count > len(best) || !d.allows(p.fabrics[fabric].name) {
		return nil
	}
	w := d.weights()
	slices.SortStableFunc(best, func(a, b int) int {
		return p.compareSpares(w, a, b)
	})
	return best[:count]
}

// allowedFree returns the free hosts of a fabric domain that d may use.
func (p *planner) allowedFree(d *Deployment, fabric int) []int {
	free := slices.Clone(p.fabrics[fabric].free)
	return slices.DeleteFunc(free, func(i int) bool { return !d.allowsHost(&p.fleet.Hosts[i]) })
}

// allowsFabric reports whether d may use any host of a fabric domain.
func (p *planner) allowsFabric(d *Deployment, fabric int) bool {
	allowed := func(i int) bool { return d.allowsHost(&p.fleet.Hosts[i]) }
	return d.allows(p.fabrics[fabric].name) && slices.ContainsFunc(p.fabrics[fabric].hosts, allowed)
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
// deployment dep, or nil. It weighs load time, the spread of the deployment over
// fabric domains, and the hosts and slots left free.
func (p *planner) pickGroup(dep int) []int {
	return p.pickOutside(dep, noFabric)
}

// pickOutside is like pickGroup but leaves out the fabric domain with index avoid.
func (p *planner) pickOutside(dep, avoid int) []int {
	d := &p.fleet.Deployments[dep]
	var best []int
	var bestScore time.Duration
	for fabric := range p.fabrics {
		if fabric == avoid {
			continue
		}
		hosts := p.pick(d, fabric, d.HostsPerReplica)
		if hosts == nil {
			continue
		}
		load, _ := p.loadTime(d, hosts)
		score := load + spreadPenalty*time.Duration(p.replicasIn(dep, fabric))
		score += slotPenalty * time.Duration(p.slotsLost(fabric, d.HostsPerReplica))
		score -= time.Second * time.Duration(min(len(p.fabrics[fabric].free), maxFreeBonus))
		if best == nil || score < bestScore {
			best, bestScore = hosts, score
		}
	}
	return best
}

// slotsLost returns how many slots for a replica of the largest size are lost if count
// free hosts of a fabric domain are claimed.
func (p *planner) slotsLost(fabric, count int) int {
	free := len(p.fabrics[fabric].free)
	return free/p.largestReplica - (free-count)/p.largestReplica
}

// replicasIn counts the deployment's replicas in a fabric domain.
func (p *planner) replicasIn(dep, fabric int) int {
	count := 0
	for _, g := range p.groupsOf[dep] {
		if !g.ended && g.fabric == fabric {
			count++
		}
	}
	return count
}

// hostIDs returns the IDs of hosts that are given by index.
func (p *planner) hostIDs(hosts []int) []host.ID {
	out := make([]host.ID, len(hosts))
	for at, i := range hosts {
		out[at] = p.fleet.Hosts[i].ID
	}
	return out
}

// accelerators returns the total number of accelerators of hosts.
func (p *planner) accelerators(hosts []int) int {
	count := 0
	for _, i := range hosts {
		count += p.fleet.Hosts[i].Accelerators
	}
	return count
}
