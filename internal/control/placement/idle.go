package placement

import (
	"slices"
	"time"
)

// useIdleHosts forms extra replicas, beyond those wanted, from hosts that would be
// stranded. It does not use hosts that became free only recently or still lack
// weights, so that they can replace a lost member when needed.
func (p *planner) useIdleHosts(order []int) {
	for i := range p.fabrics {
		f := &p.fabrics[i]
		f.free = slices.DeleteFunc(f.free, func(i int) bool { return !p.availableForExtra(i, order) })
	}
	for _, dep := range order {
		t := p.countReplicas(dep)
		if t.degraded > 0 || t.toReplace > 0 {
			continue
		}
		for range p.limits[dep] - t.total() {
			if !p.form(dep, ReasonIdleHosts) {
				break
			}
		}
	}
}

// availableForExtra reports whether a free host has been free for MinIdleTime and, unless
// spares stay cold, holds the weights of all deployments that may use it or as many as
// it may hold.
func (p *planner) availableForExtra(i int, order []int) bool {
	h := &p.fleet.Hosts[i]
	if p.now.Sub(h.AliveChangedAt) < p.policy.MinIdleTime || p.now.Sub(h.ClaimableAt) < p.policy.MinIdleTime {
		return false
	}
	if p.policy.ColdSpares || p.atWeightsLimit(h) {
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

// replicaLimit returns how many replicas deployment d may have, by its own bounds and
// the costs of stranded hosts and of downtime.
func (p *planner) replicaLimit(d *Deployment) int {
	if p.idleHostsCostMore(d) {
		return d.maxReplicas()
	}
	return d.Replicas
}

// idleHostsCostMore reports whether leaving the hosts of one replica of d idle costs
// more than using them. If they are used, a replica has to be drained first after
// each loss of a host in their fabric domain.
func (p *planner) idleHostsCostMore(d *Deployment) bool {
	hosts, accelerators, downtime := 0, 0, 0.0
	for i := range p.fleet.Hosts {
		hosts++
		accelerators += p.fleet.Hosts[i].Accelerators
	}
	for i := range p.fleet.Deployments {
		downtime = max(downtime, p.fleet.Deployments[i].DowntimeCost)
	}
	if hosts == 0 {
		return false
	}
	perHost := float64(accelerators) / float64(hosts)
	inDomain := float64(hosts) / float64(len(p.fabrics))
	lossRate := p.policy.LossesPerHostDay * inDomain / (24 * time.Hour).Seconds()
	idle := d.StrandedCost * perHost * float64(d.HostsPerReplica)
	return idle > downtime*lossRate*p.policy.DrainTime.Seconds()
}
