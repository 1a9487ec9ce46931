package server

import (
	"time"

	"github.com/egretreach/egretreach/internal/control/membership"
	"github.com/egretreach/egretreach/internal/control/quarantine"
	"github.com/egretreach/egretreach/internal/control/state"
	"github.com/egretreach/egretreach/internal/fleet/config"
	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
)

// fleetSnapshot is the state of the fleet at one moment: a copy of the replicated state and of the
// latest reports of the daemons.
type fleetSnapshot struct {
	now      time.Time
	term     uint64
	config   *config.Fleet
	revision view.Revision
	hosts    []state.Host
	replicas []state.Replica
	// replicaIndex is the index of each replica in replicas.
	replicaIndex map[replica.ID]int
	quarantine   []view.Quarantine
	holds        []quarantine.Hold
	evacuated    view.Evacuated
	// failureDomains holds the failure domain of each host.
	failureDomains map[host.ID]domain.Failure
	// daemons holds copies of the entries of the membership table.
	daemons map[host.ID]membership.Daemon
	// reclaimableAt is the time from which no lease of the host's admitted incarnation can be
	// valid.
	reclaimableAt map[host.ID]time.Time
	// formerLeasesExpired is true when no lease that the former leader granted can still be valid.
	formerLeasesExpired bool
}

func (l *leader) fleetSnapshotLocked(now time.Time) *fleetSnapshot {
	fleet := &fleetSnapshot{
		now: now, term: l.term,
		daemons:             map[host.ID]membership.Daemon{},
		reclaimableAt:       map[host.ID]time.Time{},
		formerLeasesExpired: !now.Before(l.table.FormerLeasesEndAt()),
	}
	l.server.store.read(func(m *state.Machine) {
		fleet.hosts = m.Hosts()
		fleet.replicas = m.Replicas()
		fleet.quarantine = m.Quarantine(now)
		fleet.holds = m.Holds()
		fleet.evacuated = m.Evacuated()
		revision, yaml, _ := m.Config(0)
		fleet.revision = revision
		fleet.config = l.configCache.get(revision, yaml)
	})
	fleet.replicaIndex = make(map[replica.ID]int, len(fleet.replicas))
	for i, r := range fleet.replicas {
		fleet.replicaIndex[r.ID] = i
	}
	fleet.failureDomains = make(map[host.ID]domain.Failure, len(fleet.hosts))
	for _, h := range fleet.hosts {
		fleet.failureDomains[h.Info.ID] = h.Info.FailureDomain
	}
	for _, d := range l.table.Daemons() {
		fleet.daemons[d.Info.ID] = *d
		fleet.reclaimableAt[d.Info.ID] = l.table.ReclaimableAt(d.Info.ID)
	}
	return fleet
}

// heldReplica returns the replica as the daemon reports it, if the daemon holds it with that fence.
func heldReplica(d membership.Daemon, id replica.ID, fence replica.Fence) (message.HeldReplica, bool) {
	for _, h := range d.Held {
		if h.Replica == id && h.Fence == fence {
			return h, true
		}
	}
	return message.HeldReplica{}, false
}

// isServing reports whether the replica's head has reported an open serving gate. Until the leases
// of the former leader have expired, a head that has not renewed with this leader counts as serving
// if the replica had reached that state.
func (fleet *fleetSnapshot) isServing(r state.Replica) bool {
	head, known := fleet.daemons[r.Head()]
	if !known || !head.Alive {
		return false
	}
	if !head.Renewed {
		return !fleet.formerLeasesExpired && r.State == replica.StateServing
	}
	held, ok := heldReplica(head, r.ID, r.Fence)
	return ok && held.Serving
}

// isHeadStopping reports whether the replica's head has announced its planned stop.
func (fleet *fleetSnapshot) isHeadStopping(r state.Replica) bool {
	head, known := fleet.daemons[r.Head()]
	return known && head.Stopping
}

