package portal

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/egretreach/egretreach/internal/fleet/roster"
)

// announceUntil sends an announcement to the nodes by turns, as endpoints do, until one acknowledges it. It returns that node.
func (c *cluster) announceUntil(e roster.Endpoint) *node {
	c.t.Helper()
	for range 100 {
		for _, n := range c.nodes {
			if n.stop != nil && n.Announce(c.t.Context(), e) == nil {
				return n
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	require.FailNow(c.t, "no node acknowledged "+e.ID)
	return nil
}

// stateAt returns the state of an endpoint at a node.
func (n *node) stateAt(id string) roster.State {
	n.mu.Lock()
	defer n.mu.Unlock()
	e, _ := n.roster.Get(id)
	return e.State
}

// hearLate lets a node hear an announcement that was on its way for long.
func (n *node) hearLate(e roster.Endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyAnnouncement(e, time.Now(), false)
}

// departureOf returns the announcement by which an endpoint that was ready drains or leaves. A sign-off has a start time only if end has one.
func departureOf(ready, end roster.Endpoint) roster.Endpoint {
	if end.State == roster.StateLeft {
		signOff := roster.Endpoint{ID: ready.ID, State: end.State}
		if end.StartedMs != 0 {
			signOff.StartedMs = ready.StartedMs
		}
		return signOff
	}
	ready.State, ready.Sequence = end.State, ready.Sequence+1
	return ready
}

// TestDepartureOutlastsTheHostThatAcknowledgedIt kills the control host that has acknowledged that an endpoint drains or leaves, or all of
// them, at the moment of the acknowledgement. It guards against endpoints that get requests after they were told that they would not.
func TestDepartureOutlastsTheHostThatAcknowledgedIt(t *testing.T) {
	leaving := map[string]roster.Endpoint{
		"draining":                 {State: roster.StateDraining},
		"left":                     {State: roster.StateLeft, StartedMs: 1},
		"left, without start time": {State: roster.StateLeft},
	}
	for name, end := range leaving {
		for _, all := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/all killed=%t", name, all), func(t *testing.T) {
				runCluster(t, 3, func(c *cluster) {
					c.put("1:first")
					for i := range c.nodes {
						ready := engine(i, 1)
						c.announceUntil(ready)
						time.Sleep(500 * time.Millisecond)
						first := c.nodes[i]
						require.NoError(t, first.Announce(c.t.Context(), departureOf(ready, end)))
						for _, n := range c.nodes {
							if all || n == first {
								c.stopNode(n)
							}
						}
						time.Sleep(500 * time.Millisecond)
						for _, n := range c.nodes {
							if n.stop == nil {
								c.start(n, false)
							}
						}
						time.Sleep(4 * time.Second)
						for _, n := range c.nodes {
							n.hearLate(ready)
							require.Equal(t, end.State, n.stateAt(ready.ID), "%s at %s", ready.ID, n.id)
						}
					}
				})
			})
		}
	}
}

// TestDepartureWithoutAMajorityIsNotAcknowledged guards against an acknowledgement of what no majority can keep.
func TestDepartureWithoutAMajorityIsNotAcknowledged(t *testing.T) {
	runCluster(t, 3, func(c *cluster) {
		c.put("1:first")
		ready := engine(0, 1)
		last := c.announceUntil(ready)
		for _, n := range c.nodes {
			if n != last {
				c.stopNode(n)
			}
		}
		time.Sleep(2 * time.Second)
		began := time.Now()
		require.True(t, IsErrUnavailable(last.Announce(c.t.Context(), departureOf(ready, roster.Endpoint{State: roster.StateDraining}))))
		require.Less(t, time.Since(began), time.Second, "endpoints try the next host after a second")
		require.Equal(t, roster.StateDraining, last.stateAt(ready.ID), "its gateways follow it all the same")
		other := engine(1, 1)
		began = time.Now()
		require.True(t, IsErrUnavailable(last.Announce(c.t.Context(), other)), "it should call another host")
		require.Zero(t, time.Since(began), "only a departure waits for the log")
		require.Equal(t, roster.StateReady, last.stateAt(other.ID))
	})
}

// TestManyDeparturesShareEntries lets 200 endpoints of 800 leave at once. It guards against a sync of the disks for each of them.
func TestManyDeparturesShareEntries(t *testing.T) {
	const endpoints, leaving, maxEntries = 800, 200, 20
	runCluster(t, 3, func(c *cluster) {
		c.put("1:first")
		for i := range endpoints {
			ready := engine(i, 1)
			ready.Address = fmt.Sprintf("10.%d.%d.1:80", 1+i/250, i%250)
			require.NoError(t, c.nodes[i%3].Announce(c.t.Context(), ready))
		}
		time.Sleep(time.Second)
		before := c.leader().currentLog().Status().LastIndex
		began := time.Now()
		var all errgroup.Group
		for i := range leaving {
			left := roster.Endpoint{ID: engine(i, 1).ID, State: roster.StateLeft, StartedMs: engine(i, 1).StartedMs}
			all.Go(func() error { return c.nodes[i%3].Announce(c.t.Context(), left) })
		}
		require.NoError(t, all.Wait())
		require.Less(t, time.Since(began), 500*time.Millisecond)
		require.Less(t, c.leader().currentLog().Status().LastIndex-before, uint64(maxEntries))
	})
}
