package replication

import (
	"time"

	"github.com/egretreach/egretreach/internal/control/quorum"
	"github.com/egretreach/egretreach/internal/fleet/host"
)

// Status is a control host's view of the replicated log.
type Status struct {
	Role quorum.Role
	Term uint64
	// Leader is the known leader, or empty; LeaderAddress is its link address.
	Leader        host.ID
	LeaderAddress string
	// Admitted says that this host may vote.
	Admitted      bool
	LastIndex     uint64
	CommitIndex   uint64
	SnapshotIndex uint64
	// Peers is empty but on the leader.
	Peers []PeerStatus
}

// IsLeader reports whether this host is the leader.
func (s Status) IsLeader() bool { return s.Role == quorum.RoleLeader }

// PeerStatus is one peer as the leader sees it.
type PeerStatus struct {
	Host    host.ID
	Address string
	// Match is the highest log index that the peer is known to hold.
	Match uint64
	// SinceLastReply is how long ago the peer last answered.
	SinceLastReply time.Duration
	// Silent says that this is longer than an election timeout.
	Silent bool
	// Admitted says that the peer's disk may vote.
	Admitted bool
}

// Status returns this host's view of the log.
func (l *Log) Status() Status {
	l.mu.Lock()
	view := l.node.Status(time.Now())
	l.mu.Unlock()
	return l.status(view)
}

func (l *Log) status(view quorum.Status) Status {
	s := Status{
		Role: view.Role, Term: uint64(view.Term),
		Leader: view.Leader, LeaderAddress: l.addresses.of(view.Leader),
		Admitted: view.Admitted, LastIndex: uint64(view.LastIndex),
		CommitIndex: uint64(view.CommitIndex), SnapshotIndex: uint64(view.SnapshotIndex),
	}
	for _, p := range view.Peers {
		s.Peers = append(s.Peers, PeerStatus{
			Host: p.Host, Address: l.addresses.of(p.Host), Match: uint64(p.Match),
			SinceLastReply: p.SinceLastReply, Silent: p.SinceLastReply > l.timing.ElectionTimeout, Admitted: p.Admitted,
		})
	}
	return s
}
