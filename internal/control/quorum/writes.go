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
	pending      []pendingWrite
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
}

type heldMessage struct {
	sequence uint64
	message  Message
}

// flush emits one Persist for the changes of this step, and sends the held messages whose
// writes are all on disk.
func (m *Node) flush() {
	w := &m.writes
	if m.hard != w.hard || len(w.entries) > 0 || w.snapshot != nil {
		m.emitPersist()
	}
	for i := range w.held {
		if w.held[i].sequence == 0 {
			w.held[i].sequence = w.lastSequence
		}
	}
	for len(w.held) > 0 && w.held[0].sequence <= w.doneSequence {
		m.emit(Send{Message: w.held[0].message})
		w.held = w.held[1:]
	}
}

func (m *Node) emitPersist() {
	w := &m.writes
	w.lastSequence++
	p := Persist{Sequence: w.lastSequence, Entries: w.entries, Snapshot: w.snapshot, Reset: w.reset}
	if m.hard != w.hard {
		hard := m.hard
		p.Hard, w.hard = &hard, hard
	}
	w.entries, w.snapshot, w.reset = nil, nil, false
	w.pending = append(w.pending, pendingWrite{sequence: w.lastSequence, last: m.log.last()})
	// The write comes first, so that it runs while the messages are sent.
	m.actions = append([]Action{p}, m.actions...)
}

// handlePersisted handles the confirmation that all writes up to sequence are on disk.
func (m *Node) handlePersisted(now time.Time, sequence uint64) {
	w := &m.writes
	w.doneSequence = max(w.doneSequence, sequence)
	for len(w.pending) > 0 && w.pending[0].sequence <= w.doneSequence {
		w.stableIndex = w.pending[0].last
		w.pending = w.pending[1:]
	}
	if m.role == RoleCandidate && w.doneSequence >= m.voteSequence {
		m.countVote(now, m.self)
	}
	if m.role == RoleLeader {
		m.advanceCommit(now)
	}
}

// send emits a message that depends on no write.
func (m *Node) send(message Message) { m.emit(Send{Message: message}) }

// sendDurable sends a message once all writes up to those of this step are on disk.
func (m *Node) sendDurable(message Message) {
	m.writes.held = append(m.writes.held, heldMessage{message: message})
}
