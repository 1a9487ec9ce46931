// Package quorum implements Raft (Ongaro 2014) for the log that the control hosts replicate. It
// has pre-vote (section 9.6), check-quorum and leader leases (section 6.4.1), leadership
// transfer (section 3.10) and snapshots (chapter 5). The set of hosts is fixed.
//
// Node.Step accepts an event and the current time and returns typed actions. The package
// uses no goroutines, sockets, files or clocks. Writing to disk is an action too: a message that
// depends on a durable write is sent only after the Persisted event of that write.
//
// # Lost disks
//
// Each journal has a random Generation. Membership entries in the log name the generation of
// each host. A host votes, and counts towards a majority, only while it is admitted. A host with
// a new journal is not admitted. It sends Join until a leader commits a Membership entry with
// its generation, for which the leader needs a majority without that host. Until the new disk holds
// the log it is a learner: the leader sends it the log, and the lost disk stays listed, so that it
// counts again if it was only out of reach. The host is admitted once it knows that the entry is
// committed; it then holds every entry that its lost disk may have helped to commit. A vote that the lost disk gave in a later term is harmless: the
// candidate does not have the Membership entry, and every majority includes a host that has it.
//
// # Bootstrap
//
// The log is bootstrapped by the host with the lowest ID, the bootstrap host. It writes the
// first Membership entry, index 1 of term 1, after every other host has durably promised to
// follow this disk of the bootstrap host and no other. A host that holds any entry never
// promises, so a bootstrap host that lost its disk cannot start a second log beside the first.
// This is safe only if each host.ID has a single process at the time of the bootstrap.
package quorum

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// Term is a Raft term. In term 1 the bootstrap host leads.
type Term uint64

// Index is the position of an entry in the log. The first is 1.
type Index uint64

// Generation identifies one disk of a host. It is a random number chosen when the journal is
// created; 0 means unknown.
type Generation uint64

// EntryKind is the kind of content of an entry.
type EntryKind uint8

// Kinds of entries.
const (
	// EntryCommand has a command for the application's state machine.
	EntryCommand EntryKind = iota
	// EntryNoop is the first entry of an elected leader's term.
	EntryNoop
	// EntryMembership has a new membership.
	EntryMembership
)

// Entry is an entry of the log.
type Entry struct {
	_          struct{} `cbor:",toarray"`
	Index      Index
	Term       Term
	Kind       EntryKind
	Command    []byte
	Membership *Membership
}

// size estimates the encoded size of the entry in bytes.
func (e Entry) size() int { return len(e.Command) + entryOverheadBytes }

const entryOverheadBytes = 24

// Membership lists the disk of each host.
type Membership struct {
	// BootstrapDisk is the generation of the bootstrap host's disk that started the log.
	BootstrapDisk Generation `cbor:"1,keyasint"`
	// Initial has the generations of all hosts at the bootstrap.
	Initial map[host.ID]Generation `cbor:"2,keyasint"`
	// Current has the generations whose disks may vote.
	Current map[host.ID]Generation `cbor:"3,keyasint"`
}

// With returns a copy in which g is the current generation of id.
func (m Membership) With(id host.ID, g Generation) Membership {
	current := make(map[host.ID]Generation, len(m.Current))
	for k, v := range m.Current {
		current[k] = v
	}
	current[id] = g
	m.Current = current
	return m
}

// HardState is the state besides the log that a host must keep across restarts.
type HardState struct {
	Term Term    `cbor:"1,keyasint"`
	Vote host.ID `cbor:"2,keyasint,omitempty"`
	// Generation is that of this disk.
	Generation Generation `cbor:"3,keyasint"`
	// Admitted is true if this disk may vote and counts towards a majority.
	Admitted bool `cbor:"4,keyasint,omitempty"`
	// Promise is the generation of the bootstrap host's disk that this disk has promised to
	// follow.
	Promise Generation `cbor:"5,keyasint,omitempty"`
	// Challenge must be echoed by the bootstrap host before Promise changes. It is replaced at
	// each change, so that delayed messages from an earlier disk of that host have no effect.
	Challenge Generation `cbor:"6,keyasint,omitempty"`
}

