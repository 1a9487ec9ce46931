package formation

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/fleet/routes"
)

// Host is an engine as control knows it, not the machine that the engine runs on.
type Host struct {
	roster.Endpoint
	// Alive is true if the engine has given a recent sign of life and has not been found dead.
	Alive bool
	// LastReport is when the engine's last announcement was received. Its last sign of life may be
	// later than that.
	LastReport time.Time
	// Cold is how much longer the engine is cold, 0 if it isn't.
	Cold time.Duration
}

// usable reports whether the engine may become a member of a new replica.
func (h Host) usable() bool { return h.Alive && h.State == roster.StateReady }

// memberOf reports whether the engine says that it is a member of the replica.
func (h Host) memberOf(ref ReplicaRef) bool {
	return h.Member != nil && h.Member.Replica == ref.Replica && h.Member.Epoch == ref.Epoch
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

// HeadReport is what gateways observe of a serving head.
type HeadReport struct {
	// Waiting is the number of requests that wait for the head.
	Waiting int
	// SinceLastData is the time since any gateway last received a byte from the head, but at most the longest time that requests
	// at any gateway have been waiting for one.
	SinceLastData time.Duration
}

// Limits on the time without data from a head that has work.
const (
	// activeLimit is the time since the last data below which the head counts as active: a few
	// rounds of token steps.
	activeLimit = 400 * time.Millisecond
	// stallTimeout is the time without data after which the replica is given up even though no
	// member is known to be lost.
	stallTimeout = 2500 * time.Millisecond
)

// active reports whether the head makes progress, which shows that its replica is complete.
func (r HeadReport) active() bool { return r.Waiting > 0 && r.SinceLastData < activeLimit }

// stalled reports whether the head has work but makes no progress.
func (r HeadReport) stalled() bool { return r.Waiting > 0 && r.SinceLastData > stallTimeout }

// View is the input of a planning step for one service.
type View struct {
	// Engine describes the service's engines and models.
	Engine *routes.Engine
	Hosts  []Host
	// Heads is what gateways observe of heads, by ID. Heads without work may be missing.
	Heads map[string]HeadReport
	// Demand is the number of replicas that the work for each model would keep busy.
	Demand map[string]float64
	// Evacuated are the failure domains in which no replica is formed or loaded, and whose replicas are closed once they are idle.
	Evacuated []string
	// TrafficStarted is true once callers' requests have begun. From then on loads are slow and
	// limited.
	TrafficStarted bool
	// LeaderSince is when this leader was elected. An earlier leader may have changed what engines
	// reported before.
	LeaderSince time.Time
	// Term is the leader's term. It makes the epochs of each leader higher than those of the one
	// before.
	Term uint64
}
