package execution

import (
	"time"

	"github.com/egretreach/egretreach/internal/link/message"
)

// Event is what an action led to.
type Event interface{ event() }

// Routed answers Route with a target.
type Routed struct{ Target Target }

// Unroutable answers Route when there is no target now. Final says that waiting
// does not help.
type Unroutable struct {
	Code       string
	Reason     string
	RetryAfter time.Duration
	Final      bool
}

// Claimed answers Claim.
type Claimed struct{ Result message.ClaimItemResult }

// ClaimFailed answers Claim when control could not be reached. Nothing was dispatched.
type ClaimFailed struct{ Reason string }

// EndKind says what the end of an attempt proves.
type EndKind int

// The kinds of end.
const (
	// EndLost: the attempt may have run.
	EndLost EndKind = iota
	// EndComplete: the whole answer arrived.
	EndComplete
	// EndNotRun: the attempt never reached an agent, or the agent attests that it
	// did not pass it on and never will.
	EndNotRun
)

// Ended answers Dispatch.
type Ended struct {
	Kind       EndKind
	Code       string
	Reason     string
	RetryAfter time.Duration
	// Answer is the whole answer, to be kept for resends.
	Answer *message.Answer
	// Attested says that the agent itself gave the attempt's end as unknown, so that
	// asking it again tells nothing new.
	Attested bool
	// Final says that the caller already has a part that cannot be taken back or
	// continued.
	Final bool
}

// Asked answers Ask.
type Asked struct {
	// Reached is false when the agent gave no answer.
	Reached bool
	State   message.AskState
	Answer  *message.Answer
}

// Settled answers Settle, whether or not control could record it.
type Settled struct{}

// Waited answers Wait.
type Waited struct{}

func (Routed) event()      {}
func (Unroutable) event()  {}
func (Claimed) event()     {}
func (ClaimFailed) event() {}
func (Ended) event()       {}
func (Asked) event()       {}
func (Settled) event()     {}
func (Waited) event()      {}