// WithoutVote returns the state of a disk that has lost its vote. It has another generation, so that an entry that lists the old
// one can never admit it again. The term and the vote in it stay.
func (h HardState) WithoutVote() HardState {
	h.Admitted, h.Generation = false, h.Generation.successor()
	return h
}

// Snapshot replaces all entries up to and including Index.
type Snapshot struct {
	Index      Index      `cbor:"1,keyasint"`
	Term       Term       `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
	Data       []byte     `cbor:"4,keyasint"`
}

// RecoveredState is the state that a host reads from its journal when it starts.
type RecoveredState struct {
	Hard HardState
	// Snapshot has Index 0 if there is none.
	Snapshot Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}

// Role is a host's role in the current term.
type Role string

// Roles of a host.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "pre_candidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
)

// Timing configures heartbeats and elections. A zero field means its default.
type Timing struct {
	// HeartbeatInterval is the interval at which a leader sends heartbeats.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the time after a leader's message during which a host neither starts an
	// election nor votes. An election starts after 1 to 1.5 times this time, at random.
	ElectionTimeout time.Duration
	// DriftPercent is how far two clocks may drift apart during ElectionTimeout, in percent of it.
	DriftPercent int
}

// Defaults of Timing.
const (
	DefaultHeartbeatInterval = 200 * time.Millisecond
	DefaultElectionTimeout   = 1000 * time.Millisecond
	DefaultDriftPercent      = 10
)

func (t Timing) withDefaults() Timing {
	if t.HeartbeatInterval == 0 {
		t.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if t.ElectionTimeout == 0 {
		t.ElectionTimeout = DefaultElectionTimeout
	}
	if t.DriftPercent == 0 {
		t.DriftPercent = DefaultDriftPercent
	}
	return t
}

// lease returns how long a leader may serve reads after it sent a message that a majority has
// answered.
func (t Timing) lease() time.Duration {
	return t.ElectionTimeout * time.Duration(100-t.DriftPercent) / 100
}

// readRoundInterval is the least time between two rounds of heartbeats that reads cause, so that many reads cost no more
// messages than a few.
const readRoundInterval = 20 * time.Millisecond

// Limits of messages and of uncommitted entries.
const (
	// MaxCommandBytes is the largest size of a command.
	MaxCommandBytes = 4 << 20
	// maxBatchBytes limits the entries of one Append. A single larger entry is still sent.
	maxBatchBytes = 1 << 20
	// maxInflightBytes and maxInflight limit the unanswered Append messages to one peer. A new
	// message is sent while both are below their limit.
	maxInflightBytes = 4 << 20
	maxInflight      = 64
	// maxUncommittedBytes limits the uncommitted entries with which a leader accepts proposals.
	maxUncommittedBytes = 32 << 20
	// maxPendingBytes limits the entries that wait for the disk of a leader that accepts proposals. The others commit without it.
	maxPendingBytes = 32 << 20
	// chunkBytes is the data size of one chunk of a snapshot.
	chunkBytes = 512 << 10
	// DefaultKeptEntries is the default of Options.KeptEntries.
	DefaultKeptEntries = 1024
	// maxKeptBytes limits the entries that stay in memory behind a snapshot. A peer that answers lags by no more.
	maxKeptBytes = maxInflightBytes
)

// Options configures the Raft instance of one host.
type Options struct {
	Self host.ID
	// Hosts are all control hosts, including this one. A majority of them decides.
	Hosts  []host.ID
	Timing Timing
	// KeptEntries is how many of the entries that a snapshot covers stay in memory at most, so that a
	// slightly lagging peer needs no snapshot; 0 means DefaultKeptEntries. Large entries are dropped earlier.
	KeptEntries int
	// Seed seeds the random part of election timeouts.
	Seed uint64
}
