package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/entry/dialect"
	"github.com/egretreach/egretreach/internal/entry/overload"
	"github.com/egretreach/egretreach/internal/fleet/routes"
)

// llmRoutes returns routes to the model service with these priorities.
func llmRoutes(priorities ...int) []routes.Route {
	var all []routes.Route
	for _, p := range priorities {
		all = append(all, routes.Route{Priority: p, Targets: []routes.Target{{Service: "llm", Weight: 1}}})
	}
	return all
}

// decisions submits the same random requests to a balancer and returns its decisions in the order in which they are made.
func decisions(b *Balancer) []Decision {
	rng := rand.New(rand.NewPCG(1, 2))
	var all []Decision
	var waiting []*Waiter
	for tick := range 2000 {
		now := noon.Add(time.Duration(tick) * 5 * time.Millisecond)
		req := newRequest(rng.IntN(2000), now)
		req.Priority, req.Team, req.Spread = rng.IntN(3), string(rune('a'+rng.IntN(3))), rng.Float64()
		req.Resumed = rng.IntN(20) == 0
		if rng.IntN(3) == 0 {
			req.Waited = time.Second
			req.ObjectiveDeadline = req.ObjectiveDeadline.Add(-time.Second)
		}
		req.Deadline = now.Add(10 * time.Second)
		req.LateUntil = overload.LateUntil(now, req.Deadline, req.Objective, 0)
		b.SetLoad("h0", dialect.Load{Running: 30 + rng.IntN(30), Slots: 48}, now)
		d, w := b.Submit(req, now)
		if w != nil {
			waiting = append(waiting, w)
		} else {
			all = append(all, d)
		}
		b.ProcessQueue(now)
		var kept []*Waiter
		for _, w := range waiting {
			select {
			case d := <-w.Decided:
				all = append(all, d)
			default:
				kept = append(kept, w)
			}
		}
		waiting = kept
		if tick%7 == 0 {
			b.RequestEnded("h0", req, false, ResultSuccess, now)
		}
	}
	return all
}

// TestServiceWithoutRanksIsServedAsBefore guards against a change of the queue, the refusals or the order where no route requires it:
// with routes of one priority, and with routes of other services that differ, the decisions are those of a balancer without routes.
func TestServiceWithoutRanksIsServedAsBefore(t *testing.T) {
	before := decisions(heads(1))
	same := heads(1)
	same.Ranked = true
	same.SetRoutes(append(llmRoutes(1, 1), routes.Route{Priority: 5, Targets: []routes.Target{{Service: "plain", Weight: 1}}}))
	require.Equal(t, before, decisions(same))
	differ := heads(1)
	differ.Ranked = true
	differ.SetRoutes(llmRoutes(0, 2))
	require.NotEqual(t, before, decisions(differ))
}

// TestLateRequestWaitsForAPlace guards against the refusal of a request that can be served before its caller's timeout: the only head
// is full when it arrives, and has room again long after its objective.
func TestLateRequestWaitsForAPlace(t *testing.T) {
	b := heads(1)
	b.ServeLate = true
	b.Ranked = true
	b.SetRoutes(llmRoutes(0, 2))
	b.SetLoad("h0", dialect.Load{Running: 60, Slots: 48}, noon)
	req := newRequest(300, noon)
	req.Deadline = noon.Add(10 * time.Second)
	req.LateUntil = overload.LateUntil(noon, req.Deadline, req.Objective, 0)
	_, w := b.Submit(req, noon)
	require.NotNil(t, w)
	for at := time.Duration(0); at < 1200*time.Millisecond; at += 100 * time.Millisecond {
		b.SetLoad("h0", dialect.Load{Running: 60, Slots: 48}, noon.Add(at))
		b.ProcessQueue(noon.Add(at))
	}
	require.Equal(t, 1, b.Waiting())
	b.SetLoad("h0", dialect.Load{Running: 4, Slots: 48}, noon.Add(1200*time.Millisecond))
	b.ProcessQueue(noon.Add(1200 * time.Millisecond))
	d := <-w.Decided
	require.False(t, d.Refused)
	require.True(t, d.Late)
}

