package formation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestASpareStandsInForEitherModel loses a member of each model, one after the other, in a
// domain with two spares: whichever model is hit first, both are whole again within the time
// that an engine takes from its host, and without the weight store.
func TestASpareStandsInForEitherModel(t *testing.T) {
	for _, order := range [][]string{{"small", "small"}, {"large", "large"}, {"small", "large"}, {"large", "small"}} {
		w := newWorld(t, 1, 1, 11)
		w.run(9 * time.Second)
		w.started = true
		w.demand = map[string]float64{"large": 1.3, "small": 1.3}
		w.run(time.Second)
		for _, model := range order {
			w.memberOf(model, -1).dead = true
			took := w.until(6*time.Second, func() bool { return w.serving("large") == 1 && w.serving("small") == 1 })
			require.Less(t, took, 2500*time.Millisecond, "%v", order)
		}
		require.Zero(t, w.joinLoads, "%v", order)
	}
}

// TestAStandbyIsNoReplica lets a new leader find spares in standby places: it neither adopts
// them nor tells them to leave.
func TestAStandbyIsNoReplica(t *testing.T) {
	w := settledWorld(t, 1)
	w.planner, w.term, w.notes = Planner{}, 2, nil
	standing := 0
	for _, e := range w.engines {
		if (Host{Endpoint: e.Endpoint}).onStandby() {
			standing++
		}
	}
	require.Equal(t, 6, standing)
	w.run(5 * time.Second)
	for _, n := range w.notes {
		require.NotContains(t, n.Replica, standbyPrefix)
	}
	for _, e := range w.engines {
		if (Host{Endpoint: e.Endpoint}).onStandby() {
			standing--
		}
	}
	require.Zero(t, standing)
}
