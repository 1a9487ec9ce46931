package state

import (
	"github.com/egretreach/egretreach/internal/control/quarantine"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
)

// Result is what applying a command returned. Only this package implements it.
type Result interface{ result() }

// Done is a command that took effect, or one that changed nothing because what it
// asks for holds already.
type Done struct{}

// Refused is a command that had no effect.
type Refused struct{ Reason string }

// ConfigApplied answers ApplyConfig.
type ConfigApplied struct {
	// Accepted says that the change stands in the history as Revision.
	Accepted bool
	// Revision is the change's own, or the latest one after a conflict.
	Revision view.Revision
	// Conflict names the change that won.
	Conflict string
}

// Formed answers Form and Swap.
type Formed struct{ Replica replica.Replica }

// Claimed answers Claim, item by item.
type Claimed struct{ Items []message.ClaimItemResult }

// Settled answers Settle, item by item.
type Settled struct{ Recorded []bool }

// QuarantineChanged answers Crash, ClearSuspects and ClearQuarantine.
type QuarantineChanged struct{ Change quarantine.Change }

func (Done) result()              {}
func (Refused) result()           {}
func (ConfigApplied) result()     {}
func (Formed) result()            {}
func (Claimed) result()           {}
func (Settled) result()           {}
func (QuarantineChanged) result() {}
