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
	// StableIndex is the last index that is on this host's disk. It is set on a leader only.
	StableIndex Index
	// Memory is what the log holds in memory.
	Memory Memory
	// LeaderSilence is the time since the last message of a leader. It is 0 on the leader.
	LeaderSilence time.Duration
	// HasLease is true on a leader that may serve reads.
	HasLease bool
	// Transferring is true on a leader that is transferring its leadership.
	Transferring bool
	// Peers is set on a leader only.
	Peers []PeerStatus
	// MissingPromises are the hosts whose promises the bootstrap host still needs.
	MissingPromises []host.ID
}

// Memory is what a log holds in memory, in bytes. What is named twice may be the same memory.
type Memory struct {
	// Entries are those after the snapshot and those that are kept behind it.
	Entries int
	// Uncommitted are the entries that no majority holds yet. It is 0 on a host that has not led.
	Uncommitted int
	// Pending are the entries that wait for this host's disk.
	Pending int
	// Snapshot is the latest snapshot, and Incoming the part that has arrived of another one.
	Snapshot int
	Incoming int
}

// PeerStatus is the status of a peer as known to the leader.
type PeerStatus struct {
	Host           host.ID
	Match          Index
	SinceLastReply time.Duration
	Admitted       bool
	// Joining is true while another disk than the one that the log names answers for the peer and is sent the log.
	Joining bool
	// UnackedBytes is the size of the entries that were sent to the peer and not acknowledged, or of the snapshot that is being sent.
	UnackedBytes int
}

// Status returns the status at time now.
func (n *Node) Status(now time.Time) Status {
	s := Status{
		Role: n.role, Term: n.hard.Term, Leader: n.leader,
		Generation: n.hard.Generation, Admitted: n.hard.Admitted,
		LastIndex: n.log.last(), CommitIndex: n.commit, SnapshotIndex: n.snapshot.Index,
		Memory: n.memory(),
	}
	if n.fresh() && n.self == n.bootstrapHost() {
		s.MissingPromises = n.missingPromises()
	}
	if n.role != RoleLeader {
		s.LeaderSilence = now.Sub(n.leaderContact)
		return s
	}
	s.StableIndex = n.writes.stableIndex
	s.HasLease, s.Transferring = n.hasLease(now), n.transferee != ""
	for _, id := range n.peers {
		p, receiver := n.progress[id], n.receiver(id)
		s.Peers = append(s.Peers, PeerStatus{
			Host: id, Match: p.match, SinceLastReply: now.Sub(p.lastReply), Admitted: p.admitted, Joining: receiver != p,
			UnackedBytes: receiver.inflightBytes + len(receiver.snapshot.Data),
		})
	}
	return s
}

func (n *Node) memory() Memory {
	return Memory{
		Entries: n.log.bytes, Uncommitted: n.writes.uncommittedBytes, Pending: n.writes.pendingBytes,
		Snapshot: len(n.snapshot.Data), Incoming: len(n.incoming.data),
	}
}

// IsReplaced reports whether this host's committed log names another disk than g as that of the host id, and no later entry
// of the log names g.
func (n *Node) IsReplaced(id host.ID, g Generation) bool {
	committed, latest := n.log.membershipAt(n.commit), n.log.membership()
	return committed != nil && committed.Current[id] != g && latest.Current[id] != g
}

// IsCurrent reports whether the latest membership of this host's log, committed or not, names g as the disk of the host id.
func (n *Node) IsCurrent(id host.ID, g Generation) bool {
	latest := n.log.membership()
	return latest != nil && latest.Current[id] == g
}

func (n *Node) missingPromises() []host.ID {
	var missing []host.ID
	for _, id := range n.peers {
		if _, promised := n.promises[id]; !promised {
			missing = append(missing, id)
		}
	}
	return missing
}

// InitialHosts returns the hosts of the log's initial membership, sorted, or nil if the log is
// empty.
func (s RecoveredState) InitialHosts() []host.ID {
	log := newEntryLog(s)
	if membership := log.membership(); membership != nil {
		return slices.Sorted(maps.Keys(membership.Initial))
	}
	return nil
}

// LastIndex returns the index of the last entry, or that of the snapshot if no entry follows it.
func (s RecoveredState) LastIndex() Index { return s.Snapshot.Index + Index(len(s.Entries)) }

// Timing returns the timing in use, with defaults filled in.
func (n *Node) Timing() Timing { return n.timing }
