package formation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReopenedHeadIsNotReused carries out the join and the open of a head once more after it has
// left its replica. Neither the head nor its members may be used elsewhere while it serves.
func TestReopenedHeadIsNotReused(t *testing.T) {
	s := newSimulation(t, 1, 1, 3)
	s.runUntil(5*time.Second, func() bool { return s.serving("small") == 1 })
	s.trafficStarted = true
	s.demand = map[string]float64{"small": 1}
	head := s.memberOf("small", 0)
	at := ReplicaRef{head.Member.Replica, head.Member.Epoch}
	join, open := Join{head.ID, at, "small", head.members}, Open{head.ID, at}
	s.lateOrders = []lateOrder{{s.now.Add(3 * time.Second), join}, {s.now.Add(4 * time.Second), open}}
	s.planner.HandleAnswer(join, AnswerNone)
	s.planner.HandleAnswer(open, AnswerNone)
	s.memberOf("small", -1).dead = true
	s.run(5 * time.Second)
	spare := s.add("fabric-0")
	spare.Staged = []string{"small"}
	s.runUntil(20*time.Second, func() bool { return s.serving("small") == 1 })
	require.NotEqual(t, at.Replica, spare.Member.Replica)
}
