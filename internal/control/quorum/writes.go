package quorum

import "time"

// writes collects the changes of one Step that must be made durable. It also holds back the
// messages that depend on unfinished writes.
type writes struct {
	// hard is the hard state in the latest Persist.
	hard     HardState
	entries  []Entry
	snapshot *Snapshot
	reset    bool

	lastSequence uint64
	doneSequence uint64
	// stableHard is the hard state known to be on disk.
	stableHard HardState
	pending    []pendingWrite
	// pendingBytes is the size of the entries that wait for the disk.
	pendingBytes int
	held         []heldMessage
	// stableIndex is the last index known to be on disk. It is valid on a leader only: the
	// leader's vote for itself was written after everything that it truncated as a follower.
	stableIndex Index
	// uncommittedBytes is the size of the entries after the commit index.
	uncommittedBytes int
}

type pendingWrite struct {
	sequence uint64
	last     Index
	hard     HardState
	// bytes is the size of the write's entries.
	bytes int
}

type heldMessage struct {
	sequence uint64
	message  Message
}

// flush emits one Persist for the changes of this step, and sends the held messages whose
// writes are all on disk.
func (n *Node) flush() {
	w := &n.writes
	if n.hard != w.hard || len(w.entries) > 0 || w.snapshot != nil {
		n.emitPersist()
	}
	for i := range w.held {
		if w.held[i].sequence == 0 {
			w.held[i].sequence = w.lastSequence
		}
	}
	for len(w.held) > 0 && w.held[0].sequence <= w.doneSequence {
		n.emit(Send{Message: w.held[0].message})
		w.held = w.held[1:]
	}
}

func (n *Node) emitPersist() {
	w := &n.writes
	w.lastSequence++
	p := Persist{Sequence: w.lastSequence, Entries: w.entries, Snapshot: w.snapshot, Reset: w.reset}
	if n.hard != w.hard {
		hard := n.hard
		p.Hard, w.hard = &hard, hard
	}
	w.entries, w.snapshot, w.reset = nil, nil, false
	bytes := totalSize(p.Entries)
	w.pending = append(w.pending, pendingWrite{sequence: w.lastSequence, last: n.log.last(), hard: n.hard, bytes: bytes})
	w.pendingBytes += bytes
	// The write comes first, so that it runs while the messages are sent.
	n.actions = append([]Action{p}, n.actions...)
}

// handlePersisted handles the confirmation that all writes up to sequence are on disk.
func (n *Node) handlePersisted(now time.Time, sequence uint64) {
	w := &n.writes
	w.doneSequence = max(w.doneSequence, sequence)
	for len(w.pending) > 0 && w.pending[0].sequence <= w.doneSequence {
		w.stableIndex, w.stableHard = w.pending[0].last, w.pending[0].hard
		w.pendingBytes -= w.pending[0].bytes
		w.pending = w.pending[1:]
	}
	if n.role == RoleCandidate && w.doneSequence >= n.voteSequence {
		n.countVote(now, n.self)
	}
	if n.role == RoleLeader {
		n.advanceCommit(now)
	}
}

// send emits a message that depends on no write. It reports this disk as admitted only once that is
// on disk, because the leader then counts it.
func (n *Node) send(message Message) {
	stable := n.writes.stableHard
	message.Admitted = message.Admitted && stable.Admitted && stable.Generation == n.hard.Generation
	n.emit(Send{Message: message})
}

// sendDurable sends a message once all writes up to those of this step are on disk.
func (n *Node) sendDurable(message Message) {
	n.writes.held = append(n.writes.held, heldMessage{message: message})
}
