package formation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSpareReplacesMemberOfEitherModel loses a member of each model, one after the other, in a
// domain with two spares. Whichever model is hit first, both must be complete again within the
// time of a load from the host, without the weight store.
func TestSpareReplacesMemberOfEitherModel(t *testing.T) {
	for _, order := range [][]string{{"small", "small"}, {"large", "large"}, {"small", "large"}, {"large", "small"}} {
		s := newSimulation(t, 1, 1, 11)
		s.run(9 * time.Second)
		s.trafficStarted = true
		s.demand = map[string]float64{"large": 1.3, "small": 1.3}
		s.run(time.Second)
		for _, model := range order {
			s.memberOf(model, -1).dead = true
			took := s.runUntil(6*time.Second, func() bool { return s.serving("large") == 1 && s.serving("small") == 1 })
			require.Less(t, took, 2500*time.Millisecond, "%v", order)
		}
		require.Zero(t, s.joinLoads, "%v", order)
	}
}

// TestNewLeaderLeavesStandbysAlone gives a new leader spares in standby replicas. It must neither
// adopt these replicas nor order their members to leave.
func TestNewLeaderLeavesStandbysAlone(t *testing.T) {
	s := newSettledSimulation(t, 1)
	s.planner, s.term, s.decisions = Planner{}, 2, nil
	onStandby := 0
	for _, e := range s.engines {
		if (Host{Endpoint: e.Endpoint}).onStandby() {
			onStandby++
		}
	}
	require.Equal(t, 6, onStandby)
	s.run(5 * time.Second)
	for _, n := range s.decisions {
		require.NotContains(t, n.Replica, standbyPrefix)
	}
	for _, e := range s.engines {
		if (Host{Endpoint: e.Endpoint}).onStandby() {
			onStandby--
		}
	}
	require.Zero(t, onStandby)
}
