package replication

import (
	"time"

	"github.com/egretreach/egretreach/internal/control/quorum"
	"github.com/egretreach/egretreach/internal/fleet/host"
)

// Status is the status of the replicated log on one control host.
type Status struct {
	Role quorum.Role
	Term uint64
	// Leader is empty if no leader is known. LeaderAddress is the leader's link address.
	Leader        host.ID
	LeaderAddress string
	// Generation identifies this host's disk.
	Generation quorum.Generation
	// Admitted is true if this host's disk may vote.
	Admitted      bool
	LastIndex     uint64
	CommitIndex   uint64
	SnapshotIndex uint64
	// Memory is what the log holds in memory.
	Memory quorum.Memory
	// StableIndex, the last index on this host's disk, and Peers are set on the leader only.
	StableIndex uint64
	Peers       []PeerStatus
	// LeaderSilence is the time since the last message of a leader, 0 on the leader.
	LeaderSilence time.Duration
}

// IsLeader reports whether this host is the leader.
func (s Status) IsLeader() bool { return s.Role == quorum.RoleLeader }

// Holders returns the hosts that hold the entry at index on disks that may vote, as far as the leader
// knows. It returns nil on other hosts.
func (s Status) Holders(index uint64) []host.ID {
	var holders []host.ID
	if s.IsLeader() && s.StableIndex >= index {
		holders = append(holders, s.Leader)
	}
	for _, p := range s.Peers {
		if p.Admitted && p.Match >= index {
			holders = append(holders, p.Host)
		}
	}
	return holders
}

// PeerStatus is the status of a peer as known to the leader.
type PeerStatus struct {
	Host    host.ID
	Address string
	// Match is the highest log index that the peer is known to hold.
	Match uint64
	// SinceLastReply is the time since the peer's last reply.
	SinceLastReply time.Duration
	// Silent is true if SinceLastReply is longer than the election timeout.
	Silent bool
	// Admitted is true if the peer's disk may vote.
	Admitted bool
	// Joining is true while another disk than the one that the log names answers for the peer and is sent the log.
	Joining bool
	// UnackedBytes is the size of the entries that were sent to the peer and not acknowledged, or of the snapshot that is being sent.
	UnackedBytes int
}

// Status returns the present status of the log on this host.
func (l *Log) Status() Status {
	l.mu.Lock()
	nodeStatus := l.node.Status(time.Now())
	l.mu.Unlock()
	return l.newStatus(nodeStatus)
}

// IsReplaced reports whether the committed log names another disk than g for a control host. On the confirmed leader that is final:
// no later entry names g again.
func (l *Log) IsReplaced(id host.ID, g quorum.Generation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.IsReplaced(id, g)
}

// IsCurrent reports whether the log's latest entries name g as the disk of a control host.
func (l *Log) IsCurrent(id host.ID, g quorum.Generation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.IsCurrent(id, g)
}

func (l *Log) newStatus(nodeStatus quorum.Status) Status {
	s := Status{
		Role: nodeStatus.Role, Term: uint64(nodeStatus.Term),
		Leader: nodeStatus.Leader, LeaderAddress: l.opts.Voters.Address(nodeStatus.Leader),
		Generation: nodeStatus.Generation, Admitted: nodeStatus.Admitted, LastIndex: uint64(nodeStatus.LastIndex),
		CommitIndex: uint64(nodeStatus.CommitIndex), SnapshotIndex: uint64(nodeStatus.SnapshotIndex),
		StableIndex: uint64(nodeStatus.StableIndex), Memory: nodeStatus.Memory, LeaderSilence: nodeStatus.LeaderSilence,
	}
	for _, p := range nodeStatus.Peers {
		s.Peers = append(s.Peers, PeerStatus{
			Host: p.Host, Address: l.opts.Voters.Address(p.Host), Match: uint64(p.Match),
			SinceLastReply: p.SinceLastReply, Silent: p.SinceLastReply > l.timing.ElectionTimeout, Admitted: p.Admitted,
			Joining: p.Joining, UnackedBytes: p.UnackedBytes,
		})
	}
	return s
}
