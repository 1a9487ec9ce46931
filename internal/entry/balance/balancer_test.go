package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/entry/dialect"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/fleet/routes"
)

var noon = time.Unix(1_000_000, 0)

func engine() *routes.Engine {
	return &routes.Engine{
		Slots: 48, StepTime: 6450 * time.Microsecond, StepTimePerRequest: 97 * time.Microsecond, PrefillRate: 56100, PrefillChunk: 2048, StepsPerRound: 5,
		MeanPromptTokens: 1042, MeanOutputTokens: 131,
		Models: []routes.Model{{Name: "m", Size: 6, TimeFactor: 1}, {Name: "quick", Size: 3, TimeFactor: 0.6}},
	}
}

// heads returns a balancer with n serving heads of model m in one failure domain.
func heads(n int) *Balancer {
	b := &Balancer{FailureDomain: "a", Gateways: 1}
	b.SetServices([]routes.Service{{Name: "llm", Engine: engine()}, {Name: "plain"}})
	for i := range n {
		b.UpdateEndpoints([]roster.Endpoint{{
			ID: fmt.Sprint("h", i), Service: "llm", FailureDomain: "a", Slots: 48, Engine: true, Model: "m", StartedMs: 1,
			Member: &roster.Membership{Replica: fmt.Sprint("r", i), State: roster.MemberOpen},
		}})
	}
	return b
}

// plain returns a balancer with n plain endpoints in one failure domain.
func plain(n int) *Balancer {
	b := &Balancer{FailureDomain: "a", Gateways: 1}
	b.SetServices([]routes.Service{{Name: "plain"}})
	for i := range n {
		b.UpdateEndpoints([]roster.Endpoint{{ID: fmt.Sprint("p", i), Service: "plain", FailureDomain: "a", Slots: 6, StartedMs: 1}})
	}
	return b
}

func newRequest(prompt int, now time.Time) Request {
	return Request{
		Service: "llm", Model: "m", PromptTokens: prompt, Objective: 400 * time.Millisecond, ObjectiveDeadline: now.Add(400 * time.Millisecond),
		ArrivedAt: now, WaitUntil: now.Add(140 * time.Millisecond),
	}
}

// TestBurstIsRefusedAtOnceOrWaitsBriefly sends far more requests at once than two heads can
// serve in time. The forecast of each placed request is within its objective, the others are
// refused by the end of their wait, and no request is placed ahead of waiting ones.
func TestBurstIsRefusedAtOnceOrWaitsBriefly(t *testing.T) {
	b := heads(2)
	placed, waiting := 0, []*Waiter{}
	for range 100 {
		d, w := b.Submit(newRequest(1000, noon), noon)
		switch {
		case w != nil:
			waiting = append(waiting, w)
		case d.Refused:
			require.Positive(t, d.RetryAfter)
		default:
			require.Empty(t, waiting, "a request was placed ahead of waiting ones")
			require.Less(t, d.Forecast, 400*time.Millisecond)
			placed++
		}
	}
	require.Greater(t, placed, 4)
	require.Less(t, placed, 40)
	b.ProcessQueue(noon.Add(140 * time.Millisecond))
	for _, w := range waiting {
		d := <-w.Decided
		require.True(t, d.Refused)
		require.GreaterOrEqual(t, d.RetryAfter, minRetryAfter)
		require.Positive(t, d.Availability.Serving)
	}
	require.Zero(t, b.Waiting())
}

