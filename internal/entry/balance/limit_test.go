package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/roster"
)

func limited(id string) roster.Incarnation { return roster.Incarnation{ID: id, StartedMs: 1} }

func plainRequest(now time.Time) Request {
	return Request{Service: "plain", ArrivedAt: now, Objective: 300 * time.Millisecond, ObjectiveDeadline: now.Add(300 * time.Millisecond), WaitUntil: now}
}

// TestLateAnswerEndsNoLimit guards against a limit that ends because an answer to an earlier request, which
// names none, arrives after it, and against one that outlasts the answer that ends it.
func TestLateAnswerEndsNoLimit(t *testing.T) {
	b := plain(1)
	require.False(t, b.HearLimit(limited("p0"), 0, noon, noon), "no limit yet")
	require.True(t, b.HearLimit(limited("p0"), 5, noon, noon.Add(time.Second)))
	require.False(t, b.HearLimit(limited("p0"), 5, noon, noon.Add(time.Second)))
	require.False(t, b.HearLimit(limited("p0"), 0, noon.Add(500*time.Millisecond), noon.Add(2*time.Second)), "sent before the limit was received")
	require.True(t, b.HasLimits())
	require.True(t, b.HearLimit(limited("p0"), 0, noon.Add(1500*time.Millisecond), noon.Add(2*time.Second)))
	require.False(t, b.HasLimits())
	require.False(t, b.HearLimit(roster.Incarnation{ID: "p0", StartedMs: 2}, 5, noon, noon), "another incarnation")
}

// TestPermitsAreUsedOnce guards against a permit that admits two requests or never expires, and against one
// that is lost: expired permits must be reported to control.
func TestPermitsAreUsedOnce(t *testing.T) {
	b := plain(1)
	b.SetGranting(noon)
	b.HearLimit(limited("p0"), 5, noon, noon)
	b.TakeLimits(false, noon)
	placed := func(now time.Time) bool {
		b.SetGranting(now)
		d, _ := b.Submit(plainRequest(now), now)
		return !d.Refused
	}
	require.False(t, placed(noon))
	heard := EndpointLimit{Endpoint: limited("p0"), PerSecond: 5, HeardAt: noon}
	b.SetLimit(heard, 2, noon)
	require.True(t, placed(noon))
	require.True(t, placed(noon))
	require.False(t, placed(noon))
	b.SetLimit(heard, 3, noon)
	require.True(t, placed(noon.Add(permitTime-time.Millisecond)))
	require.False(t, placed(noon.Add(permitTime)))
	limits := b.TakeLimits(false, noon.Add(permitTime))
	require.Len(t, limits, 1)
	require.Equal(t, 2, limits[0].Unused)
	require.Empty(t, b.TakeLimits(false, noon.Add(permitTime)))
}

// TestGatewayWithoutControlUsesItsShare guards against a gateway that sends nothing to limited endpoints while
// no message of control arrives, and against one that sends more than it was granted before.
func TestGatewayWithoutControlUsesItsShare(t *testing.T) {
	b := plain(1)
	b.Gateways = 4
	b.HearLimit(limited("p0"), 20, noon, noon)
	now := noon
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		b.SetGranting(now)
		b.SetLimit(EndpointLimit{Endpoint: limited("p0"), PerSecond: 20, HeardAt: noon}, 1, now)
		d, _ := b.Submit(plainRequest(now), now)
		require.False(t, d.Refused)
		b.RequestEnded("p0", plainRequest(now), false, ResultSuccess, now)
	}
	placed := 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if d, _ := b.Submit(plainRequest(now), now); !d.Refused {
			placed++
			b.RequestEnded("p0", plainRequest(now), false, ResultSuccess, now)
		}
	}
	require.LessOrEqual(t, placed, 100, "ten a second before, for ten seconds")
	require.GreaterOrEqual(t, placed, 50)
}

// TestUnlimitedEndpointTakesWhatLimitsLeave guards against a request that is refused or waits for a limit
// although another endpoint has room.
func TestUnlimitedEndpointTakesWhatLimitsLeave(t *testing.T) {
	b := plain(2)
	b.SetGranting(noon)
	b.HearLimit(limited("p0"), 1, noon, noon)
	for range 6 {
		d, w := b.Submit(plainRequest(noon), noon)
		require.Nil(t, w)
		require.Equal(t, "p1", d.Endpoint.ID)
		require.Equal(t, 1, d.Avoided)
	}
}

// TestRequestsBeyondTheLimitsAreRefusedAtOnce guards against requests that wait although the limits leave no
// capacity for them, and against refused requests that all get the same return time.
func TestRequestsBeyondTheLimitsAreRefusedAtOnce(t *testing.T) {
	b := plain(2)
	b.SetGranting(noon)
	b.Gateways = 1
	for _, id := range []string{"p0", "p1"} {
		b.HearLimit(limited(id), 4, noon, noon)
	}
	waiting, last := 0, time.Duration(0)
	for range 20 {
		req := plainRequest(noon)
		req.WaitUntil = noon.Add(500 * time.Millisecond)
		d, w := b.Submit(req, noon)
		if w != nil {
			waiting++
			continue
		}
		require.True(t, d.Refused)
		require.Equal(t, reasonLimited, d.Reason)
		require.Greater(t, d.RetryAfter, last, "one after the other")
		last = d.RetryAfter
	}
	require.LessOrEqual(t, waiting, 4, "half a second at half of eight a second")
	require.Greater(t, last, 3*time.Second, "sixteen requests at half of eight a second")
}

// TestWaveringLimitIsToldOnce guards against a log line and an update for each answer of an endpoint that names
// another limit each time.
func TestWaveringLimitIsToldOnce(t *testing.T) {
	b := plain(1)
	told := 0
	for i := range 100 {
		if b.HearLimit(limited("p0"), 10+float64(i%5)/10, noon, noon) {
			told++
		}
	}
	require.Equal(t, 1, told)
	require.True(t, b.HearLimit(limited("p0"), 5, noon, noon))
}
