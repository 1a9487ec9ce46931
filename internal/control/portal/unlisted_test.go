package portal

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/roster"
)

// unlistedAnnouncements are announcements of another writer for the address or the ID of e, for a service that no configuration lists.
func unlistedAnnouncements(e roster.Endpoint) map[string]roster.Endpoint {
	foreign := e
	foreign.Service, foreign.StartedMs, foreign.Sequence, foreign.Member = "other", e.StartedMs+1000, 1, nil
	withOwnID, sameStart, draining, left, member := foreign, foreign, foreign, foreign, foreign
	withOwnID.ID = "x"
	sameStart.StartedMs, sameStart.Sequence = e.StartedMs, e.Sequence+100
	draining.State = roster.StateDraining
	left.State = roster.StateLeft
	member.Member = &roster.Membership{Replica: "r", Epoch: 9, State: roster.MemberBroken}
	elsewhere := foreign
	elsewhere.Address = "10.9.0.1:80"
	return map[string]roster.Endpoint{
		"an ID of its own": withOwnID, "the ID of the endpoint": foreign, "its ID and start time": sameStart, "its ID, draining": draining,
		"its ID, left": left, "its ID, as a member": member, "its ID at another address": elsewhere,
	}
}

// requireUsed requires that e is ready at its address, and that its next announcement counts.
func (p *Portal) requireUsed(t *testing.T, e roster.Endpoint) {
	t.Helper()
	e.Sequence += 10
	p.announceNow(e)
	p.mu.Lock()
	defer p.mu.Unlock()
	entry, known := p.roster.Get(e.ID)
	require.True(t, known)
	require.Equal(t, e, entry.Endpoint)
	at, _ := p.roster.At(e.Address)
	require.Equal(t, e.ID, at.ID)
}

// TestUnlistedServiceChangesNoEndpoint guards against an announcement of another writer that takes an endpoint away, by its address or by its ID,
// while the endpoint's own announcements are acknowledged: sent to this host or to another one, before, after or beside a first
// configuration. review/15 is the first of them.
func TestUnlistedServiceChangesNoEndpoint(t *testing.T) {
	own := engine(0, 1)
	own.Member = &roster.Membership{Replica: "r", Epoch: 1, State: roster.MemberOpen}
	for name, foreign := range unlistedAnnouncements(own) {
		for _, direct := range []bool{true, false} {
			announceForeign := func(p *Portal) {
				p.mu.Lock()
				defer p.mu.Unlock()
				p.applyAnnouncement(foreign, time.Now(), direct)
			}
			orders := map[string]func(p *Portal){
				"endpoint, foreign": func(p *Portal) { p.list("llm"); p.announceNow(own); announceForeign(p) },
				"foreign, endpoint": func(p *Portal) { p.list("llm"); announceForeign(p); p.announceNow(own) },
				"both before the configuration": func(p *Portal) {
					p.announceNow(own)
					announceForeign(p)
					p.list("llm")
				},
				"foreign before the configuration": func(p *Portal) { announceForeign(p); p.list("llm"); p.announceNow(own) },
				"listed after the endpoint went on": func(p *Portal) {
					p.list("llm")
					p.announceNow(own)
					announceForeign(p)
					next := own
					next.Sequence++
					p.announceNow(next)
					p.list("llm", "other")
				},
				"before a newer configuration": func(p *Portal) { p.list("llm"); p.announceNow(own); announceForeign(p); p.list("llm", "more") },
			}
			for order, run := range orders {
				t.Run(name+"/"+order, func(t *testing.T) {
					p := New(Options{Self: "p"})
					run(p)
					p.requireUsed(t, own)
					_, departing := p.unkeptDeparture(foreign)
					require.False(t, departing, "nothing of it is kept in the log")
				})
			}
		}
	}
}

// TestServiceThatIsListedLaterIsUsedAtOnce guards against endpoints that are used only from their next announcement on, at a first start and
// where a service is added.
func TestServiceThatIsListedLaterIsUsedAtOnce(t *testing.T) {
	for _, before := range [][]string{nil, {"more"}} {
		p := New(Options{Self: "p"})
		if before != nil {
			p.list(before...)
		}
		for i := range 3 {
			p.announceNow(engine(i, 1))
		}
		gone := engine(1, 2)
		p.announceNow(roster.Endpoint{ID: gone.ID, State: roster.StateLeft})
		require.InDelta(t, 3, p.unlistedCount(), 0)
		p.list("llm", "more")
		require.Zero(t, p.unlistedCount())
		p.requireUsed(t, engine(0, 1))
		p.requireUsed(t, engine(2, 1))
		entry, _ := p.roster.Get(gone.ID)
		require.Equal(t, roster.StateLeft, entry.State, "it has signed off meanwhile")
	}
}

