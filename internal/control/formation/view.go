package formation

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/fleet/routes"
)

// Host is an engine as control knows it.
type Host struct {
	roster.Endpoint
	// Alive is true if the engine has given a recent sign of life and has not been found dead.
	Alive bool
	// Reported is when the engine's last announcement was received. Its last sign of life may be
	// later than that.
	Reported time.Time
	// Refuses is true if connections to the engine's address are refused.
	Refuses bool
}

// usable reports whether the engine may become a member of a new replica.
func (h Host) usable() bool { return h.Alive && h.State == roster.StateReady }

// memberOf reports whether the engine says that it is a member of the replica.
func (h Host) memberOf(at Place) bool {
	return h.Member != nil && h.Member.Replica == at.Replica && h.Member.Epoch == at.Epoch
}

// hasStaged reports whether the engine's host stores the model.
func (h Host) hasStaged(model string) bool {
	for _, m := range h.Staged {
		if m == model {
			return true
		}
	}
	return false
}

// Sight is what gateways observe of a serving head.
type Sight struct {
	// Waiting is the number of requests that wait for the head.
	Waiting int
	// Silence is the time since any gateway last received a byte from the head.
	Silence time.Duration
}

// Limits on the silence of a head that has work.
const (
	// activeSilence is the silence below which the head counts as active: a few rounds of token
	// steps.
	activeSilence = 400 * time.Millisecond
	// stalledSilence is the silence after which the replica is given up even though no member is
	// known to be lost.
	stalledSilence = 2500 * time.Millisecond
)

// active reports whether the head makes progress, which shows that its replica is complete.
func (s Sight) active() bool { return s.Waiting > 0 && s.Silence < activeSilence }

// stalled reports whether the head has work but makes no progress.
func (s Sight) stalled() bool { return s.Waiting > 0 && s.Silence > stalledSilence }

// View is the input of a planning step.
type View struct {
	Engine *routes.Engine
	Hosts  []Host
	// Heads is what gateways observe of heads, by ID. Heads without work may be missing.
	Heads map[string]Sight
	// Demand is the number of replicas that the work for each model would keep busy.
	Demand map[string]float64
	// Started is true once callers' requests have begun. From then on loads are slow and limited.
	Started bool
	// Since is when this leader took office. An earlier leader may have changed what engines
	// reported before.
	Since time.Time
	// Term is the leader's term. It makes the epochs of each leader higher than those of the one
	// before.
	Term uint64
}
