package quorum

import (
	"maps"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// Status is the status of a host's Raft instance.
type Status struct {
	Role          Role
	Term          Term
	Leader        host.ID
	Generation    Generation
	Admitted      bool
	LastIndex     Index
	CommitIndex   Index
	SnapshotIndex Index
	// HasLease is true on a leader that may serve reads.
	HasLease bool
	// Transferring is true on a leader that is transferring its leadership.
	Transferring bool
	// Peers is set on a leader only.
	Peers []PeerStatus
	// MissingPromises are the hosts whose promises a founder still needs to bootstrap the log.
	MissingPromises []host.ID
}

// PeerStatus is the status of a peer as known to the leader.
type PeerStatus struct {
	Host           host.ID
	Match          Index
	SinceLastReply time.Duration
	Admitted       bool
}

// Status returns the status at time now.
func (m *Node) Status(now time.Time) Status {
	v := Status{
		Role: m.role, Term: m.hard.Term, Leader: m.leader,
		Generation: m.hard.Generation, Admitted: m.hard.Admitted,
		LastIndex: m.log.last(), CommitIndex: m.commit, SnapshotIndex: m.snapshot.Index,
	}
	if m.fresh() && m.self == m.bootstrapHost() {
		v.MissingPromises = m.missingPromises()
	}
	if m.role != RoleLeader {
		return v
	}
	v.HasLease, v.Transferring = m.hasLease(now), m.transferee != ""
	for _, id := range m.peers {
		p := m.progress[id]
		v.Peers = append(v.Peers, PeerStatus{
			Host: id, Match: p.match, SinceLastReply: now.Sub(p.lastReply), Admitted: p.admitted,
		})
	}
	return v
}

func (m *Node) missingPromises() []host.ID {
	var awaited []host.ID
	for _, id := range m.peers {
		if _, promised := m.promises[id]; !promised {
			awaited = append(awaited, id)
		}
	}
	return awaited
}

// InitialHosts returns the hosts that founded the log, sorted, or nil if the log is empty.
func (m RecoveredState) InitialHosts() []host.ID {
	log := newEntryLog(m)
	if membership := log.membership(); membership != nil {
		return slices.Sorted(maps.Keys(membership.Initial))
	}
	return nil
}

// Timing returns the timing in use, with defaults filled in.
func (m *Node) Timing() Timing { return m.timing }
