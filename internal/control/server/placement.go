package server

import (
	"github.com/egretreach/egretreach/internal/control/state"
	"github.com/egretreach/egretreach/internal/fleet/config"
	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/host"
)

// placements forms the replicas that are wanted and not there, from free hosts of
// one fabric domain.
func (p *picture) placements(*orderBook) []state.Command {
	free := map[domain.Fabric][]host.ID{}
	for _, h := range p.hosts {
		d := p.daemons[h.Info.ID]
		_, engine := h.Info.Engine()
		if engine && h.Claim == nil && !h.Drained && d.Heard && d.Alive && d.EngineHealthy && !d.Leaving {
			free[h.Info.Fabric] = append(free[h.Info.Fabric], h.Info.ID)
		}
	}
	var commands []state.Command
	for _, d := range p.config.Deployments {
		for range d.Replicas - p.formed(d) {
			if c, ok := formFrom(free, d); ok {
				commands = append(commands, c)
			}
		}
	}
	return commands
}

func (p *picture) formed(d config.Deployment) int {
	n := 0
	for _, r := range p.replicas {
		if r.Spec.Deployment == d.Name {
			n++
		}
	}
	return n
}

func formFrom(free map[domain.Fabric][]host.ID, d config.Deployment) (state.Command, bool) {
	for fabric, hosts := range free {
		if len(hosts) < d.HostsPerReplica {
			continue
		}
		free[fabric] = hosts[d.HostsPerReplica:]
		return state.Form{Spec: specOf(d), Hosts: hosts[:d.HostsPerReplica]}, true
	}
	return nil, false
}
