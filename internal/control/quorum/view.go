package quorum

import (
	"maps"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// View is the status of a host's Raft instance.
type View struct {
	Role       Role
	Term       Term
	Leader     host.ID
	Generation Generation
	Admitted   bool
	Last       Index
	Commit     Index
	Snapshot   Index
	// Leased is true on a leader that may serve reads.
	Leased bool
	// Leaving is true on a leader that is transferring its leadership.
	Leaving bool
	// Peers is set on a leader only.
	Peers []PeerView
	// Awaited are the hosts whose promises a founder still needs to bootstrap the log.
	Awaited []host.ID
}

// PeerView is the status of a peer as known to the leader.
type PeerView struct {
	Host     host.ID
	Match    Index
	Silence  time.Duration
	Admitted bool
}

// View returns the status at time now.
func (m *Node) View(now time.Time) View {
	v := View{
		Role: m.role, Term: m.hard.Term, Leader: m.leader,
		Generation: m.hard.Generation, Admitted: m.hard.Admitted,
		Last: m.log.last(), Commit: m.commit, Snapshot: m.snapshot.Index,
	}
	if m.fresh() && m.self == m.bootstrapHost() {
		v.Awaited = m.missingPromises()
	}
	if m.role != RoleLeader {
		return v
	}
	v.Leased, v.Leaving = m.hasLease(now), m.transferee != ""
	for _, id := range m.peers {
		p := m.progress[id]
		v.Peers = append(v.Peers, PeerView{
			Host: id, Match: p.match, Silence: now.Sub(p.lastReply), Admitted: p.admitted,
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

// Founders returns the hosts that founded the log, sorted, or nil if the log is empty.
func (m RecoveredState) Founders() []host.ID {
	log := newEntryLog(m)
	if membership := log.membership(); membership != nil {
		return slices.Sorted(maps.Keys(membership.Founding))
	}
	return nil
}

// Timing returns the timing in use, with defaults filled in.
func (m *Node) Timing() Timing { return m.timing }
