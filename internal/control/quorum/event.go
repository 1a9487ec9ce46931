package quorum

import "github.com/egretreach/egretreach/internal/fleet/host"

// Event is one input of the machine. Only this package implements it.
type Event interface{ event() }

// Tick says that time has passed. Machine.Wake tells when the next one is due.
type Tick struct{}

// Received is a message from a peer.
type Received struct{ Message Message }

// Propose offers commands for the log. They are appended together.
type Propose struct{ Proposals []Proposal }

// Proposal is one command; ID names it in the answer.
type Proposal struct {
	ID      uint64
	Command []byte
}

// Read asks for a linearizable read point.
type Read struct{ ID uint64 }

// Persisted says that the Persist action of that sequence and all before it are
// on disk.
type Persisted struct{ Sequence uint64 }

// Taken is a snapshot of the state above after it applied the entry at Index.
type Taken struct {
	Index Index
	Data  []byte
}

// Transfer asks the leader to hand its office to the peer best suited.
type Transfer struct{}

func (Tick) event() {}

func (Received) event() {}

func (Propose) event() {}

func (Read) event() {}

func (Persisted) event() {}

func (Taken) event() {}

func (Transfer) event() {}

// Action is one output of the machine. Only this package implements it. Actions
// are carried out in order; Persist may run beside the others.
type Action interface{ action() }

// Persist asks for a durable write, answered by Persisted. An entry whose index
// exists already replaces it and all behind it.
type Persist struct {
	Sequence uint64
	// Hard is nil if unchanged.
	Hard    *HardState
	Entries []Entry
	// Snapshot is nil if there is no new one.
	Snapshot *Snapshot
	// Reset says that the snapshot replaces the whole log.
	Reset bool
}

// Send hands a message to the link to Message.To. It may be lost.
type Send struct{ Message Message }

// Apply hands committed entries to the state above, in order and without gaps.
type Apply struct{ Entries []Entry }

// Restore replaces the state above by a snapshot.
type Restore struct{ Snapshot Snapshot }

// RoleChanged tells a change of role, term or known leader.
type RoleChanged struct {
	Role   Role
	Term   Term
	Leader host.ID
}

// Accepted says that a proposal stands in the leader's log. It is committed when
// Apply brings an entry of the same index and term.
type Accepted struct {
	ID    uint64
	Index Index
	Term  Term
}

// Rejected says that a proposal or read was not taken and has no effect.
type Rejected struct {
	ID     uint64
	Reason Reason
	// Leader is the known leader, or empty.
	Leader host.ID
}

// Reason says why a proposal was rejected.
type Reason string

// The reasons.
const (
	ReasonNotLeader Reason = "not_leader"
	ReasonTooLarge  Reason = "too_large"
	// ReasonBusy means that too much waits to be committed.
	ReasonBusy Reason = "busy"
)

// ReadReady says that a read may be served once Index is applied.
type ReadReady struct {
	ID    uint64
	Index Index
}

// Admitted says that this host's disk has been admitted and may vote.
type Admitted struct{ Generation Generation }

// Expelled says that the log names another disk for this host.
type Expelled struct{ Generation Generation }

// HostsDiffer says that the log was founded by other hosts than those of the
// settings. This host takes nothing in.
type HostsDiffer struct{ Founding []host.ID }

func (Persist) action() {}

func (Send) action() {}

func (Apply) action() {}

func (Restore) action() {}

func (RoleChanged) action() {}

func (Accepted) action() {}

func (Rejected) action() {}

func (ReadReady) action() {}

func (Admitted) action() {}

func (Expelled) action() {}

func (HostsDiffer) action() {}
