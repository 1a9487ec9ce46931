package hedge

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// base is when the tests begin.
var base = time.Unix(1000, 0)

func key(endpoint int) Key { return Key{Endpoint: fmt.Sprint("e", endpoint), Service: "s"} }

// observed returns response times from 1 to 100 times unit at each endpoint.
func observed(unit time.Duration, endpoints ...int) *Times {
	var t Times
	for i := 1; i <= 100; i++ {
		for _, e := range endpoints {
			t.Observe(key(e), 0, time.Duration(i)*unit, base)
		}
	}
	return &t
}

// TestDelayFollowsTheQuantile guards against a constant delay, and against one that is below the quantile, so that more requests are
// hedged than the operator has configured.
func TestDelayFollowsTheQuantile(t *testing.T) {
	for _, unit := range []time.Duration{time.Millisecond, 10 * time.Millisecond} {
		for _, q := range []float64{0.5, 0.9, 0.95, 0.99} {
			delay, reason := Settings{Share: 1, Quantile: q}.Delay(observed(unit, 1, 2), Attempt{Key: key(1), Remaining: time.Minute})
			require.Equal(t, ReasonNone, reason)
			exact := q * 100 * float64(unit)
			require.GreaterOrEqual(t, float64(delay), exact*0.97, "decay moves it a little")
			require.LessOrEqual(t, float64(delay), exact*1.25)
		}
	}
}

// TestDelayIsNotBelowTheForecast guards against a hedge of a request whose engine is as fast as expected.
func TestDelayIsNotBelowTheForecast(t *testing.T) {
	var times Times
	for range 100 {
		times.Observe(key(1), time.Second, 100*time.Millisecond, base)
	}
	delay, reason := Settings{Share: 1}.Delay(&times, Attempt{Key: key(1), Forecast: time.Second, Remaining: time.Minute})
	require.Equal(t, ReasonNone, reason)
	require.Equal(t, time.Second, delay)
}

// TestReasonsOfNoDelay guards against hedges that are disabled, have no measurement as a basis, or are too late for the caller.
func TestReasonsOfNoDelay(t *testing.T) {
	on := Settings{Share: 0.1}
	attempt := Attempt{Key: key(1), Remaining: time.Minute}
	_, reason := Settings{}.Delay(observed(time.Millisecond, 1), attempt)
	require.Equal(t, ReasonOff, reason)
	_, reason = on.Delay(&Times{}, attempt)
	require.Equal(t, ReasonUnknown, reason)
	attempt.Remaining = 120 * time.Millisecond
	_, reason = on.Delay(observed(time.Millisecond, 1), attempt)
	require.Equal(t, ReasonDeadline, reason)
}

// TestDecisionByState guards against a hedge before its time, and against one that a single condition forbids.
func TestDecisionByState(t *testing.T) {
	good := State{Allowed: true, Elapsed: 20, Delay: 10, Budget: true, Room: true}
	require.Equal(t, Decision{Now: true}, Decide(good))
	early, held, short, poor, full := good, good, good, good, good
	early.Elapsed = 4
	require.Equal(t, Decision{Wait: 6}, Decide(early))
	held.Allowed, short.Short, poor.Budget, full.Room = false, true, false, false
	require.Equal(t, Decision{Reason: ReasonNotAllowed}, Decide(held))
	require.Equal(t, Decision{Reason: ReasonShort}, Decide(short))
	require.Equal(t, Decision{Reason: ReasonBudget}, Decide(poor))
	require.Equal(t, Decision{Reason: ReasonNoRoom}, Decide(full))
}

// TestSlowEndpointIsJudgedByTheOthers guards against an endpoint that is always slow and whose requests therefore are never hedged.
func TestSlowEndpointIsJudgedByTheOthers(t *testing.T) {
	times := observed(time.Millisecond, 1, 2, 3, 4)
	for range 100 {
		times.Observe(key(5), 0, 2*time.Second, base)
	}
	delay, reason := Settings{Share: 1}.Delay(times, Attempt{Key: key(5), Remaining: time.Minute})
	require.Equal(t, ReasonNone, reason)
	require.Less(t, delay, 400*time.Millisecond)
}

// TestCancelledAttemptsCount guards against a quantile that decreases because the slowest attempts are cancelled before they end, and
// against one that decreases because hedges are cancelled soon after their start.
func TestCancelledAttemptsCount(t *testing.T) {
	times := observed(time.Millisecond, 1)
	before, _ := Settings{Share: 1}.Delay(times, Attempt{Key: key(1), Remaining: time.Minute})
	for range 400 {
		times.ObserveAtLeast(key(1), 0, time.Millisecond, base)
	}
	after, _ := Settings{Share: 1}.Delay(times, Attempt{Key: key(1), Remaining: time.Minute})
	require.Equal(t, before, after)
	for range 100 {
		times.ObserveAtLeast(key(1), 0, 400*time.Millisecond, base)
	}
	after, _ = Settings{Share: 1}.Delay(times, Attempt{Key: key(1), Remaining: time.Minute})
	require.Greater(t, after, before)
}

// TestTimesAreBoundedAndForgotten guards against memory that grows with the endpoints, and against old times that outweigh new ones.
func TestTimesAreBoundedAndForgotten(t *testing.T) {
	times := observed(10*time.Millisecond, 1)
	for i := range 3 * maxKeys {
		times.Observe(key(i), 0, time.Millisecond, base.Add(time.Duration(i)))
		require.LessOrEqual(t, len(times.byKey), maxKeys)
	}
	times = observed(10*time.Millisecond, 1)
	for i := range 100 {
		times.Observe(key(1), 0, time.Millisecond, base.Add(5*decayTime+time.Duration(i)))
	}
	delay, _ := Settings{Share: 1}.Delay(times, Attempt{Key: key(1), Remaining: time.Minute})
	require.Equal(t, minDelay, delay)
}

// TestBudgetKeepsTheShareAtAnyTime guards against extra requests above the share, summed over gateways that start at any time.
func TestBudgetKeepsTheShareAtAnyTime(t *testing.T) {
	for _, gateways := range []int{5, 20, 47} {
		budgets := make([]Budget, gateways)
		requests, hedges := 0, 0
		for i := range 20000 {
			b := &budgets[i*i%gateways]
			b.AddRequest(0.02, gateways)
			requests++
			if i%3 == 0 && b.Take() {
				hedges++
			}
			require.LessOrEqual(t, float64(hedges), 0.02*float64(requests))
		}
		require.Greater(t, hedges, 0)
	}
}