// TestLargePromptsAreNotStarvedBySmallOnes submits large and small prompts at random under
// overload. The share of large ones that is placed must exceed half that of the small ones.
func TestLargePromptsAreNotStarvedBySmallOnes(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	b := heads(3)
	type running struct {
		id         string
		req        Request
		firstEvent time.Time
		end        time.Time
	}
	var inFlight []running
	placed, submitted := map[int]int{}, map[int]int{}
	for tick := range 4000 {
		now := noon.Add(time.Duration(tick) * 10 * time.Millisecond)
		kept := inFlight[:0]
		for _, r := range inFlight {
			if !r.firstEvent.IsZero() && !now.Before(r.firstEvent) {
				b.FirstEventReceived(r.id, r.req, 300*time.Millisecond, 300*time.Millisecond, now)
				r.firstEvent = time.Time{}
			}
			b.DataReceived(r.id, now)
			if now.Before(r.end) {
				kept = append(kept, r)
				continue
			}
			b.RequestEnded(r.id, r.req, true, ResultSuccess, now)
		}
		inFlight = kept
		for range 2 {
			prompt := []int{300, 5000}[rng.IntN(2)]
			req := newRequest(prompt, now)
			req.WaitUntil = now
			submitted[prompt]++
			d, _ := b.Submit(req, now)
			if d.Refused {
				continue
			}
			placed[prompt]++
			firstEvent := now.Add(time.Duration(100+prompt/20) * time.Millisecond)
			inFlight = append(inFlight, running{d.Endpoint.ID, req, firstEvent, firstEvent.Add(time.Second)})
		}
	}
	small := float64(placed[300]) / float64(submitted[300])
	large := float64(placed[5000]) / float64(submitted[5000])
	require.Less(t, small, 0.9, "the load must be an overload")
	require.Greater(t, large, small/2)
}

// TestLateRequestsGetOnlySpareCapacity submits requests whose objective has passed already, as
// those of callers that retry. An engine accepts them while it is idle, but not where they
// would make another request late.
func TestLateRequestsGetOnlySpareCapacity(t *testing.T) {
	b := heads(1)
	late := newRequest(1000, noon)
	late.ObjectiveDeadline = noon.Add(-time.Second)
	late.WaitUntil = noon
	d, _ := b.Submit(late, noon)
	require.False(t, d.Refused)
	accepted := 0
	for range 20 {
		if d, _ := b.Submit(late, noon); !d.Refused {
			accepted++
		}
	}
	require.Less(t, accepted, 20)
	d, w := b.Submit(newRequest(1000, noon), noon)
	require.Nil(t, w)
	require.False(t, d.Refused, "there must be capacity for a request in time")
	require.Less(t, d.Forecast, 400*time.Millisecond)
}

func TestResumedStreamIsQueuedBeforeNewRequests(t *testing.T) {
	b := heads(1)
	b.SetLoad("h0", dialect.Load{Running: 60, Slots: 48}, noon)
	d, w1 := b.Submit(newRequest(100, noon), noon)
	require.NotNil(t, w1, "%v", d)
	resumed := newRequest(100, noon.Add(time.Millisecond))
	resumed.Resumed = true
	_, w2 := b.Submit(resumed, noon)
	require.NotNil(t, w2)
	require.Equal(t, []*Waiter{w2, w1}, b.queue)
	b.SetLoad("h0", dialect.Load{Running: 10, Slots: 48}, noon)
	b.ProcessQueue(noon)
	require.Equal(t, "h0", (<-w2.Decided).Endpoint.ID)
}

func TestQueueIsOrderedByPriorityThenArrival(t *testing.T) {
	b := heads(1)
	b.SetLoad("h0", dialect.Load{Running: 60, Slots: 48}, noon)
	var order []*Waiter
	for i, priority := range []int{2, 1, 2, 0} {
		req := newRequest(100, noon.Add(time.Duration(i)*time.Millisecond))
		req.Priority = priority
		_, w := b.Submit(req, noon)
		order = append(order, w)
	}
	require.Equal(t, []*Waiter{order[3], order[1], order[0], order[2]}, b.queue)
}

// TestStalledHeadGetsNoRequests stops the data of one of two heads with open streams, as
// happens when a replica loses a member.
func TestStalledHeadGetsNoRequests(t *testing.T) {
	b := heads(2)
	req := newRequest(100, noon)
	for _, id := range []string{"h0", "h1"} {
		b.RequestSent(id, req, noon)
		b.FirstEventReceived(id, req, 100*time.Millisecond, 100*time.Millisecond, noon)
	}
	later := noon.Add(500 * time.Millisecond)
	b.DataReceived("h1", later)
	_, stalled := b.Stalled("h0", later)
	require.True(t, stalled)
	for range 5 {
		d, _ := b.Submit(newRequest(100, later), later)
		require.Equal(t, "h1", d.Endpoint.ID)
	}
	b.DataReceived("h0", later)
	d, _ := b.Submit(newRequest(100, later), later)
	require.Equal(t, "h0", d.Endpoint.ID)
}

