package quorum

import "time"

// writes gathers what one Step must make durable, and holds back the messages
// that rest on writes under way.
type writes struct {
	// hard is the hard state as last written out.
	hard     HardState
	entries  []Entry
	snapshot *Snapshot
	reset    bool

	sequence uint64
	done     uint64
	pending  []pendingWrite
	held     []heldMessage
	// stable is the last index known to be on disk. It is right on a leader only, whose
	// own vote went to disk behind all that it truncated as a follower.
	stable Index
	// uncommitted counts the bytes of entries ahead of the commit index.
	uncommitted int
}

type pendingWrite struct {
	sequence uint64
	last     Index
}

type heldMessage struct {
	sequence uint64
	message  Message
}

// flush emits one Persist for what this step changed, and lets go of the messages
// that wait for no more writes.
func (m *Machine) flush() {
	w := &m.writes
	if m.hard != w.hard || len(w.entries) > 0 || w.snapshot != nil {
		m.write()
	}
	for i := range w.held {
		if w.held[i].sequence == 0 {
			w.held[i].sequence = w.sequence
		}
	}
	for len(w.held) > 0 && w.held[0].sequence <= w.done {
		m.emit(Send{Message: w.held[0].message})
		w.held = w.held[1:]
	}
}

func (m *Machine) write() {
	w := &m.writes
	w.sequence++
	p := Persist{Sequence: w.sequence, Entries: w.entries, Snapshot: w.snapshot, Reset: w.reset}
	if m.hard != w.hard {
		hard := m.hard
		p.Hard, w.hard = &hard, hard
	}
	w.entries, w.snapshot, w.reset = nil, nil, false
	w.pending = append(w.pending, pendingWrite{sequence: w.sequence, last: m.log.last()})
	// The write goes first, so that it is under way while messages travel.
	m.actions = append([]Action{p}, m.actions...)
}

// persisted takes note that all writes up to sequence are on disk.
func (m *Machine) persisted(now time.Time, sequence uint64) {
	w := &m.writes
	w.done = max(w.done, sequence)
	for len(w.pending) > 0 && w.pending[0].sequence <= w.done {
		w.stable = w.pending[0].last
		w.pending = w.pending[1:]
	}
	if m.role == RoleCandidate && w.done >= m.voteSequence {
		m.count(now, m.self)
	}
	if m.role == RoleLeader {
		m.advance(now)
	}
}

// send emits a message that rests on nothing durable.
func (m *Machine) send(message Message) { m.emit(Send{Message: message}) }

// sendDurable sends a message once everything this step changed is on disk.
func (m *Machine) sendDurable(message Message) {
	m.writes.held = append(m.writes.held, heldMessage{message: message})
}
