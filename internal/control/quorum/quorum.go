// Package quorum is the state machine of the replicated log that the control
// hosts share: Raft (Ongaro 2014) with pre-vote (section 9.6), check-quorum and
// leader lease (section 6.4.1), leadership transfer (section 3.10), snapshots
// (chapter 5) and a fixed set of hosts.
//
// Events and the time go in through Machine.Step and typed actions come out. The
// package has no goroutine, socket, file or clock. Writing to disk is an action
// too: messages that promise something durable leave the machine only after the
// Persisted event of the write that they rest on.
//
// # Lost disks
//
// Each journal carries a random Generation. The log holds Membership entries that
// name the generation of each host. A host votes and is counted only while it is
// admitted. A host whose journal is new is not; it sends Join until a leader
// commits a Membership entry with its generation, which takes a majority that does
// not count the host. It is admitted once it knows that entry to be committed, so
// it then holds every entry that its lost disk may have helped to commit. A vote
// that the lost disk gave in a later term is harmless: its candidate lacks the
// Membership entry, and any majority includes a host that holds it.
//
// # Founding
//
// The first Membership entry is index 1 of term 1. Only the host with the lowest
// ID writes it, after every other host has durably promised to follow that disk of
// the founder and no other. A host that holds any entry never promises, so a
// founder that lost its disk cannot found a second log beside the first. All this
// rests on one process for each host.ID at the time of the founding.
package quorum

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// Term numbers the reigns of leaders. Term 1 is that of the founder.
type Term uint64

// Index is the position of an entry in the log. The first is 1.
type Index uint64

// Generation tells one disk of a host from the next. It is drawn at random when a
// journal is created; 0 means unknown.
type Generation uint64

// EntryKind says what an entry holds.
type EntryKind uint8

// The kinds of entry.
const (
	// EntryCommand holds a command for the state machine above.
	EntryCommand EntryKind = iota
	// EntryNoop opens a leader's term.
	EntryNoop
	// EntryMembership replaces the membership.
	EntryMembership
)

// Entry is one record of the log.
type Entry struct {
	_          struct{} `cbor:",toarray"`
	Index      Index
	Term       Term
	Kind       EntryKind
	Command    []byte
	Membership *Membership
}

// size estimates the encoded bytes of the entry.
func (e Entry) size() int { return len(e.Command) + entryOverheadBytes }

const entryOverheadBytes = 24

// Membership names the disk of each host.
type Membership struct {
	// Founder is the founder's generation at the founding.
	Founder Generation `cbor:"1,keyasint"`
	// Founding holds the generations that founded the log.
	Founding map[host.ID]Generation `cbor:"2,keyasint"`
	// Current holds the generations in force.
	Current map[host.ID]Generation `cbor:"3,keyasint"`
}

// With returns a copy in which id has generation g.
func (m Membership) With(id host.ID, g Generation) Membership {
	current := make(map[host.ID]Generation, len(m.Current))
	for k, v := range m.Current {
		current[k] = v
	}
	current[id] = g
	m.Current = current
	return m
}

// HardState is what a host must remember beside its log.
type HardState struct {
	Term Term    `cbor:"1,keyasint"`
	Vote host.ID `cbor:"2,keyasint,omitempty"`
	// Generation is that of this disk.
	Generation Generation `cbor:"3,keyasint"`
	// Admitted says that this generation may vote and is counted.
	Admitted bool `cbor:"4,keyasint,omitempty"`
	// Promise is the founder's generation that this disk has promised to follow.
	Promise Generation `cbor:"5,keyasint,omitempty"`
	// Challenge is what a founder must repeat before Promise changes. Each change
	// draws a new one, so that no late message of an earlier founder's disk counts.
	Challenge Generation `cbor:"6,keyasint,omitempty"`
}

// Snapshot stands for all entries up to Index.
type Snapshot struct {
	Index      Index      `cbor:"1,keyasint"`
	Term       Term       `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
	Data       []byte     `cbor:"4,keyasint"`
}

// Memory is what a journal holds when a host starts.
type Memory struct {
	Hard HardState
	// Snapshot has Index 0 if there is none.
	Snapshot Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}

// Role is a host's part in the current term.
type Role string

// The roles.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "pre_candidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
)

// Timing sets the pace of the machine. The zero value of a field is its default.
type Timing struct {
	// Heartbeat is the interval at which a leader shows itself.
	Heartbeat time.Duration
	// Election is how long a host that has heard its leader neither campaigns nor
	// votes. Campaigns start after between one and one and a half of it.
	Election time.Duration
	// DriftPercent is how far two clocks may drift apart over Election.
	DriftPercent int
}

// The defaults of Timing.
const (
	DefaultHeartbeat    = 200 * time.Millisecond
	DefaultElection     = 1000 * time.Millisecond
	DefaultDriftPercent = 10
)

func (t Timing) withDefaults() Timing {
	if t.Heartbeat == 0 {
		t.Heartbeat = DefaultHeartbeat
	}
	if t.Election == 0 {
		t.Election = DefaultElection
	}
	if t.DriftPercent == 0 {
		t.DriftPercent = DefaultDriftPercent
	}
	return t
}

// lease is how long a leader may serve reads after it sent a heartbeat that a
// majority has answered.
func (t Timing) lease() time.Duration {
	return t.Election * time.Duration(100-t.DriftPercent) / 100
}

// Limits of one message and of what may be under way.
const (
	// MaxCommandBytes bounds one command.
	MaxCommandBytes = 4 << 20
	// maxBatchBytes bounds the entries of one Append but for its first entry.
	maxBatchBytes = 1 << 20
	// maxInflightBytes and maxInflight bound what is sent to one peer unanswered.
	maxInflightBytes = 4 << 20
	maxInflight      = 64
	// maxUncommittedBytes bounds what a leader accepts ahead of the commit index.
	maxUncommittedBytes = 32 << 20
	// chunkBytes is the size of one part of a snapshot on the wire.
	chunkBytes = 512 << 10
	// DefaultKeptEntries is the default of Options.KeptEntries.
	DefaultKeptEntries = 1024
)

// Options describe one host's machine.
type Options struct {
	Self host.ID
	// Hosts are all control hosts, this one included. A majority of them decides.
	Hosts  []host.ID
	Timing Timing
	// KeptEntries is how many entries stay in memory behind a snapshot, for peers that
	// lag a little; 0 is DefaultKeptEntries.
	KeptEntries int
	// Seed seeds the spread of election timeouts.
	Seed uint64
}
