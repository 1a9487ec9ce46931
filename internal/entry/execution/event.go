package execution

import (
	"time"

	"github.com/egretreach/egretreach/internal/link/message"
)

// Event is the outcome of an action.
type Event interface{ event() }

// Routed is the event of a Route that found a target.
type Routed struct{ Target Target }

// Unroutable is the event of a Route that found no target. Final is set if waiting does
// not help. Restricted is set if all endpoints that serve the request now are ruled out for it: the request is then
// refused at once, unless an earlier attempt may have run, whose own endpoint may serve again.
type Unroutable struct {
	Code       string
	Reason     string
	RetryAfter time.Duration
	Final      bool
	Restricted bool
}

// Claimed is the event of a Claim that control answered.
type Claimed struct{ Result message.ClaimItemResult }

// ClaimFailed is the event of a Claim that control refused or did not answer. Nothing
// was dispatched, but the ledger may have recorded the claim.
type ClaimFailed struct{ Reason string }

// EndKind is what the end of an attempt proves.
type EndKind int

// Kinds of ends of an attempt.
const (
	// EndLost: the attempt may have run.
	EndLost EndKind = iota
	// EndComplete: the whole answer arrived.
	EndComplete
	// EndNotRun: the attempt did not reach an agent, or the agent attests that it did
	// not pass the attempt on to its endpoint and never will.
	EndNotRun
)

// Ended is the event of a Dispatch.
type Ended struct {
	Kind       EndKind
	Code       string
	Reason     string
	RetryAfter time.Duration
	// Answer is the whole answer, to be kept in the ledger for resends.
	Answer *message.Answer
	// ReportedUnknown is set if the agent itself reported the outcome unknown, so that asking it
	// again is useless.
	ReportedUnknown bool
	// Crash is the number of the engine's crash that ended the attempt, 0 if none did.
	Crash uint64
	// Final is set if no other attempt may follow: another attempt would fail in the same way, or
	// the caller has disconnected or already has a part of the answer that cannot be continued.
	Final bool
}

// Asked is the event of an Ask.
type Asked struct {
	// Answered is false if the agent could not be reached or did not answer before the
	// deadline, which also ends the wait for an attempt that is still running.
	Answered bool
	State    message.AskState
	Answer   *message.Answer
}

// Settled is the event of a Settle, whether or not control recorded it.
type Settled struct{}

// Waited is the event of a Wait.
type Waited struct{}

func (Routed) event()      {}
func (Unroutable) event()  {}
func (Claimed) event()     {}
func (ClaimFailed) event() {}
func (Ended) event()       {}
func (Asked) event()       {}
func (Settled) event()     {}
func (Waited) event()      {}
