package execution

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/link/message"
)

// Action is the next thing to do for a request. The result of each action but Finish,
// which ends the execution, is passed to Machine.Step as exactly one event.
type Action interface{ action() }

// Route asks for a target on a host on which this request has not failed. If only
// excluded hosts are left, they may be used.
type Route struct{ Exclude map[host.ID]bool }

// Claim asks control for the right to dispatch the attempt.
type Claim struct{ Item message.ClaimItem }

// Dispatch sends an attempt to its target.
type Dispatch struct {
	Target  Target
	Attempt request.Attempt
}

// Ask asks an agent for the outcome of an attempt.
type Ask struct {
	Address string
	Message message.Ask
}

// Settle records the end of an attempt in the ledger.
type Settle struct{ Item message.SettleItem }

// Wait waits before an agent is asked again or before the next attempt.
type Wait struct{ For time.Duration }

// Finish returns the result to the caller.
type Finish struct{ Result Result }

func (Route) action()    {}
func (Claim) action()    {}
func (Dispatch) action() {}
func (Ask) action()      {}
func (Settle) action()   {}
func (Wait) action()     {}
func (Finish) action()   {}