// TestSlowEngineIsTriedAgainLater guards against an engine that is never measured again,
// because it was slow once and has got no requests since.
func TestSlowEngineIsTriedAgainLater(t *testing.T) {
	b := heads(1)
	req := newRequest(1000, noon)
	for range 20 {
		b.RequestSent("h0", req, noon)
		b.FirstEventReceived("h0", req, 200*time.Millisecond, 2*time.Second, noon)
		b.RequestEnded("h0", req, true, ResultSuccess, noon)
	}
	d, w := b.Submit(req, noon)
	require.True(t, w != nil || d.Refused)
	later := noon.Add(slowdownTTL + time.Second)
	req = newRequest(1000, later)
	d, _ = b.Submit(req, later)
	require.Equal(t, "h0", d.Endpoint.ID)
}

// TestFailingEndpointGetsFewRequests lets one of three plain endpoints, which announces itself
// as ready, fail half of its requests.
func TestFailingEndpointGetsFewRequests(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	b := plain(3)
	run := func(requests int, failing bool) map[string]int {
		sent := map[string]int{}
		for range requests {
			d, _ := b.Submit(Request{Service: "plain", ArrivedAt: noon, WaitUntil: noon}, noon)
			require.False(t, d.Refused)
			sent[d.Endpoint.ID]++
			result := ResultSuccess
			if failing && d.Endpoint.ID == "p0" && rng.Float64() < 0.5 {
				result = ResultServerError
			}
			b.RequestEnded(d.Endpoint.ID, Request{Service: "plain"}, false, result, noon)
		}
		return sent
	}
	require.Less(t, run(600, true)["p0"], 60)
}

func TestBanDoublesWithEachFailureInARow(t *testing.T) {
	b := plain(1)
	now := noon
	for _, ban := range []time.Duration{minBan, 2 * minBan, 4 * minBan} {
		b.RequestSent("p0", Request{Service: "plain"}, now)
		b.RequestEnded("p0", Request{Service: "plain"}, false, ResultUnreachable, now)
		picked, _ := b.pick(Request{Service: "plain"}, now.Add(ban-time.Millisecond))
		require.Nil(t, picked)
		now = now.Add(ban)
		picked, _ = b.pick(Request{Service: "plain"}, now)
		require.NotNil(t, picked)
	}
}

func TestDrainingAndLeftEndpointsGetNoRequests(t *testing.T) {
	for _, state := range []roster.State{roster.StateDraining, roster.StateLeft} {
		b := plain(1)
		b.UpdateEndpoints([]roster.Endpoint{{ID: "p0", Service: "plain", Slots: 6, StartedMs: 1, State: state}})
		d, w := b.Submit(Request{Service: "plain", ArrivedAt: noon, WaitUntil: noon.Add(time.Second)}, noon)
		require.Nil(t, w, "a request must not wait for an endpoint that leaves")
		require.True(t, d.Refused)
	}
}

func TestCancelReturnsADecisionThatCameFirst(t *testing.T) {
	b := plain(1)
	req := Request{Service: "plain", ArrivedAt: noon, WaitUntil: noon.Add(time.Second)}
	for range 12 {
		d, _ := b.Submit(req, noon)
		require.False(t, d.Refused)
	}
	_, w := b.Submit(req, noon)
	require.NotNil(t, w)
	_, placed := b.Cancel(w)
	require.False(t, placed)
	_, w = b.Submit(req, noon)
	b.RequestEnded("p0", req, false, ResultSuccess, noon)
	b.ProcessQueue(noon)
	d, placed := b.Cancel(w)
	require.True(t, placed, "the decision came first")
	require.Equal(t, "p0", d.Endpoint.ID)
}

