package server

import (
	"time"

	"github.com/egretreach/egretreach/internal/control/membership"
	"github.com/egretreach/egretreach/internal/control/state"
	"github.com/egretreach/egretreach/internal/fleet/config"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
)

// picture is the fleet at one moment: what is durable and what the daemons said last.
type picture struct {
	now      time.Time
	term     uint64
	config   *config.Fleet
	revision view.Revision
	hosts    []state.Host
	replicas []state.Replica
	// replicaAt is the index of each replica in replicas.
	replicaAt  map[replica.ID]int
	quarantine []view.Quarantine
	// daemons are copies of the membership table's, by host.
	daemons map[host.ID]membership.Daemon
	// leases are when the daemons' leases have lapsed at the latest.
	leases map[host.ID]time.Time
	// settled says that no lease of the former leader can be valid any more.
	settled bool
}

func (l *leader) pictureLocked(now time.Time) *picture {
	p := &picture{
		now: now, term: l.term,
		daemons: map[host.ID]membership.Daemon{},
		leases:  map[host.ID]time.Time{},
		settled: !now.Before(l.table.FormerLeasesEndAt()),
	}
	l.server.store.read(func(m *state.Machine) {
		p.hosts = m.Hosts()
		p.replicas = m.Replicas()
		p.quarantine = m.Quarantine(now)
		revision, yaml, _ := m.Config(0)
		p.revision = revision
		p.config = l.fleet.get(revision, yaml)
	})
	p.replicaAt = make(map[replica.ID]int, len(p.replicas))
	for i, r := range p.replicas {
		p.replicaAt[r.ID] = i
	}
	for _, d := range l.table.Daemons() {
		p.daemons[d.Info.ID] = *d
		p.leases[d.Info.ID] = l.table.ReclaimableAt(d.Info.ID)
	}
	return p
}

func heldBy(d membership.Daemon, id replica.ID, fence replica.Fence) (message.HeldReplica, bool) {
	for _, h := range d.Held {
		if h.Replica == id && h.Fence == fence {
			return h, true
		}
	}
	return message.HeldReplica{}, false
}

// serving reports whether the replica's head says that its serving gate is open. A
// head that this leader has not heard is believed to go on until the former
// leader's leases have lapsed.
func (p *picture) serving(r state.Replica) bool {
	head, known := p.daemons[r.Head()]
	if !known || !head.Alive {
		return false
	}
	if !head.Renewed {
		return !p.settled && r.State == replica.StateServing
	}
	held, ok := heldBy(head, r.ID, r.Fence)
	return ok && held.Serving
}

// leaving reports whether the replica's head stops.
func (p *picture) leaving(r state.Replica) bool {
	head, known := p.daemons[r.Head()]
	return known && head.Stopping
}

// stateOf returns the replica's state as the daemons' words make it.
func (p *picture) stateOf(r state.Replica) replica.State {
	switch {
	case r.State == replica.StateDraining || p.leaving(r):
		return replica.StateDraining
	case p.serving(r):
		return replica.StateServing
	case r.State == replica.StateServing:
		return replica.StateDegraded
	default:
		return r.State
	}
}

// advances returns the replicas' steps to a later durable state.
func (p *picture) advances() []state.Command {
	var commands []state.Command
	for _, r := range p.replicas {
		if r.State == replica.StateLoading && p.serving(r) {
			commands = append(commands, state.Advance{Replica: r.ID, State: replica.StateServing})
		}
	}
	return commands
}

// forgetAfter is how long a host is gone before it is forgotten.
const forgetAfter = 7 * 24 * time.Hour

// longGone returns the hosts to be forgotten: not those that are drained, nor those
// whose claim has not been released.
func (p *picture) longGone() []host.ID {
	var gone []host.ID
	for _, h := range p.hosts {
		d := p.daemons[h.Info.ID]
		if !d.Alive && h.Claim == nil && !h.DrainRequested && p.now.Sub(d.AliveChangedAt) >= forgetAfter {
			gone = append(gone, h.Info.ID)
		}
	}
	return gone
}

// releases frees the hosts of ended replicas whose agents have released them or
// whose leases have lapsed.
func (p *picture) releases(orders *orderBook) []state.Command {
	var claims []state.ReleasedClaim
	for _, h := range p.hosts {
		if h.Claim == nil || !h.Claim.Releasing {
			continue
		}
		agent, known := p.daemons[h.Info.ID]
		lapsed := !known || !agent.Alive
		if lapsed || orders.released(agent.Info.ID, h.Claim.Fence) {
			claims = append(claims, state.ReleasedClaim{Host: h.Info.ID, Fence: h.Claim.Fence})
		}
	}
	if len(claims) == 0 {
		return nil
	}
	return []state.Command{state.Release{Claims: claims}}
}

func (p *picture) hostStatus() []message.HostStatus {
	var all []message.HostStatus
	for _, h := range p.hosts {
		s := message.HostStatus{Info: h.Info, Role: h.Role, Drained: h.DrainRequested}
		if h.Claim != nil {
			s.Replica = h.Claim.Replica
		}
		if d, known := p.daemons[h.Info.ID]; known {
			s.LeaseMs = max(0, p.leases[d.Info.ID].Sub(p.now).Milliseconds())
			s.Revision = d.Revision
			s.Healthy = d.Alive && (h.Role != host.RoleAgent || d.EngineHealthy)
		}
		all = append(all, s)
	}
	return all
}

func (p *picture) deploymentStatus(waits map[string][]string) []message.DeploymentStatus {
	var all []message.DeploymentStatus
	for _, d := range p.config.Deployments {
		s := message.DeploymentStatus{Name: d.Name, Wanted: d.Replicas, WaitReasons: waits[d.Name]}
		for _, r := range p.replicas {
			if r.Spec.Deployment != d.Name {
				continue
			}
			switch p.stateOf(r) {
			case replica.StateServing:
				s.Serving++
			case replica.StateLoading:
				s.Loading++
			default:
			}
		}
		all = append(all, s)
	}
	return all
}
