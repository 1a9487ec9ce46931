package portal

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/control/portalstate"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/fleet/routes"
)

// newListing returns a portal whose configuration lists some services.
func newListing(services ...string) *Portal {
	p := New(Options{Self: "p"})
	p.list(services...)
	return p
}

// list puts a configuration in force that lists some services.
func (p *Portal) list(services ...string) {
	var table routes.Table
	for _, name := range services {
		table.Services = append(table.Services, routes.Service{Name: name})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setTable(table.WithIndex())
}

// TestGatewaysHearOfHeadsOnly guards against updates that grow with engines times gateways: what a member of a replica announces about itself
// goes to no gateway, while every change of an endpoint that gets requests, or got some, does.
func TestGatewaysHearOfHeadsOnly(t *testing.T) {
	p := newListing("llm")
	p.machine = &portalstate.Machine{}
	state := subscriberState{sent: map[string]sentState{}}
	update := func() []string {
		var ids []string
		for _, e := range p.nextUpdate(&state, "g", len(state.sent) == 0).Endpoints {
			ids = append(ids, e.ID)
		}
		return ids
	}
	announce := func(e roster.Endpoint, rank int, memberState roster.MemberState) {
		if memberState != roster.MemberUnknown {
			e.Member = &roster.Membership{Replica: "r", Epoch: 1, Rank: rank, State: memberState}
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.applyAnnouncement(e, time.Now(), true)
	}
	for i := range 3 {
		announce(engine(i, 1), 0, roster.MemberUnknown)
	}
	require.Equal(t, []string{"e0", "e1", "e2"}, update(), "the first update is complete")

	announce(engine(0, 2), 0, roster.MemberJoining)
	announce(engine(1, 2), 1, roster.MemberReady)
	require.Empty(t, update())
	announce(engine(0, 3), 0, roster.MemberOpen)
	require.Equal(t, []string{"e0"}, update())
	announce(engine(0, 4), 0, roster.MemberBroken)
	require.Equal(t, []string{"e0"}, update(), "it is no serving head any more")
	announce(engine(0, 5), 0, roster.MemberUnknown)
	require.Empty(t, update())

	leaving := engine(2, 2)
	leaving.State = roster.StateLeft
	announce(leaving, 0, roster.MemberUnknown)
	require.Equal(t, []string{"e2"}, update())
	plain := engine(3, 1)
	plain.Engine = false
	announce(plain, 0, roster.MemberUnknown)
	require.Equal(t, []string{"e3"}, update())
	added := engine(4, 1)
	announce(added, 0, roster.MemberUnknown)
	require.Empty(t, update(), "a new engine without requests")
	announce(engine(4, 2), 0, roster.MemberOpen)
	require.Equal(t, []string{"e4"}, update())
}

// TestGatewaysHearOfLostEndpoints guards against requests that go to endpoints that control considers dead.
func TestGatewaysHearOfLostEndpoints(t *testing.T) {
	p := newListing("llm")
	plain, head, spare := engine(0, 1), engine(1, 1), engine(2, 1)
	plain.Engine = false
	head.Member = &roster.Membership{Replica: "r", Epoch: 1, State: roster.MemberOpen}
	for _, e := range []roster.Endpoint{plain, head, spare} {
		p.applyAnnouncement(e, time.Now(), true)
		p.health[e.ID] = endpointHealth{dead: true}
	}
	state := subscriberState{sent: map[string]sentState{}}
	require.ElementsMatch(t, []string{"e0", "e1"}, p.nextUpdate(&state, "g", true).Lost)
}
