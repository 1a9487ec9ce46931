package portal

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/roster"
)

// TestEndpointsOfACutOffHostMoveToTheMajority cuts a host that is not the leader off from the others, with engines that announce themselves to
// it. It guards against engines that the leader does not use, since the host acknowledges announcements that it can't pass on.
func TestEndpointsOfACutOffHostMoveToTheMajority(t *testing.T) {
	runCluster(t, 3, func(c *cluster) {
		c.put("1:first")
		leader := c.leader()
		cutOff := c.nodes[0]
		if cutOff == leader {
			cutOff = c.nodes[1]
		}
		require.NoError(t, cutOff.Announce(c.t.Context(), engine(0, 1)))
		c.partition(cutOff, true)
		refused := false
		for sequence := range uint64(5) {
			time.Sleep(time.Second)
			refused = refused || IsErrUnavailable(cutOff.Announce(c.t.Context(), engine(0, sequence+2)))
		}
		require.True(t, refused, "the endpoint must call another host")
		c.partition(cutOff, false)
		time.Sleep(4 * time.Second)
		require.NoError(t, cutOff.Announce(c.t.Context(), engine(0, 9)))
	})
}

// TestLeaderlessHostRecordsWhatItRefuses guards against an announcement that nobody knows since all hosts refuse it while a leader is elected.
func TestLeaderlessHostRecordsWhatItRefuses(t *testing.T) {
	runCluster(t, 3, func(c *cluster) {
		c.put("1:first")
		cutOff := c.nodes[0]
		c.partition(cutOff, true)
		time.Sleep(5 * time.Second)
		require.True(t, IsErrUnavailable(cutOff.Announce(c.t.Context(), engine(0, 1))))
		cutOff.mu.Lock()
		e, known := cutOff.roster.Get(engine(0, 1).ID)
		cutOff.mu.Unlock()
		require.True(t, known)
		require.Equal(t, roster.StateReady, e.State)
	})
}
