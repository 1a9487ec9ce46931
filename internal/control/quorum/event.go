package quorum

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// Event is an input of the Raft node. Only this package implements it.
type Event interface{ event() }

// Tick reports that time has passed. Node.NextTick returns when the next one is due.
type Tick struct{}

// Received is a message from a peer.
type Received struct{ Message Message }

// Propose requests that commands be appended to the log, all in one step.
type Propose struct{ Proposals []Proposal }

// Proposal is one proposed command. Accepted or Rejected repeats its ID.
type Proposal struct {
	ID      uint64
	Command []byte
}

// Read asks for an index at which a read is linearizable. ReadReady or Rejected repeats its ID. It is answered once a
// majority has answered a message that was sent after it (Ongaro 2014, section 6.4): a lease alone doesn't show that this
// host still leads, since its clock stands still while the host is suspended.
type Read struct {
	ID uint64
	// Lazy makes the read wait for the next heartbeats that are sent anyway, so that it costs no messages.
	Lazy bool
}

// Persisted reports that the Persist action with this sequence and all before it are on disk.
type Persisted struct{ Sequence uint64 }

// SnapshotTaken is a snapshot of the application state after the entry at Index was applied.
type SnapshotTaken struct {
	Index Index
	Data  []byte
}

// TransferLeadership asks the leader to transfer its leadership to the peer whose log is most complete.
type TransferLeadership struct{}

func (Tick) event() {}

func (Received) event() {}

func (Propose) event() {}

func (Read) event() {}

func (Persisted) event() {}

func (SnapshotTaken) event() {}

func (TransferLeadership) event() {}

// Action is an output of the Raft node. Only this package implements it. Actions must be
// carried out in order, except that a Persist may run concurrently with the others.
type Action interface{ action() }

// Persist asks for a durable write, confirmed by Persisted. An entry whose index is already
// in the log replaces the entry there and all after it.
type Persist struct {
	Sequence uint64
	// Hard is nil if unchanged.
	Hard    *HardState
	Entries []Entry
	// Snapshot is nil if there is no new one.
	Snapshot *Snapshot
	// Reset is true if the snapshot replaces the whole log.
	Reset bool
}

// Send asks to send a message to Message.To. The message may be lost.
type Send struct{ Message Message }

// Apply passes committed entries to the application, in order and without gaps.
type Apply struct{ Entries []Entry }

// Restore replaces the application state with a snapshot.
type Restore struct{ Snapshot Snapshot }

// RoleChanged reports a change of role, term or known leader.
type RoleChanged struct {
	Role   Role
	Term   Term
	Leader host.ID
}

// Accepted reports that a proposal was appended to the leader's log. It is committed once
// Apply delivers an entry with the same index and term.
type Accepted struct {
	ID    uint64
	Index Index
	Term  Term
}

// Rejected reports that a proposal or read was refused and has no effect.
type Rejected struct {
	ID     uint64
	Reason RejectReason
	// Leader is the known leader, or empty.
	Leader host.ID
}

// RejectReason is why a proposal or read was rejected.
type RejectReason string

// Reasons of rejections.
const (
	ReasonNotLeader RejectReason = "not_leader"
	ReasonTooLarge  RejectReason = "too_large"
	// ReasonBusy means that the uncommitted entries exceed maxUncommittedBytes, or that the disk has fallen behind by maxPendingBytes.
	ReasonBusy RejectReason = "busy"
)

// ReadReady reports that a read may be served once the entry at Index is applied.
type ReadReady struct {
	ID    uint64
	Index Index
}

// Admitted reports that this host's disk has been admitted and may vote.
type Admitted struct{ Generation Generation }

// Expelled reports that the log names another disk for this host. Generation is the one that
// this host has given up.
type Expelled struct{ Generation Generation }

// HostsDiffer reports that the initial hosts of the log are not those of this host's settings.
// This host then accepts no entries or snapshots of that log.
type HostsDiffer struct{ InitialHosts []host.ID }

// LearnerAdded reports that this leader begins to send the log to another disk than the listed one of a host.
type LearnerAdded struct {
	Host       host.ID
	Generation Generation
}

// LearnerNamed reports that the disk of a learner holds the log, and that the entry at Index lists it in place of the host's lost
// disk. After is the time since LearnerAdded.
type LearnerNamed struct {
	Host       host.ID
	Generation Generation
	Index      Index
	After      time.Duration
}

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

func (LearnerAdded) action() {}

func (LearnerNamed) action() {}
