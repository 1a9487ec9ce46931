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
	Admitted bool
	Last     uint64
	Commit   uint64
	Snapshot uint64
	// Peers is empty but on the leader.
	Peers []PeerStatus
}

// Leads reports whether this host is the leader.
func (s Status) Leads() bool { return s.Role == quorum.RoleLeader }

// PeerStatus is one peer as the leader sees it.
type PeerStatus struct {
	Host    host.ID
	Address string
	// Match is the highest log index that the peer is known to hold.
	Match uint64
	// Silence is how long ago the peer last answered.
	Silence time.Duration
	// Silent says that this is longer than an election timeout.
	Silent bool
	// Admitted says that the peer's disk may vote.
	Admitted bool
}

// Status returns this host's view of the log.
func (l *Log) Status() Status {
	l.mu.Lock()
	view := l.node.View(time.Now())
	l.mu.Unlock()
	return l.status(view)
}

func (l *Log) status(view quorum.View) Status {
	s := Status{
		Role: view.Role, Term: uint64(view.Term),
		Leader: view.Leader, LeaderAddress: l.addresses.of(view.Leader),
		Admitted: view.Admitted, Last: uint64(view.Last),
		Commit: uint64(view.Commit), Snapshot: uint64(view.Snapshot),
	}
	for _, p := range view.Peers {
		s.Peers = append(s.Peers, PeerStatus{
			Host: p.Host, Address: l.addresses.of(p.Host), Match: uint64(p.Match),
			Silence: p.Silence, Silent: p.Silence > l.timing.Election, Admitted: p.Admitted,
		})
	}
	return s
}
