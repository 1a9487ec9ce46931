package formation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAHeadThatOpensAgainIsNotTaken lets the join and the open of a head be carried out once
// more, after it has left its replica: neither it nor its members are taken while it serves.
func TestAHeadThatOpensAgainIsNotTaken(t *testing.T) {
	w := newWorld(t, 1, 1, 3)
	w.until(5*time.Second, func() bool { return w.serving("small") == 1 })
	w.started = true
	w.demand = map[string]float64{"small": 1}
	head := w.memberOf("small", 0)
	at := ReplicaRef{head.Member.Replica, head.Member.Epoch}
	join, open := Join{head.ID, at, "small", head.members}, Open{head.ID, at}
	w.late = []lateOrder{{w.now.Add(3 * time.Second), join}, {w.now.Add(4 * time.Second), open}}
	w.planner.HandleAnswer(join, AnswerNone)
	w.planner.HandleAnswer(open, AnswerNone)
	w.memberOf("small", -1).dead = true
	w.run(5 * time.Second)
	spare := w.add("fabric-0")
	spare.Staged = []string{"small"}
	w.until(20*time.Second, func() bool { return w.serving("small") == 1 })
	require.NotEqual(t, at.Replica, spare.Member.Replica)
}
