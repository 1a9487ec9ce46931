package balance

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/fleet/routes"
)

// inDomains returns a balancer with a plain endpoint in each of some failure domains, whose names are the endpoints' IDs.
func inDomains(domains ...string) *Balancer {
	b := &Balancer{FailureDomain: domains[0], Gateways: 1}
	var endpoints []roster.Endpoint
	for _, d := range domains {
		endpoints = append(endpoints, roster.Endpoint{ID: d, Service: "plain", FailureDomain: d, Slots: 6, StartedMs: 1})
	}
	b.UpdateEndpoints(endpoints)
	return b
}

// TestEvacuatedEndpointsAreNoCapacity guards against forecasts, waits and Retry-After values that count endpoints which get no
// request.
func TestEvacuatedEndpointsAreNoCapacity(t *testing.T) {
	b := inDomains("a", "b")
	req := Request{Service: "plain", ArrivedAt: noon, WaitUntil: noon.Add(time.Second)}
	b.SetEvacuated([]string{"a"}, noon)
	b.MarkBusy("b", 1, 10*time.Second, noon)
	require.False(t, b.anyServesBy(req, req.WaitUntil, noon))
	d, w := b.Submit(req, noon)
	require.Nil(t, w)
	require.True(t, d.Refused)
	require.Equal(t, 10*time.Second, d.RetryAfter, "that of b")
	require.Equal(t, Availability{Serving: 2, Busy: 1, Evacuated: 1}, d.Availability)

	b = inDomains("a", "b")
	b.SetEvacuated([]string{"a"}, noon)
	b.HearLimit(roster.Incarnation{ID: "b", StartedMs: 1}, 2, noon, noon)
	_, limited := b.limitedShare(req, noon)
	require.True(t, limited, "the endpoint without a limit is evacuated")
}

// TestEvacuationRefusesAtOnce guards against a request that waits for endpoints which can't get it, whatever their state.
func TestEvacuationRefusesAtOnce(t *testing.T) {
	for state, change := range map[string]func(b *Balancer){
		"idle": func(*Balancer) {}, "busy": func(b *Balancer) { b.MarkBusy("a", 1, time.Millisecond, noon) },
		"banned": func(b *Balancer) { b.endpoints["a"].ban(noon) }, "leaving": func(b *Balancer) { b.MarkLeaving("a", 1) },
		"full": func(b *Balancer) { b.endpoints["a"].inflight = 100 },
	} {
		b := inDomains("a", "b")
		change(b)
		b.SetEvacuated([]string{"a", "b"}, noon)
		d, w := b.Submit(Request{Service: "plain", ArrivedAt: noon, WaitUntil: noon.Add(time.Second), Resumed: state == "full"}, noon)
		require.Nil(t, w, state)
		require.Equal(t, reasonEvacuated, d.Reason, state)
	}
	b := inDomains("a")
	b.endpoints["a"].inflight = 100
	_, w := b.Submit(Request{Service: "plain", ArrivedAt: noon, WaitUntil: noon.Add(time.Second)}, noon)
	require.NotNil(t, w)
	b.SetEvacuated([]string{"a"}, noon)
	b.ProcessQueue(noon)
	require.Len(t, w.Decided, 1)
	require.Equal(t, reasonEvacuated, (<-w.Decided).Reason)
	require.Zero(t, b.Waiting())
}

// TestEndpointsAreColdAfterAWithdrawal guards against endpoints that get their full load at once although they got no requests for a
// while, and against memory that grows with each domain that was ever evacuated.
func TestEndpointsAreColdAfterAWithdrawal(t *testing.T) {
	b := inDomains("a", "b")
	b.SetServices([]routes.Service{{Name: "plain", WarmUp: routes.WarmUp{Time: 3 * time.Second, PerSecond: 32}}})
	require.Equal(t, []EvacuationChange{{Domain: "a", Active: true}}, b.SetEvacuated([]string{"a"}, noon))
	later := noon.Add(time.Minute)
	require.Equal(t, []EvacuationChange{{Domain: "a", Lasted: time.Minute}, {Domain: "b", Active: true}}, b.SetEvacuated([]string{"b"}, later))
	require.True(t, later.Add(3*time.Second-1).Before(b.endpoints["a"].warm.until()))
	require.False(t, later.Add(3*time.Second).Before(b.endpoints["a"].warm.until()))
	require.Empty(t, b.SetEvacuated([]string{"b"}, later))
	for i := range 100 {
		b.SetEvacuated([]string{strconv.Itoa(i)}, later)
	}
	require.Len(t, b.evacuations.since, 1)
}
