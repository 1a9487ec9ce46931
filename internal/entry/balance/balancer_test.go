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

// heads returns a board with n serving heads of model m in one failure domain.
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

func plain(n int) *Balancer {
	b := &Balancer{FailureDomain: "a", Gateways: 1}
	b.SetServices([]routes.Service{{Name: "plain"}})
	for i := range n {
		b.UpdateEndpoints([]roster.Endpoint{{ID: fmt.Sprint("p", i), Service: "plain", FailureDomain: "a", Slots: 6, StartedMs: 1}})
	}
	return b
}

func need(prompt int, now time.Time) Request {
	return Request{
		Service: "llm", Model: "m", PromptTokens: prompt, Objective: 400 * time.Millisecond, ObjectiveDeadline: now.Add(400 * time.Millisecond),
		ArrivedAt: now, WaitUntil: now.Add(140 * time.Millisecond),
	}
}

// TestBurstIsRefusedAtOnceOrWaitsBriefly sends ten times what two heads can read in time.
// What is placed gets its first event in time by the forecast, what is not is decided within
// its wait, and nobody waits while there is room.
func TestBurstIsRefusedAtOnceOrWaitsBriefly(t *testing.T) {
	b := heads(2)
	placed, waiting := 0, []*Waiter{}
	for range 100 {
		d, w := b.Submit(need(1000, noon), noon)
		switch {
		case w != nil:
			waiting = append(waiting, w)
		case d.Refused:
			require.Positive(t, d.RetryAfter)
		default:
			require.Empty(t, waiting, "one was placed past those that wait")
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

// TestLargePromptsAreNotStarvedBySmallOnes offers large and small prompts by turns under
// overload: the large ones are placed as often.
func TestLargePromptsAreNotStarvedBySmallOnes(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	b := heads(3)
	type running struct {
		id    string
		n     Request
		first time.Time
		end   time.Time
	}
	var under []running
	served, asked := map[int]int{}, map[int]int{}
	for tick := range 4000 {
		now := noon.Add(time.Duration(tick) * 10 * time.Millisecond)
		kept := under[:0]
		for _, r := range under {
			if !r.first.IsZero() && !now.Before(r.first) {
				b.FirstEventReceived(r.id, r.n, 300*time.Millisecond, 300*time.Millisecond, now)
				r.first = time.Time{}
			}
			b.DataReceived(r.id, now)
			if now.Before(r.end) {
				kept = append(kept, r)
				continue
			}
			b.RequestEnded(r.id, r.n, true, ResultSuccess, now)
		}
		under = kept
		for range 2 {
			prompt := []int{300, 5000}[rng.IntN(2)]
			n := need(prompt, now)
			n.WaitUntil = now
			asked[prompt]++
			d, _ := b.Submit(n, now)
			if d.Refused {
				continue
			}
			served[prompt]++
			first := now.Add(time.Duration(100+prompt/20) * time.Millisecond)
			under = append(under, running{d.Endpoint.ID, n, first, first.Add(time.Second)})
		}
	}
	small := float64(served[300]) / float64(asked[300])
	large := float64(served[5000]) / float64(asked[5000])
	require.Less(t, small, 0.9, "the load must be an overload")
	require.Greater(t, large, small/2)
}

// TestThoseWhoComeBackTakeOnlyRoomToSpare lets callers come back that are late already: they
// are taken by an idle engine and not where they would make another one late.
func TestThoseWhoComeBackTakeOnlyRoomToSpare(t *testing.T) {
	b := heads(1)
	late := need(1000, noon)
	late.ObjectiveDeadline = noon.Add(-time.Second)
	late.WaitUntil = noon
	d, _ := b.Submit(late, noon)
	require.False(t, d.Refused)
	taken := 0
	for range 20 {
		if d, _ := b.Submit(late, noon); !d.Refused {
			taken++
		}
	}
	require.Less(t, taken, 20)
	d, w := b.Submit(need(1000, noon), noon)
	require.Nil(t, w)
	require.False(t, d.Refused, "a caller in time still finds room")
	require.Less(t, d.Forecast, 400*time.Millisecond)
}

// TestABrokenStreamGoesBeforeNewOnes puts a resumed stream first among those that wait.
func TestABrokenStreamGoesBeforeNewOnes(t *testing.T) {
	b := heads(1)
	b.SetLoad("h0", dialect.Load{Running: 60, Slots: 48}, noon)
	first, w1 := b.Submit(need(100, noon), noon)
	require.NotNil(t, w1, "%v", first)
	broken := need(100, noon.Add(time.Millisecond))
	broken.Resumed = true
	_, w2 := b.Submit(broken, noon)
	require.NotNil(t, w2)
	require.Equal(t, []*Waiter{w2, w1}, b.queue)
	b.SetLoad("h0", dialect.Load{Running: 10, Slots: 48}, noon)
	b.ProcessQueue(noon)
	require.Equal(t, "h0", (<-w2.Decided).Endpoint.ID)
}

// TestUrgentRequestsGoFirst orders those that wait by rank and then by arrival.
func TestUrgentRequestsGoFirst(t *testing.T) {
	b := heads(1)
	b.SetLoad("h0", dialect.Load{Running: 60, Slots: 48}, noon)
	var order []*Waiter
	for i, rank := range []int{2, 1, 2, 0} {
		n := need(100, noon.Add(time.Duration(i)*time.Millisecond))
		n.Priority = rank
		_, w := b.Submit(n, noon)
		order = append(order, w)
	}
	require.Equal(t, []*Waiter{order[3], order[1], order[0], order[2]}, b.queue)
}

// TestAHeadThatStandsStillGetsNoWork loses a member behind a head with streams under way.
func TestAHeadThatStandsStillGetsNoWork(t *testing.T) {
	b := heads(2)
	n := need(100, noon)
	for _, id := range []string{"h0", "h1"} {
		b.RequestSent(id, n, noon)
		b.FirstEventReceived(id, n, 100*time.Millisecond, 100*time.Millisecond, noon)
	}
	later := noon.Add(500 * time.Millisecond)
	b.DataReceived("h1", later)
	_, stalled := b.Stalled("h0", later)
	require.True(t, stalled)
	for range 5 {
		d, _ := b.Submit(need(100, later), later)
		require.Equal(t, "h1", d.Endpoint.ID)
	}
	b.DataReceived("h0", later)
	d, _ := b.Submit(need(100, later), later)
	require.Equal(t, "h0", d.Endpoint.ID)
}

// TestAnEngineThatWasSlowIsTriedAgain measures one engine as slow and lets time pass.
func TestAnEngineThatWasSlowIsTriedAgain(t *testing.T) {
	b := heads(1)
	n := need(1000, noon)
	for range 20 {
		b.RequestSent("h0", n, noon)
		b.FirstEventReceived("h0", n, 200*time.Millisecond, 2*time.Second, noon)
		b.RequestEnded("h0", n, true, ResultSuccess, noon)
	}
	d, w := b.Submit(n, noon)
	require.True(t, w != nil || d.Refused)
	later := noon.Add(slowdownTTL + time.Second)
	n = need(1000, later)
	d, _ = b.Submit(n, later)
	require.Equal(t, "h0", d.Endpoint.ID)
}

// TestAFailingEndpointGetsLittleAndIsForgiven fails one of three plain endpoints half of the
// time while its health is good.
func TestAFailingEndpointGetsLittleAndIsForgiven(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	b := plain(3)
	play := func(requests int, failing bool) map[string]int {
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
	require.Less(t, play(600, true)["p0"], 60)
}

// TestAnUnreachableEndpointIsLeftAloneLonger bans for longer with each failure in a row.
func TestAnUnreachableEndpointIsLeftAloneLonger(t *testing.T) {
	b := plain(1)
	now := noon
	for _, wait := range []time.Duration{minBan, 2 * minBan, 4 * minBan} {
		b.RequestSent("p0", Request{Service: "plain"}, now)
		b.RequestEnded("p0", Request{Service: "plain"}, false, ResultUnreachable, now)
		_, ok := b.pick(Request{Service: "plain"}, now.Add(wait-time.Millisecond))
		require.False(t, ok)
		now = now.Add(wait)
		_, ok = b.pick(Request{Service: "plain"}, now)
		require.True(t, ok)
	}
}

func TestDrainingAndGoneEndpointsGetNothing(t *testing.T) {
	for _, state := range []roster.State{roster.StateDraining, roster.StateLeft} {
		b := plain(1)
		b.UpdateEndpoints([]roster.Endpoint{{ID: "p0", Service: "plain", Slots: 6, StartedMs: 1, State: state}})
		d, w := b.Submit(Request{Service: "plain", ArrivedAt: noon, WaitUntil: noon.Add(time.Second)}, noon)
		require.Nil(t, w, "nobody waits for an endpoint that goes")
		require.True(t, d.Refused)
	}
}

func TestALeftWaiterGivesItsPlaceBack(t *testing.T) {
	b := plain(1)
	n := Request{Service: "plain", ArrivedAt: noon, WaitUntil: noon.Add(time.Second)}
	for range 12 {
		d, _ := b.Submit(n, noon)
		require.False(t, d.Refused)
	}
	_, w := b.Submit(n, noon)
	require.NotNil(t, w)
	_, placed := b.Cancel(w)
	require.False(t, placed)
	_, w = b.Submit(n, noon)
	b.RequestEnded("p0", n, false, ResultSuccess, noon)
	b.ProcessQueue(noon)
	d, placed := b.Cancel(w)
	require.True(t, placed, "the decision came first")
	require.Equal(t, "p0", d.Endpoint.ID)
}

// TestRepeatsOfAllGatewaysStayBelowTheirBound plays uneven gateways that repeat whatever
// they may, and looks at every window.
func TestRepeatsOfAllGatewaysStayBelowTheirBound(t *testing.T) {
	const ratio, slack, window = 0.2, 200.0, 10 * time.Second
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 3))
		gateways := 2 + rng.IntN(14)
		budgets := make([]RetryBudget, gateways)
		for i := range budgets {
			budgets[i] = RetryBudget{Ratio: ratio * 0.85, Burst: slack / float64(gateways) * 0.55, Window: window}
		}
		var requests, repeats []time.Duration
		for at := time.Duration(0); at < 40*time.Second; at += 10 * time.Millisecond {
			i := rng.IntN(rng.IntN(gateways) + 1)
			budgets[i].AddRequest(noon.Add(at))
			requests = append(requests, at)
			for j := range budgets {
				if at > 12*time.Second && budgets[j].TryRetry(noon.Add(at)) {
					repeats = append(repeats, at)
				}
			}
		}
		for _, begin := range repeats {
			require.LessOrEqual(t, within(repeats, begin, window), ratio*within(requests, begin, window)+slack, "seed %d", seed)
		}
	}
}

func within(times []time.Duration, begin, window time.Duration) float64 {
	n := 0.0
	for _, at := range times {
		if at >= begin && at < begin+window {
			n++
		}
	}
	return n
}

// TestWorkOfAMixMatchesTheEngine compares the work of two mixes with what the engine does in
// a round: a read-bound mix is counted by its chunks, one of long answers by its slots.
func TestWorkOfAMixMatchesTheEngine(t *testing.T) {
	e := engine()
	readBound := EngineTime(e, "m", dialect.Usage{PromptTokens: 1620, MaxOutputTokens: 102})
	writing := 2048.0 * 102 / (1620 * 5)
	round := 2048/56100.0 + 5*(0.00645+writing*0.000097)
	require.InDelta(t, round*1620/2048, readBound.Seconds(), 0.001)
	long := EngineTime(e, "m", dialect.Usage{PromptTokens: 10, MaxOutputTokens: 1000})
	full := 48 * maxDecodingShare
	require.InDelta(t, 1000*(0.00645+full*0.000097)/full, long.Seconds(), 0.001)
	require.InDelta(t, 0.6*readBound.Seconds(), EngineTime(e, "quick", dialect.Usage{PromptTokens: 1620, MaxOutputTokens: 102}).Seconds(), 0.001)
	require.Zero(t, EngineTime(e, "unknown", dialect.Usage{PromptTokens: 1, MaxOutputTokens: 1}))
	require.Zero(t, EngineTime(nil, "m", dialect.Usage{PromptTokens: 1, MaxOutputTokens: 1}))
}