// TestDroppedServiceIsFollowedToItsEnd guards against endpoints that count as silent, or don't count as draining, while they finish the requests
// of a service that the configuration has dropped, and against another writer that uses its name by then.
func TestDroppedServiceIsFollowedToItsEnd(t *testing.T) {
	p := newListing("llm", "plain")
	dropped, listed := engine(0, 1), plainEndpoint("1", 1)
	p.announceNow(dropped)
	p.announceNow(listed)
	p.list("plain")
	foreign := dropped
	foreign.Address, foreign.StartedMs = listed.Address, listed.StartedMs+5000
	p.announceNow(foreign)
	foreign.ID = listed.ID
	p.announceNow(foreign)
	p.requireUsed(t, dropped)
	p.requireUsed(t, listed)
	dropped.Sequence, dropped.State = 50, roster.StateDraining
	p.announceNow(dropped)
	entry, _ := p.roster.Get(dropped.ID)
	require.Equal(t, roster.StateDraining, entry.State)
}

// TestUnlistedAnnouncementsReachOtherHosts announces an endpoint to a host whose configuration is older. It guards against an endpoint that
// is not used although a host that its gateways follow lists its service.
func TestUnlistedAnnouncementsReachOtherHosts(t *testing.T) {
	runCluster(t, 3, func(c *cluster) {
		c.put("1:first")
		time.Sleep(time.Second)
		behind := c.nodes[1]
		behind.list()
		require.NoError(t, behind.Announce(c.t.Context(), engine(0, 1)))
		require.InDelta(t, 1, behind.unlistedCount(), 0)
		time.Sleep(300 * time.Millisecond)
		for _, n := range c.nodes {
			if n != behind {
				n.requireUsed(t, engine(0, 1))
			}
		}
		time.Sleep(2 * forgetAfter)
		require.Zero(t, behind.unlistedCount(), "an endpoint that announces itself no more is forgotten")
	})
}

// TestContradictingAnnouncementIsLeftOut guards against an announcement of another writer for a running endpoint, by its ID and start time, that
// changes what an endpoint can't change while it runs.
func TestContradictingAnnouncementIsLeftOut(t *testing.T) {
	for name, change := range map[string]func(e *roster.Endpoint){
		"service":        func(e *roster.Endpoint) { e.Service = "plain" },
		"address":        func(e *roster.Endpoint) { e.Address = "10.9.0.1:80" },
		"failure domain": func(e *roster.Endpoint) { e.FailureDomain = "b" },
		"engine":         func(e *roster.Endpoint) { e.Engine = false },
	} {
		t.Run(name, func(t *testing.T) {
			p := newListing("llm", "plain")
			own := engine(0, 1)
			own.Member = &roster.Membership{Replica: "r", Epoch: 1, State: roster.MemberOpen}
			p.announceNow(own)
			foreign := own
			foreign.Sequence, foreign.Member = 100, nil
			change(&foreign)
			p.announceNow(foreign)
			p.requireUsed(t, own)
		})
	}
}

// TestDepartureOfAServiceThatIsNotKnownYetIsNotAcknowledged guards against an endpoint that says once that it leaves, to a host that has just
// started and has no configuration yet, and is used by all others after that host is gone.
func TestDepartureOfAServiceThatIsNotKnownYetIsNotAcknowledged(t *testing.T) {
	runCluster(t, 3, func(c *cluster) {
		draining := engine(0, 2)
		draining.State = roster.StateDraining
		c.leader()
		require.NoError(t, c.nodes[0].Announce(c.t.Context(), engine(0, 1)))
		require.True(t, IsErrUnavailable(c.nodes[0].Announce(c.t.Context(), draining)))
		c.put("1:first")
		time.Sleep(time.Second)
		draining.Sequence++
		require.NoError(t, c.nodes[0].Announce(c.t.Context(), draining))
		time.Sleep(time.Second)
		for _, n := range c.nodes {
			require.True(t, n.machine.KeepsDeparture(draining, 1))
		}
	})
}

// TestHostThatStartsAgainKnowsSilentEndpoints guards against an endpoint that is forgotten, though it serves, since it was silent for some
// seconds when a control host started again and was told of it before it had read the configuration.
func TestHostThatStartsAgainKnowsSilentEndpoints(t *testing.T) {
	runCluster(t, 3, func(c *cluster) {
		c.put("1:first")
		time.Sleep(time.Second)
		for i := range 3 {
			require.NoError(t, c.nodes[i].Announce(c.t.Context(), engine(0, uint64(i+1))))
		}
		time.Sleep(30 * time.Second)
		c.stopNode(c.nodes[1])
		c.wipe(c.nodes[1])
		c.start(c.nodes[1], false)
		time.Sleep(catchUp)
		c.nodes[1].mu.Lock()
		defer c.nodes[1].mu.Unlock()
		e, known := c.nodes[1].roster.Get("e0")
		require.True(t, known)
		require.Equal(t, roster.StateReady, e.State)
	})
}
