package formation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newWideSimulation returns a simulation of ten fabric domains with 35 engines each, whose models have very different sizes, one
// second after traffic has started.
func newWideSimulation(t require.TestingT, demand map[string]float64) *simulation {
	s := newSimulation(t, 1, 10, 35)
	s.engine.Models[0].Size, s.engine.Models[0].Share = 16, 0.5
	s.engine.Models[1].Size, s.engine.Models[1].Share = 4, 0.5
	s.run(9 * time.Second)
	require.Equal(t, 10, s.serving("large"))
	require.Equal(t, 40, s.serving("small"))
	s.trafficStarted, s.demand = true, demand
	return s
}

// TestEnginesMoveToTheLackingModel guards against a model that lacks engine time for good beside another that has plenty: it takes the engines
// of four small replicas to form a large one, and in a large fleet one replica is a small part of all work.
func TestEnginesMoveToTheLackingModel(t *testing.T) {
	demand := map[string]float64{"large": 11, "small": 27}
	s := newWideSimulation(t, demand)
	s.run(30 * time.Second)
	require.GreaterOrEqual(t, s.serving("large"), 11)
	require.GreaterOrEqual(t, s.serving("small"), 27)
	require.Empty(t, s.loads, "loads from the weight store")
}

// TestBalancedFleetIsLeftAlone guards against replicas that are closed for next to nothing, over and over.
func TestBalancedFleetIsLeftAlone(t *testing.T) {
	s := newWideSimulation(t, map[string]float64{"large": 8, "small": 32})
	s.run(5 * time.Second)
	s.decisions = nil
	s.run(30 * time.Second)
	closed := 0
	for _, d := range s.decisions {
		if d.Phase == "closing" {
			closed++
		}
	}
	require.LessOrEqual(t, closed, 4, "replicas closed in half a minute without a fault")
}

// TestRegroupingsDoNotComeAllAtOnce guards against many domains that are regrouped at the same moment, in which none of their replicas serves.
func TestRegroupingsDoNotComeAllAtOnce(t *testing.T) {
	s := newWideSimulation(t, map[string]float64{"large": 16, "small": 12})
	least := 10
	for range 300 {
		s.run(100 * time.Millisecond)
		least = min(least, s.serving("large"))
	}
	require.GreaterOrEqual(t, least, 9, "large replicas that serve")
}
