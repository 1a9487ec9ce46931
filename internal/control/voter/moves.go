// Package voter decides which control host gets the vote of one that is lost.
//
// Nobody can tell a host that is gone from one that stands still or is cut off, so a vote may be moved from a host that returns. Such a
// host keeps its log and gets the vote of the next lost host, or its own one while its disk still counts. A wrong choice therefore costs
// one more move, and never a copy of the log.
//
// # How a vote moves
//
// The number of votes is fixed. Each has the ID of the host that had it first, a link address and a disk.
//
//  1. A host without a vote asks all control hosts that it knows (bootstrap.Discovery).
//  2. The leader chooses a lost voter (Moves.Lost) and commits its new address, a portalstate.Voter. All hosts send to that address once
//     they have learned of it (Directory): from the log, or from any voter, which tells the others what it knows as soon as it connects.
//     A host that was away sends its answers to the address before, so the log may never reach it.
//  3. The host takes the voter's ID for its links (portal.Portal) and opens its journal, empty or with the log of an earlier vote.
//  4. Its disk answers the leader under the voter's ID. The leader sends it what it lacks of the log, as a learner, and then commits an
//     entry that names it in place of the lost disk (quorum.Node).
//  5. The disk counts once it knows that this entry is committed.
//
// A voter that has not heard from the leader for a few heartbeats asks whether it still has its vote (bootstrap.Discovery.AskVote). Until
// step 4 the vote is moved back to it. After that it saves that it has none, takes the vote from its journal (journal.GiveUpVote), and begins
// with step 1.
package voter

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

const (
	// ReplaceTimeout is how long a voter must be unreachable before another host gets its vote. It is longer than the election timeout,
	// so that a new leader has heard from all voters that it can reach.
	ReplaceTimeout = 1500 * time.Millisecond
	// joinTimeout is how long a host that got a vote has until its disk answers the leader. Until then nobody else gets that vote.
	joinTimeout = ReplaceTimeout
)

// Peer is a voter as the leader knows it.
type Peer struct {
	Host host.ID
	// SinceLastReply is the time since the last reply of the disk that the log names.
	SinceLastReply time.Duration
	// Joining is true while another disk answers and is sent the log.
	Joining bool
}

// Moves tracks the moves of votes. At most one is under way at a time. The zero value has none.
type Moves struct {
	underWay bool
	// movedAt is when this host learned that a vote was moved.
	movedAt map[host.ID]time.Time
}

// Lost returns the voter that has been unreachable the longest, if that is at least ReplaceTimeout. It leaves out those whose vote another
// host has just got.
func (m *Moves) Lost(peers []Peer, now time.Time) (host.ID, bool) {
	var lost host.ID
	longest := time.Duration(0)
	for _, p := range peers {
		if p.SinceLastReply >= ReplaceTimeout && p.SinceLastReply > longest && !m.isTaken(p, now) {
			lost, longest = p.Host, p.SinceLastReply
		}
	}
	return lost, longest > 0
}

// isTaken reports whether another host has a voter's vote and is joining the quorum.
func (m *Moves) isTaken(p Peer, now time.Time) bool {
	moved, known := m.movedAt[p.Host]
	return p.Joining || known && now.Sub(moved) < joinTimeout
}

// Begin begins a move and reports whether it may be carried out. If so, the caller must call End.
func (m *Moves) Begin() bool {
	if m.underWay {
		return false
	}
	m.underWay = true
	return true
}

// End ends the move that Begin began. The vote counts as moved even if the outcome is not known, since the entry may still commit.
func (m *Moves) End(id host.ID, now time.Time) {
	m.underWay = false
	m.Record(id, now)
}

// Record records that a vote was moved.
func (m *Moves) Record(id host.ID, now time.Time) {
	if m.movedAt == nil {
		m.movedAt = map[host.ID]time.Time{}
	}
	m.movedAt[id] = now
}
