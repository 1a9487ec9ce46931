package execution

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/link/message"
)

// Action is what is to be done next. Each leads to exactly one event, but Finish,
// which ends the execution.
type Action interface{ action() }

// Route asks for a target, away from hosts that failed this request. If only
// excluded hosts are left, they may be used.
type Route struct{ Exclude map[host.ID]bool }

// Claim asks control for the right to dispatch.
type Claim struct{ Item message.ClaimItem }

// Dispatch hands an attempt to its target.
type Dispatch struct {
	Target  Target
	Attempt request.Attempt
}

// Ask asks an agent what became of an attempt.
type Ask struct {
	Address string
	Message message.Ask
}

// Settle records an attempt's end in the ledger.
type Settle struct{ Item message.SettleItem }

// Wait lets time pass before an agent is asked again, or before the next attempt.
type Wait struct{ For time.Duration }

// Finish tells the caller.
type Finish struct{ Result Result }

func (Route) action()    {}
func (Claim) action()    {}
func (Dispatch) action() {}
func (Ask) action()      {}
func (Settle) action()   {}
func (Wait) action()     {}
func (Finish) action()   {}
