package portal

// All tests run in virtual time, by testing/synctest.

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/control/portalstate"
	"github.com/egretreach/egretreach/internal/link/message"
)

// evacuate sends an evacuation or a withdrawal to one node after the other, as operators do, until one acknowledges it. It returns that node.
func (c *cluster) evacuate(domain string, active bool) *node {
	c.t.Helper()
	for range 200 {
		for _, n := range c.nodes {
			if n.stop != nil && n.Evacuate(c.t.Context(), domain, active) == nil {
				return n
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.FailNow(c.t, "no node acknowledged "+domain)
	return nil
}

// evacuations returns what the first node able to answer returns.
func (c *cluster) evacuations() []string {
	c.t.Helper()
	for range 200 {
		for _, n := range c.nodes {
			if n.stop == nil {
				continue
			}
			if current, err := n.Evacuations(c.t.Context()); err == nil {
				return current.Domains
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.FailNow(c.t, "no node can read the evacuations")
	return nil
}

// TestEvacuationIsAcknowledgedByTheLeader guards against an acknowledgement from a state that may be stale: followers name the leader, also
// for a repeated command, and a leader that is cut off acknowledges nothing. The others go on without what it could not commit.
func TestEvacuationIsAcknowledgedByTheLeader(t *testing.T) {
	runCluster(t, 5, func(c *cluster) {
		c.put("1:first")
		old := c.leader()
		began := time.Now()
		require.NoError(t, old.Evacuate(c.t.Context(), "a", true))
		require.Less(t, time.Since(began), time.Second)
		time.Sleep(300 * time.Millisecond)
		for _, n := range c.nodes {
			require.Equal(t, []string{"a"}, n.machine.Evacuations().Domains)
			if n == old {
				continue
			}
			for _, active := range []bool{true, false} {
				var elsewhere ErrNotLeader
				require.ErrorAs(t, n.Evacuate(c.t.Context(), "a", active), &elsewhere)
				require.Equal(t, old.ip+":8229", elsewhere.Address)
			}
			_, err := n.Evacuations(c.t.Context())
			require.True(t, IsErrNotLeader(err))
		}
		require.NoError(t, old.Evacuate(c.t.Context(), "a", true), "a repeated command")

		c.partition(old, true)
		for _, domain := range []string{"a", "b"} {
			began = time.Now()
			require.True(t, IsErrUnavailable(old.Evacuate(c.t.Context(), domain, true)), domain)
			require.LessOrEqual(t, time.Since(began), operatorTimeout, domain)
		}
		require.NotSame(t, old, c.evacuate("c", true))
		require.Equal(t, []string{"a", "c"}, c.evacuations())
		c.partition(old, false)
		c.evacuate("a", false)
		time.Sleep(3 * time.Second)
		for _, n := range c.nodes {
			require.Equal(t, []string{"c"}, n.machine.Evacuations().Domains)
		}
	})
}

// TestEvacuationOutlastsProcessesAndDisks kills the host that has acknowledged an evacuation, or all, at the moment of the acknowledgement,
// and wipes two disks. It guards against a change that is lost with a leader or a disk.
func TestEvacuationOutlastsProcessesAndDisks(t *testing.T) {
	for _, all := range []bool{false, true} {
		t.Run(fmt.Sprint("all=", all), func(t *testing.T) {
			runCluster(t, 5, func(c *cluster) {
				c.put("1:first")
				for round, active := range []bool{true, false, true} {
					acknowledged := c.evacuate("a", active)
					second := c.nodes[round]
					if second == acknowledged {
						second = c.nodes[round+1]
					}
					for _, n := range c.nodes {
						if all || n == acknowledged || n == second {
							c.stopNode(n)
						}
					}
					c.wipe(acknowledged)
					c.wipe(second)
					for _, n := range c.nodes {
						if n.stop == nil {
							c.start(n, false)
						}
					}
					require.Equal(t, active, len(c.evacuations()) == 1)
					time.Sleep(6 * time.Second)
				}
			})
		})
	}
}

// TestFullDiskAcknowledgesNoEvacuation guards against an acknowledgement while a majority can't store the entry, and against portals that
// don't go on when there is room again.
func TestFullDiskAcknowledgesNoEvacuation(t *testing.T) {
	runCluster(t, 3, func(c *cluster) {
		c.put("1:first")
		for _, n := range c.nodes {
			n.disk.SetFull(true)
		}
		for _, n := range c.nodes {
			require.Error(t, n.Evacuate(c.t.Context(), "a", true))
		}
		for _, n := range c.nodes {
			n.disk.SetFull(false)
		}
		time.Sleep(5 * time.Second)
		c.evacuate("b", true)
		require.Contains(t, c.evacuations(), "b")
	})
}

// TestInvalidEvacuationsAreRefused guards against names that no failure domain has, and against a set without bound.
func TestInvalidEvacuationsAreRefused(t *testing.T) {
	runCluster(t, 1, func(c *cluster) {
		c.put("1:first")
		leader := c.leader()
		for _, domain := range []string{"", "a\xff", strings.Repeat("a", maxDomainBytes+1)} {
			require.True(t, IsErrRefused(leader.Evacuate(c.t.Context(), domain, true)), "%q", domain)
			require.True(t, IsErrRefused(leader.Evacuate(c.t.Context(), domain, false)), "%q", domain)
		}
		for i := range portalstate.MaxEvacuated {
			require.NoError(t, leader.Evacuate(c.t.Context(), strconv.Itoa(i), true))
		}
		require.True(t, IsErrRefused(leader.Evacuate(c.t.Context(), "more", true)))
		require.NoError(t, leader.Evacuate(c.t.Context(), "7", true), "it has begun already")
		require.NoError(t, leader.Evacuate(c.t.Context(), "none", false))
		require.NoError(t, leader.Evacuate(c.t.Context(), strings.Repeat("7", maxDomainBytes), false))
	})
}

// TestFollowerAnswersOnceItHoldsTheEvacuations guards against a control host that confirms to a gateway evacuations that it has not got yet.
func TestFollowerAnswersOnceItHoldsTheEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Options{Self: "p"})
		confirmed := &message.VersionAnswer{Confirmed: true, EvacuationRevision: 3}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.ErrorIs(t, p.awaitVersion(ctx, confirmed), context.DeadlineExceeded)
		command, err := portalstate.Evacuation{Domain: "a", Active: true}.Encode()
		require.NoError(t, err)
		time.AfterFunc(100*time.Millisecond, func() { p.machine.Apply(3, command) })
		began := time.Now()
		require.NoError(t, p.awaitVersion(t.Context(), confirmed))
		require.Equal(t, 100*time.Millisecond, time.Since(began))
	})
}

// TestLeaderConfirmsTheRevision guards against an answer to another control host that lacks the revision, so that the host confirms what it
// has without the last evacuation.
func TestLeaderConfirmsTheRevision(t *testing.T) {
	runCluster(t, 3, func(c *cluster) {
		c.put("1:first")
		leader := c.leader()
		require.NoError(t, leader.Evacuate(c.t.Context(), "a", true))
		for _, n := range c.nodes {
			if n == leader {
				continue
			}
			answer, err := n.queryVersion(c.t.Context(), leader.ip+":7340", true)
			require.NoError(t, err)
			require.Equal(t, leader.machine.Evacuations().Revision, answer.EvacuationRevision)
			require.NotZero(t, answer.EvacuationRevision)
		}
	})
}

// TestUpdatesHaveTheEvacuations guards against a gateway that never gets the set, or gets it late: a change of the set wakes the subscriptions.
func TestUpdatesHaveTheEvacuations(t *testing.T) {
	p := New(Options{Self: "p"})
	state := subscriberState{sent: map[string]sentState{}}
	first := p.nextUpdate(&state, "g", true)
	require.Equal(t, &message.Evacuated{}, first.Evacuated)
	require.Zero(t, first.EvacuationRevision)
	require.Nil(t, p.nextUpdate(&state, "g", false).Evacuated)

	command, err := portalstate.Evacuation{Domain: "a", Active: true}.Encode()
	require.NoError(t, err)
	p.machine.Apply(4, command)
	changed := p.changeNotify()
	applied := p.applyEvacuations(portalstate.Evacuations{})
	require.Equal(t, portalstate.Evacuations{Revision: 4, Domains: []string{"a"}}, applied)
	select {
	case <-changed:
	default:
		require.Fail(t, "the subscriptions are not woken")
	}
	changed = p.changeNotify()
	require.Equal(t, applied, p.applyEvacuations(applied))
	select {
	case <-changed:
		require.Fail(t, "nothing has changed")
	default:
	}
	update := p.nextUpdate(&state, "g", false)
	require.Equal(t, []string{"a"}, update.Evacuated.Domains)
	require.Equal(t, uint64(4), update.EvacuationRevision)
	update = p.nextUpdate(&state, "g", false)
	require.Nil(t, update.Evacuated)
	require.Equal(t, uint64(4), update.EvacuationRevision)
	other := subscriberState{sent: map[string]sentState{}}
	require.Equal(t, []string{"a"}, p.nextUpdate(&other, "h", true).Evacuated.Domains)
}

// TestLeaderFormsNothingInAnEvacuatedDomain guards against a planner that isn't told of evacuations.
func TestLeaderFormsNothingInAnEvacuatedDomain(t *testing.T) {
	runCluster(t, 1, func(c *cluster) {
		c.put("1:first")
		c.evacuate("a", true)
		for i := range 3 {
			require.NoError(t, c.nodes[0].Announce(c.t.Context(), engine(i, 1)))
		}
		time.Sleep(time.Second)
		require.Empty(t, c.engines.sentOrders())
		c.evacuate("a", false)
		for i := range 3 {
			require.NoError(t, c.nodes[0].Announce(c.t.Context(), engine(i, 2)))
		}
		time.Sleep(time.Second)
		require.NotEmpty(t, c.engines.sentOrders())
	})
}
