package balance

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/roster"
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

// TestEvacuatedEndpointsAreNoCapacity guards against forecasts, waits and times to return that count endpoints which get no request.
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

// TestWithdrawalIsKept guards against endpoints that count as warm since the gateway forgets that they got no requests, and against a memory
// that grows with each name that was ever evacuated.
func TestWithdrawalIsKept(t *testing.T) {
	b := inDomains("a", "b")
	require.Equal(t, []EvacuationChange{{Domain: "a", Active: true}}, b.SetEvacuated([]string{"a"}, noon))
	_, known := b.EvacuationWithdrawnAt("a")
	require.False(t, known)
	later := noon.Add(time.Minute)
	require.Equal(t, []EvacuationChange{{Domain: "a", Lasted: time.Minute}, {Domain: "b", Active: true}}, b.SetEvacuated([]string{"b"}, later))
	at, known := b.EvacuationWithdrawnAt("a")
	require.True(t, known)
	require.Equal(t, later, at)
	require.Empty(t, b.SetEvacuated([]string{"b"}, later))
	b.SetEvacuated([]string{"a"}, later)
	_, known = b.EvacuationWithdrawnAt("a")
	require.False(t, known, "it is evacuated again")
	for i := range 100 {
		later = later.Add(withdrawalRetention)
		b.SetEvacuated([]string{strconv.Itoa(i)}, later)
	}
	require.LessOrEqual(t, len(b.evacuations.withdrawnAt), 2)
}
