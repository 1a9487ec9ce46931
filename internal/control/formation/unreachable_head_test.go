package formation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestMembersLeaveAHeadThatCannotBeReached guards against members that join another replica while the head of theirs, which control cannot
// reach though it runs, still serves callers.
func TestMembersLeaveAHeadThatCannotBeReached(t *testing.T) {
	s := newSettledSimulation(t, 1)
	head := s.memberOf("large", 0)
	s.idle = map[string]bool{head.ID: true}
	head.partitioned = true
	reused := func() bool {
		for _, id := range head.members[1:] {
			if m := s.find(id).Member; m != nil && m.Replica != head.Member.Replica {
				return true
			}
		}
		return false
	}
	s.runUntil(20*time.Second, reused)
	require.True(t, head.IsServingHead(), "nothing reaches the head")
	head.partitioned = false
	s.runUntil(time.Second, func() bool { return !head.IsServingHead() })
}
