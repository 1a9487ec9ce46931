package formation

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/fleet/routes"
)

// Host is one engine as control knows it.
type Host struct {
	roster.Endpoint
	// Alive says that the engine was heard of lately and has not been found dead.
	Alive bool
	// Reported is when the engine last announced itself. What it said may be older than its
	// last sign of life.
	Reported time.Time
	// Refuses says that nobody listens at the engine's address.
	Refuses bool
}

// usable reports whether the engine may be a member of a new replica.
func (h Host) usable() bool { return h.Alive && h.State == roster.StateReady }

// in reports whether the engine says that it is a member of the replica at.
func (h Host) in(at Place) bool {
	return h.Member != nil && h.Member.Replica == at.Replica && h.Member.Epoch == at.Epoch
}

// staged reports whether the engine's host holds the model.
func (h Host) staged(model string) bool {
	for _, m := range h.Staged {
		if m == model {
			return true
		}
	}
	return false
}

// Sight is what gateways see of a serving head.
type Sight struct {
	// Waiting is how many requests wait for the head.
	Waiting int
	// Silence is the time since any gateway last had a byte from the head.
	Silence time.Duration
}

// Times after which gateways' sight of a head counts.
const (
	// movingSilence is the silence below which a head that has work is at work: a few
	// rounds of token steps.
	movingSilence = 400 * time.Millisecond
	// stuckSilence is the silence after which a head with work is taken out even though
	// no member is known to be lost.
	stuckSilence = 2500 * time.Millisecond
)

// moving reports whether the head has shown that its replica is whole.
func (s Sight) moving() bool { return s.Waiting > 0 && s.Silence < movingSilence }

// stuck reports whether the head stands still.
func (s Sight) stuck() bool { return s.Waiting > 0 && s.Silence > stuckSilence }

// View is what the planner decides on.
type View struct {
	Engine *routes.Engine
	Hosts  []Host
	// Heads is what gateways see of heads, by ID; heads without work may be missing.
	Heads map[string]Sight
	// Demand is how many replicas the work of each model would keep busy.
	Demand map[string]float64
	// Started says that callers' requests have begun, so that loads are dear.
	Started bool
	// Since is when this leader began to lead: what engines said before then may have been
	// changed by an earlier leader.
	Since time.Time
	// Term is the leader's term; it makes epochs rise from leader to leader.
	Term uint64
}
