package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/entry/dialect"
)

// crowdResult is the outcome of a sudden overload at one gateway.
type crowdResult struct {
	// placed and refused count the requests by their decision. atOnce counts those refused on arrival.
	placed, refused, atOnce int
	// waits are the times in the queue of the requests that were refused in the end.
	waits []time.Duration
	// longestQueue is the greatest number of requests that waited at the same time.
	longestQueue int
}

// simulateCrowd sends requests to a gateway with one full head, on which a slot is released after each freeEvery.
func simulateCrowd(total, arrivalEvery, freeEvery time.Duration) crowdResult {
	var result crowdResult
	b := heads(1)
	setRunning := func(running int, now time.Time) { b.SetLoad("h0", dialect.Load{Running: running, Slots: 48}, now) }
	const full = 53
	var waiting []*Waiter
	for at := time.Duration(0); at < total; at += arrivalEvery {
		now := noon.Add(at)
		setRunning(full, now)
		if at%freeEvery == 0 {
			setRunning(full-1, now)
		}
		b.ProcessQueue(now)
		d, w := b.Submit(newRequest(300, now), now)
		switch {
		case w != nil:
			waiting = append(waiting, w)
		case d.Refused:
			result.refused++
			result.atOnce++
		default:
			result.placed++
			b.RequestEnded("h0", newRequest(300, now), false, ResultSuccess, now)
		}
		waiting = collectDecisions(b, waiting, now, &result)
		result.longestQueue = max(result.longestQueue, b.Waiting())
	}
	return result
}

// collectDecisions adds the decisions on waiting requests to the result, and returns those that still wait.
func collectDecisions(b *Balancer, waiting []*Waiter, now time.Time, result *crowdResult) []*Waiter {
	var kept []*Waiter
	for _, w := range waiting {
		select {
		case d := <-w.Decided:
			if !d.Refused {
				result.placed++
				b.RequestEnded("h0", w.Request, false, ResultSuccess, now)
				continue
			}
			result.refused++
			result.waits = append(result.waits, now.Sub(w.ArrivedAt))
		default:
			kept = append(kept, w)
		}
	}
	return kept
}

// TestFlashCrowdIsRefusedAtOnce guards against a queue that grows with the load: its requests wait without being placed,
// and the gateway tries all of them at each event, which delays its other work. Fifty times as many requests arrive as can
// be placed. All but a few are refused on arrival, and each released slot is used.
func TestFlashCrowdIsRefusedAtOnce(t *testing.T) {
	const (
		total     = 10 * time.Second
		freeEvery = 100 * time.Millisecond
	)
	r := simulateCrowd(total, 2*time.Millisecond, freeEvery)
	require.Equal(t, int(total/freeEvery), r.placed, "requests placed, one for each slot")
	require.LessOrEqual(t, r.longestQueue, minQueue)
	require.Greater(t, float64(r.atOnce)/float64(r.refused), 0.95, "share of the refusals that is given at once")
}

// TestQueueHoldsWhatCanBePlaced guards against refusals while there is capacity: if slots are released as fast as requests arrive, no
// request is refused because of the length of the queue.
func TestQueueHoldsWhatCanBePlaced(t *testing.T) {
	r := simulateCrowd(10*time.Second, 10*time.Millisecond, 10*time.Millisecond)
	require.Zero(t, r.refused)
}

// TestResumedStreamWaitsBesideACrowd guards against an interrupted stream that is refused because of the length of the queue.
func TestResumedStreamWaitsBesideACrowd(t *testing.T) {
	b := heads(1)
	b.SetLoad("h0", dialect.Load{Running: 60, Slots: 48}, noon)
	for range 3 * minQueue {
		b.Submit(newRequest(300, noon), noon)
	}
	require.Equal(t, minQueue, b.Waiting())
	resumed := newRequest(300, noon)
	resumed.Resumed = true
	_, w := b.Submit(resumed, noon)
	require.NotNil(t, w)
	urgent := newRequest(300, noon)
	urgent.Priority = -1
	_, w = b.Submit(urgent, noon)
	require.NotNil(t, w, "a request that comes before those that wait")
}
