package quorum

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// singleNode is a node whose log needs no other host.
type singleNode struct {
	t    *testing.T
	node *Node
	now  time.Time
	// written holds the writes that the node has asked for. They are confirmed at once unless slowDisk is set.
	written  []Persist
	slowDisk bool
	rejected []Rejected
	lastID   uint64
}

func newSingleNode(t *testing.T) *singleNode {
	now := time.Unix(1_000_000, 0)
	opts := Options{Self: "c1", Hosts: []host.ID{"c1"}}
	s := &singleNode{t: t, now: now, node: New(now, opts, RecoveredState{Hard: HardState{Generation: 1}})}
	s.step(Tick{})
	require.Equal(t, RoleLeader, s.node.Status(now).Role)
	return s
}

func (s *singleNode) step(e Event) {
	for _, action := range s.node.Step(s.now, e) {
		switch a := action.(type) {
		case Persist:
			s.written = append(s.written, a)
			if !s.slowDisk {
				s.step(Persisted{Sequence: a.Sequence})
			}
		case Rejected:
			s.rejected = append(s.rejected, a)
		}
	}
}

// propose proposes a command of some bytes.
func (s *singleNode) propose(bytes int) {
	s.lastID++
	s.step(Propose{Proposals: []Proposal{{ID: s.lastID, Command: make([]byte, bytes)}}})
}

func (s *singleNode) snapshot() {
	s.step(SnapshotTaken{Index: s.node.applied, Data: []byte("state")})
}

// TestLargeEntriesBehindASnapshotAreDropped guards against a host that runs out of memory because it keeps a number of entries behind each
// snapshot, however large they are.
func TestLargeEntriesBehindASnapshotAreDropped(t *testing.T) {
	const changes, changesPerSnapshot, changeBytes = 1100, 20, 844 << 10
	const most = 4 << 20 // What a peer that answers in time may lag by.
	s := newSingleNode(t)
	for i := range changes {
		s.propose(changeBytes)
		if i%changesPerSnapshot == changesPerSnapshot-1 {
			s.snapshot()
			require.LessOrEqual(t, s.node.Status(s.now).Memory.Entries, most, "after %d changes", i+1)
		}
	}
	require.Empty(t, s.rejected)
}

// TestSmallEntriesAreKeptForAPeerThatLags guards against a snapshot for each peer that lags by a few entries.
func TestSmallEntriesAreKeptForAPeerThatLags(t *testing.T) {
	const changes, changeBytes = 3000, 100
	s := newSingleNode(t)
	for range changes {
		s.propose(changeBytes)
	}
	s.snapshot()
	_, known := s.node.log.term(s.node.log.last() - DefaultKeptEntries)
	require.True(t, known)
	_, known = s.node.log.term(s.node.log.last() - DefaultKeptEntries - 1)
	require.False(t, known)
}

// TestMessageHoldsOnlyItsOwnEntries guards against a peer that stands still and so keeps entries in memory that the log has dropped: the
// messages that wait for it must not refer to the log's own array.
func TestMessageHoldsOnlyItsOwnEntries(t *testing.T) {
	const changes, changeBytes = 64, 1 << 20
	s := newSingleNode(t)
	for range changes {
		s.propose(changeBytes)
	}
	batch, bytes := s.node.log.batch(1, maxBatchBytes)
	require.LessOrEqual(t, bytes, maxBatchBytes)
	for i := range s.node.log.entries {
		s.node.log.entries[i].Term = 0
	}
	require.Equal(t, bootstrapTerm, batch[0].Term, "the batch shares the array of the log")
}

// TestUnfinishedWriteKeepsItsSnapshot guards against a write whose snapshot changes to a later one before it has begun.
func TestUnfinishedWriteKeepsItsSnapshot(t *testing.T) {
	s := newSingleNode(t)
	var indexes []Index
	for range 2 {
		s.propose(1)
		s.snapshot()
		indexes = append(indexes, s.node.applied)
	}
	var written []Index
	for _, w := range s.written {
		if w.Snapshot != nil {
			written = append(written, w.Snapshot.Index)
		}
	}
	require.Equal(t, indexes, written)
}

// TestLeaderWithASlowDiskRefusesCommands guards against a leader whose disk stands still and which collects in memory what the others commit.
func TestLeaderWithASlowDiskRefusesCommands(t *testing.T) {
	const changes, changeBytes = 100, 1 << 20
	s, leader, _ := newSimulationWithLeader(t, 8)
	leader.syncTime = time.Hour
	for i := range changes {
		s.step(leader, Propose{Proposals: []Proposal{{ID: uint64(1000 + i), Command: make([]byte, changeBytes)}}})
		s.run(100 * time.Millisecond)
	}
	require.Equal(t, RoleLeader, leader.node.role)
	require.LessOrEqual(t, leader.node.Status(s.now).Memory.Pending, maxPendingBytes)
	leader.syncTime = 0
	for i := range leader.pendingWrites {
		leader.pendingWrites[i].at = s.now
	}
	s.run(time.Second)
	before := len(s.committed)
	s.propose(leader, 1)
	s.run(time.Second)
	require.Equal(t, before+1, len(s.committed))
}

// TestUnfinishedSnapshotRefusesNoCommand guards against a leader with a large state that refuses commands each time it writes a snapshot.
func TestUnfinishedSnapshotRefusesNoCommand(t *testing.T) {
	s := newSingleNode(t)
	s.propose(1)
	s.slowDisk = true
	s.step(SnapshotTaken{Index: s.node.applied, Data: make([]byte, maxPendingBytes+1)})
	s.propose(1)
	require.Empty(t, s.rejected)
}