// TestRetriesOfAllGatewaysStayWithinTheLimit simulates gateways with uneven load that retry
// whenever they may. The limit must hold in every window that begins with a retry.
func TestRetriesOfAllGatewaysStayWithinTheLimit(t *testing.T) {
	const ratio, burst, window = 0.2, 200.0, 10 * time.Second
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 3))
		gateways := 2 + rng.IntN(14)
		budgets := make([]RetryBudget, gateways)
		for i := range budgets {
			budgets[i] = RetryBudget{Ratio: ratio * 0.85, Burst: burst / float64(gateways) * 0.55, Window: window}
		}
		var requests, retries []time.Duration
		for at := time.Duration(0); at < 40*time.Second; at += 10 * time.Millisecond {
			i := rng.IntN(rng.IntN(gateways) + 1)
			budgets[i].AddRequest(noon.Add(at))
			requests = append(requests, at)
			for j := range budgets {
				if at > 12*time.Second && budgets[j].TryRetry(noon.Add(at)) {
					retries = append(retries, at)
				}
			}
		}
		for _, begin := range retries {
			require.LessOrEqual(t, countWithin(retries, begin, window), ratio*countWithin(requests, begin, window)+burst, "seed %d", seed)
		}
	}
}

// countWithin counts the times in the window from begin.
func countWithin(times []time.Duration, begin, window time.Duration) float64 {
	n := 0.0
	for _, at := range times {
		if at >= begin && at < begin+window {
			n++
		}
	}
	return n
}

// TestEngineTimeMatchesTheRoundsOfAnEngine compares the engine time of two mixes with what an
// engine does in a round. A mix bound by prefill depends on the prefill chunks, one of long
// outputs on the slots.
func TestEngineTimeMatchesTheRoundsOfAnEngine(t *testing.T) {
	e := engine()
	prefillBound := EngineTime(e, "m", dialect.Usage{PromptTokens: 1620, MaxOutputTokens: 102})
	decoding := 2048.0 * 102 / (1620 * 5)
	round := 2048/56100.0 + 5*(0.00645+decoding*0.000097)
	require.InDelta(t, round*1620/2048, prefillBound.Seconds(), 0.001)
	longOutput := EngineTime(e, "m", dialect.Usage{PromptTokens: 10, MaxOutputTokens: 1000})
	maxDecoding := 48 * maxDecodingShare
	require.InDelta(t, 1000*(0.00645+maxDecoding*0.000097)/maxDecoding, longOutput.Seconds(), 0.001)
	require.InDelta(t, 0.6*prefillBound.Seconds(), EngineTime(e, "quick", dialect.Usage{PromptTokens: 1620, MaxOutputTokens: 102}).Seconds(), 0.001)
	require.Zero(t, EngineTime(e, "unknown", dialect.Usage{PromptTokens: 1, MaxOutputTokens: 1}))
	require.Zero(t, EngineTime(nil, "m", dialect.Usage{PromptTokens: 1, MaxOutputTokens: 1}))
}

// TestFailuresOfOneMomentCountAsOne guards against a long loss of capacity after a short silence,
// during which all requests of an endpoint fail together.
func TestFailuresOfOneMomentCountAsOne(t *testing.T) {
	b := heads(1)
	for range 8 {
		b.RequestSent("h0", newRequest(10, noon), noon)
	}
	for range 8 {
		b.RequestEnded("h0", newRequest(10, noon), false, ResultStalled, noon)
	}
	picked, _ := b.pick(newRequest(10, noon.Add(minBan)), noon.Add(minBan))
	require.NotNil(t, picked)
}

// TestFailureOfALostEndpointCounts guards against a failure that is ignored because control considers the
// endpoint lost at that time.
func TestFailureOfALostEndpointCounts(t *testing.T) {
	b := heads(1)
	now := noon
	for range 4 {
		b.MarkLost([]string{"h0"}, now)
		b.RequestEnded("h0", newRequest(10, now), false, ResultConnectionRefused, now)
		now = now.Add(maxBan)
	}
	now = now.Add(lostBan - maxBan)
	picked, _ := b.pick(newRequest(10, now), now)
	require.Nil(t, picked, "four failures ban for longer than lostBan")
}
