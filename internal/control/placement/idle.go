package placement

import (
	"slices"
	"time"
)

// useIdle forms replicas beyond those wanted from hosts that would be stranded. It
// leaves hosts alone that are new to the free ones or still lack weights, so that
// they can take over for a lost member when they are needed.
func (p *planner) useIdle(order []int) {
	for i := range p.fabrics {
		f := &p.fabrics[i]
		f.free = slices.DeleteFunc(f.free, func(i int) bool { return !p.ready(i, order) })
	}
	for _, dep := range order {
		t := p.tally(dep)
		if t.degraded > 0 || t.leaving > 0 {
			continue
		}
		for range p.limits[dep] - t.claimed() {
			if !p.form(dep, ReasonIdleHosts) {
				break
			}
		}
	}
}

// ready reports whether a free host has been free for long enough, and holds the
// weights that it is to be preloaded with.
func (p *planner) ready(i int, order []int) bool {
	h := &p.fleet.Hosts[i]
	if p.now.Sub(h.Since) < p.policy.IdleTime || p.now.Sub(h.ClaimableAt) < p.policy.IdleTime {
		return false
	}
	if p.policy.ColdSpares || p.full(h) {
		return true
	}
	for _, dep := range order {
		d := &p.fleet.Deployments[dep]
		if d.allows(h.Fabric) && !h.holds(d.weights()) {
			return false
		}
	}
	return true
}

// limit returns how many replicas deployment d may have by its own bounds and weights.
func (p *planner) limit(d *Deployment) int {
	if p.idleCostsMore(d) {
		return d.limit()
	}
	return d.Replicas
}

// idleCostsMore reports whether a replica's worth of idle hosts costs more than
// having to drain a replica first at each loss in their fabric domain.
func (p *planner) idleCostsMore(d *Deployment) bool {
	hosts, accelerators, downtime := 0, 0, 0.0
	for i := range p.fleet.Hosts {
		hosts++
		accelerators += p.fleet.Hosts[i].Accelerators
	}
	for i := range p.fleet.Deployments {
		downtime = max(downtime, p.fleet.Deployments[i].DowntimeWeight)
	}
	if hosts == 0 {
		return false
	}
	perHost := float64(accelerators) / float64(hosts)
	inDomain := float64(hosts) / float64(len(p.fabrics))
	lossRate := p.policy.LossesPerHostDay * inDomain / (24 * time.Hour).Seconds()
	idle := d.StrandedWeight * perHost * float64(d.HostsPerReplica)
	return idle > downtime*lossRate*p.policy.DrainTime.Seconds()
}