// TestUnknownModelsGetNoQueue guards against memory that grows with the model names that callers send.
func TestUnknownModelsGetNoQueue(t *testing.T) {
	b := heads(1)
	b.Ranked = true
	b.SetRoutes(llmRoutes(0, 2))
	req := newRequest(300, noon)
	req.Model = "unknown"
	d, _ := b.Submit(req, noon)
	require.True(t, d.Refused)
	require.Empty(t, b.ranked)
}

// TestSurveySkipsNoPlace guards against a request that is skipped although an endpoint has capacity for it: whenever the earliest
// forecasts exclude a request, no endpoint has capacity.
func TestSurveySkipsNoPlace(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	hopeless, placeable := 0, 0
	for range 5000 {
		b := heads(3)
		for i := range 3 {
			b.SetLoad(fmt.Sprint("h", i), dialect.Load{Running: rng.IntN(50), Waiting: rng.IntN(12), Slots: 48}, noon)
		}
		b.MarkBusy("h0", 1, time.Duration(rng.IntN(2))*time.Second, noon)
		req := newRequest(rng.IntN(3000), noon)
		req.ObjectiveDeadline = noon.Add(time.Duration(rng.IntN(600)-100) * time.Millisecond)
		if rng.IntN(2) == 0 {
			req.spareFor = time.Duration(200+rng.IntN(600)) * time.Millisecond
		}
		late := req.isLate(noon)
		if late {
			req.spareFor = shorter(req.Objective, req.spareFor)
		}
		var pass rankedPass
		pass.survey(b, req, noon)
		place, _ := b.pick(req, noon)
		if pass.isHopeless(req, late, noon) {
			hopeless++
			require.Nil(t, place)
		} else if place != nil {
			placeable++
		}
	}
	require.Greater(t, hopeless, 500)
	require.Greater(t, placeable, 500)
}

// BenchmarkProcessRankedQueue measures an event while 200 requests wait for six full heads.
func BenchmarkProcessRankedQueue(bench *testing.B) {
	b := heads(6)
	b.Ranked = true
	b.SetRoutes(llmRoutes(0, 2))
	for i := range 200 {
		req := newRequest(300, noon)
		req.Priority, req.Team, req.Deadline = 2*(i%2), fmt.Sprint("t", i%5), noon.Add(time.Minute)
		req.LateUntil = noon.Add(time.Minute)
		b.rankedScope(req).Placed(b.caller(req), 0, false, noon)
		for j := range 6 {
			b.SetLoad(fmt.Sprint("h", j), dialect.Load{Running: 60, Slots: 48}, noon)
		}
		b.Submit(req, noon)
	}
	require.Equal(bench, 200, b.Waiting())
	for bench.Loop() {
		b.ProcessQueue(noon.Add(time.Millisecond))
	}
}

// TestRankedWaitersAreRefusedAtOnce guards against waiting requests that are held although no endpoint may get them any more since its
// failure domain is evacuated, and against a crash if an operator removes the service's engine meanwhile.
func TestRankedWaitersAreRefusedAtOnce(t *testing.T) {
	waiting := func() (*Balancer, *Waiter) {
		b := heads(1)
		b.ServeLate = true
		b.Ranked = true
		b.SetRoutes(llmRoutes(0, 2))
		b.SetLoad("h0", dialect.Load{Running: 60, Slots: 48}, noon)
		req := newRequest(300, noon)
		req.Deadline = noon.Add(10 * time.Second)
		req.LateUntil = overload.LateUntil(noon, req.Deadline, req.Objective, 0)
		_, w := b.Submit(req, noon)
		require.NotNil(t, w)
		return b, w
	}
	b, w := waiting()
	b.SetEvacuated([]string{b.endpoints["h0"].FailureDomain}, noon)
	b.ProcessQueue(noon)
	require.Equal(t, reasonEvacuated, (<-w.Decided).Reason)
	require.Zero(t, b.Waiting())

	b, w = waiting()
	b.SetServices(nil)
	b.Ranked = true
	b.SetRoutes(nil)
	require.NotPanics(t, func() { b.ProcessQueue(noon.Add(time.Millisecond)) })
	b.ProcessQueue(w.WaitUntil)
	require.Zero(t, b.Waiting())
}