// isHeadEvacuated reports whether the replica's head is in an evacuated failure domain.
func (fleet *fleetSnapshot) isHeadEvacuated(r state.Replica) bool {
	return fleet.evacuated.Contains(fleet.failureDomains[r.Head()])
}

// currentState returns the replica's state from the replicated state and the reports of its head.
func (fleet *fleetSnapshot) currentState(r state.Replica) replica.State {
	switch {
	case r.State == replica.StateDraining || fleet.isHeadStopping(r):
		return replica.StateDraining
	case fleet.isServing(r):
		return replica.StateServing
	case r.State == replica.StateServing:
		return replica.StateDegraded
	default:
		return r.State
	}
}

// advanceCommands returns the commands that record newly serving replicas in the replicated state.
func (fleet *fleetSnapshot) advanceCommands() []state.Command {
	var commands []state.Command
	for _, r := range fleet.replicas {
		if r.State == replica.StateLoading && fleet.isServing(r) {
			commands = append(commands, state.Advance{Replica: r.ID, State: replica.StateServing})
		}
	}
	return commands
}

// forgetAfter is the time after which a lost host is dropped from the replicated state.
const forgetAfter = 7 * 24 * time.Hour

// hostsToForget returns the hosts that have been lost for forgetAfter. Hosts with a requested drain,
// hosts of an evacuated failure domain and hosts with a claim are kept.
func (fleet *fleetSnapshot) hostsToForget() []host.ID {
	var expired []host.ID
	for _, h := range fleet.hosts {
		d := fleet.daemons[h.Info.ID]
		if !d.Alive && h.Claim == nil && !h.DrainRequested && !fleet.evacuated.Contains(h.Info.FailureDomain) && fleet.now.Sub(d.AliveChangedAt) >= forgetAfter {
			expired = append(expired, h.Info.ID)
		}
	}
	return expired
}

// releaseCommands returns the command that frees the hosts of ended replicas. A host is free when
// its agent has released the replica or the lease of the agent has expired.
func (fleet *fleetSnapshot) releaseCommands(orders *orderTracker) []state.Command {
	var claims []state.ReleasedClaim
	for _, h := range fleet.hosts {
		if h.Claim == nil || !h.Claim.Releasing {
			continue
		}
		agent, known := fleet.daemons[h.Info.ID]
		expired := !known || !agent.Alive
		if expired || orders.released(agent.Info.ID, h.Claim.Fence) {
			claims = append(claims, state.ReleasedClaim{Host: h.Info.ID, Fence: h.Claim.Fence})
		}
	}
	if len(claims) == 0 {
		return nil
	}
	return []state.Command{state.Release{Claims: claims}}
}

func (fleet *fleetSnapshot) hostStatus() []message.HostStatus {
	var all []message.HostStatus
	for _, h := range fleet.hosts {
		s := message.HostStatus{Info: h.Info, Role: h.Role, Drained: h.DrainRequested}
		if h.Claim != nil {
			s.Replica = h.Claim.Replica
		}
		if d, known := fleet.daemons[h.Info.ID]; known {
			s.LeaseMs = max(0, fleet.reclaimableAt[d.Info.ID].Sub(fleet.now).Milliseconds())
			s.Revision = d.Revision
			s.Healthy = d.Alive && (h.Role != host.RoleAgent || d.EngineHealthy)
		}
		all = append(all, s)
	}
	return all
}

func (fleet *fleetSnapshot) deploymentStatus(waits map[string][]string) []message.DeploymentStatus {
	var all []message.DeploymentStatus
	for _, d := range fleet.config.Deployments {
		s := message.DeploymentStatus{Name: d.Name, Wanted: d.Replicas, WaitReasons: waits[d.Name]}
		for _, r := range fleet.replicas {
			if r.Spec.Deployment != d.Name || fleet.isHeadEvacuated(r) {
				continue
			}
			switch fleet.currentState(r) {
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
