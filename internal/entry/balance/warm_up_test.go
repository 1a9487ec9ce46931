package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/fleet/routes"
)

// warming returns a balancer of plain endpoints with a warm-up limit, which has received a message of the leader.
func warming(count int) *Balancer {
	b := plain(count)
	b.SetServices([]routes.Service{{Name: "plain", WarmUp: routes.WarmUp{Time: 3 * time.Second, PerSecond: 32}}})
	b.SetGranting(noon)
	b.SetGateways(4, noon)
	return b
}

func place(b *Balancer, now time.Time) Decision {
	d, _ := b.Submit(plainRequest(now), now)
	return d
}

// TestColdEndpointNeedsPermits guards against requests to a cold endpoint without a permit, with one that has expired, or with one that
// another request has used, and against a limit that outlasts the cold time.
func TestColdEndpointNeedsPermits(t *testing.T) {
	b := warming(1)
	require.False(t, place(b, noon).Refused, "it is warm")
	cold := ColdEndpoint{limited("p0"), 3 * time.Second}
	require.True(t, b.SetCold(cold, ColdGrant{}, noon))
	refused := place(b, noon)
	require.True(t, refused.Refused)
	require.Equal(t, 1, refused.Availability.Cold)
	require.False(t, b.SetCold(cold, ColdGrant{Serial: 1, Permits: 2, Age: 100 * time.Millisecond}, noon))
	d := place(b, noon)
	require.False(t, d.Refused)
	require.Equal(t, noon.Add(200*time.Millisecond), d.SendBy)
	b.SetGranting(noon.Add(200 * time.Millisecond))
	require.True(t, place(b, noon.Add(200*time.Millisecond)).Refused)
	require.Equal(t, []UnusedGrant{{limited("p0"), 1, 1}}, b.TakeUnused(noon.Add(200*time.Millisecond)))
	require.Empty(t, b.TakeUnused(noon.Add(200*time.Millisecond)))
	b.SetGranting(noon.Add(3 * time.Second))
	require.False(t, place(b, noon.Add(3*time.Second)).Refused)
}

// TestPermitsOfASuspendedHostAreDropped guards against permits that are used after a suspension in which the clock stopped, and
// against permits of an earlier leader that are returned to the next.
func TestPermitsOfASuspendedHostAreDropped(t *testing.T) {
	b := warming(1)
	cold := ColdEndpoint{limited("p0"), 3 * time.Second}
	b.SetCold(cold, ColdGrant{Serial: 1, Permits: 2}, noon)
	b.DropColdPermits()
	require.True(t, place(b, noon).Refused)
	b.SetCold(cold, ColdGrant{Serial: 2, Permits: 2}, noon)
	b.ForgetGrants()
	require.False(t, place(b, noon).Refused)
	require.Empty(t, b.TakeUnused(noon.Add(time.Second)))
}

// TestFailedConnectionsMakeAnEndpointCold guards against an endpoint whose restart control has not detected and that gets the load of a
// warm one, and against a gateway that doesn't report it.
func TestFailedConnectionsMakeAnEndpointCold(t *testing.T) {
	failed := func(r Result) func(b *Balancer) {
		return func(b *Balancer) {
			b.RequestSent("p0", plainRequest(noon), noon)
			b.RequestEnded("p0", plainRequest(noon), false, r, noon)
		}
	}
	for _, fail := range []func(b *Balancer){
		failed(ResultConnectionRefused), failed(ResultUnreachable), func(b *Balancer) { b.MarkEnded(limited("p0"), noon) },
	} {
		b := warming(1)
		fail(b)
		require.Len(t, b.TakeCold(false, noon), 1)
		require.Empty(t, b.TakeCold(false, noon))
		back := noon.Add(5 * time.Second)
		require.Empty(t, b.TakeCold(true, back), "its time has ended")
		b.SetGranting(back)
		b.DataReceived("p0", back)
		require.Equal(t, []ColdEndpoint{{limited("p0"), 3 * time.Second}}, b.TakeCold(false, back))
		b.DataReceived("p0", back.Add(time.Second))
		require.Empty(t, b.TakeCold(false, back.Add(time.Second)), "it has returned once")
	}
}

