package state

import (
	"github.com/egretreach/egretreach/internal/control/quarantine"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
)

// Result is the result of a command. Only this package implements it.
type Result interface{ result() }

// Done is the result of a command that took effect, or that changed nothing because
// the state was already as requested.
type Done struct{}

// Refused is the result of a command that was refused and had no effect.
type Refused struct{ Reason string }

// ConfigApplied is the result of ApplyConfig.
type ConfigApplied struct {
	// Accepted is true if the change is in the history as Revision.
	Accepted bool
	// Revision is the revision of the change or, after a conflict, the latest one.
	Revision view.Revision
	// Conflict describes the change that was accepted instead.
	Conflict string
}

// Formed is the result of Form and Swap.
type Formed struct{ Replica replica.Replica }

// Claimed is the result of Claim, with one element for each item.
type Claimed struct{ Items []message.ClaimItemResult }

// Settled is the result of Settle, with one element for each item.
type Settled struct{ Recorded []bool }

// HoldChanged is the result of Hold.
type HoldChanged struct{}

// QuarantineChanged is the result of Crash, ClearSuspects and ClearQuarantine.
type QuarantineChanged struct{ Change quarantine.Change }

func (Done) result()              {}
func (Refused) result()           {}
func (ConfigApplied) result()     {}
func (Formed) result()            {}
func (Claimed) result()           {}
func (Settled) result()           {}
func (QuarantineChanged) result() {}

func (HoldChanged) result() {}