// TestWithdrawalMakesADomainCold guards against a domain that gets its full load at once when its evacuation is withdrawn.
func TestWithdrawalMakesADomainCold(t *testing.T) {
	b := warming(1)
	domain := b.endpoints["p0"].FailureDomain
	b.markDomainCold("other", noon)
	require.False(t, place(b, noon).Refused)
	b.markDomainCold(domain, noon)
	require.True(t, place(b, noon).Refused)
	require.Empty(t, b.TakeCold(false, noon), "control knows")
}

// TestServicesWithoutWarmUpHaveNoColdEndpoints guards against a limit for services that have none, whatever the source of a cold
// time.
func TestServicesWithoutWarmUpHaveNoColdEndpoints(t *testing.T) {
	b := plain(1)
	b.SetGranting(noon)
	id := limited("p0")
	b.AssumeCold(id, noon)
	b.markDomainCold(b.endpoints["p0"].FailureDomain, noon)
	require.False(t, b.HearCold(id, time.Second, noon))
	require.False(t, b.SetCold(ColdEndpoint{id, time.Second}, ColdGrant{}, noon))
	b.RequestSent("p0", plainRequest(noon), noon)
	b.RequestEnded("p0", plainRequest(noon), false, ResultConnectionRefused, noon)
	b.DataReceived("p0", noon)
	require.Empty(t, b.TakeCold(true, noon))
	require.False(t, place(b, noon.Add(time.Second)).Refused)
}

// TestEndpointSaysHowLongItIsCold guards against a time in a response that is ignored, or that shortens the one that is known, and
// against a line in the log for each response.
func TestEndpointSaysHowLongItIsCold(t *testing.T) {
	b := warming(1)
	require.True(t, b.HearCold(limited("p0"), 5*time.Second, noon))
	require.False(t, b.HearCold(limited("p0"), 4*time.Second, noon.Add(time.Second)), "the same end")
	require.False(t, b.HearCold(limited("p0"), 0, noon.Add(time.Second)))
	require.False(t, b.HearCold(roster.Incarnation{ID: "p0", StartedMs: 9}, 5*time.Second, noon), "another incarnation")
	require.Equal(t, []ColdEndpoint{{limited("p0"), 4 * time.Second}}, b.TakeCold(false, noon.Add(time.Second)))
}

// TestLeaderEndsColdTime guards against an endpoint that stays limited without permits once the leader, which has named all cold
// endpoints, no longer considers it cold, and against a gateway that drops what it has found itself.
func TestLeaderEndsColdTime(t *testing.T) {
	b := warming(1)
	b.SetCold(ColdEndpoint{limited("p0"), time.Minute}, ColdGrant{}, noon)
	b.KeepCold(map[string]bool{"p0": true})
	require.True(t, place(b, noon).Refused)
	b.KeepCold(nil)
	require.False(t, place(b, noon).Refused)
	b.AssumeCold(limited("p0"), noon)
	b.KeepCold(nil)
	require.True(t, place(b, noon).Refused)
}

// TestFirstTimesOfAColdEndpointWeighMore guards against forecasts that reflect the slowness of an endpoint which has just started
// only after many requests.
func TestFirstTimesOfAColdEndpointWeighMore(t *testing.T) {
	b := warming(1)
	b.SetCold(ColdEndpoint{limited("p0"), 3 * time.Second}, ColdGrant{}, noon)
	b.FirstEventReceived("p0", plainRequest(noon), 100*time.Millisecond, 300*time.Millisecond, noon)
	require.InDelta(t, 3, b.endpoints["p0"].currentSlowdown(noon), 0.01)
	warm := warming(1)
	warm.FirstEventReceived("p0", plainRequest(noon), 100*time.Millisecond, 300*time.Millisecond, noon)
	require.InDelta(t, 1.4, warm.endpoints["p0"].currentSlowdown(noon), 0.01)
}

// TestRefusedRequestsReturnWhenTheEndpointIsWarm guards against callers that get a Retry-After of many seconds because of a limit that ends
// sooner, and against a return of all of them at its end.
func TestRefusedRequestsReturnWhenTheEndpointIsWarm(t *testing.T) {
	b := warming(1)
	b.SetCold(ColdEndpoint{limited("p0"), 2 * time.Second}, ColdGrant{}, noon)
	last := time.Duration(0)
	for range 20 {
		d := place(b, noon)
		require.True(t, d.Refused)
		require.Greater(t, d.RetryAfter, last, "one after the other")
		last = d.RetryAfter
	}
	require.Greater(t, last, 2*time.Second)
	require.Less(t, last, 3*time.Second, "20 requests at half of a quarter of 32 a second take 5 s")
}
