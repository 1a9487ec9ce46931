package admission

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/team"
)

// estimate follows how long a slot is held for each unit of cost.
type estimate struct {
	seconds float64
	cost    float64
}

// Weight of the past in an estimate.
const (
	// estimateDecay is applied at each new sample: about the last 200 count.
	estimateDecay = 0.995
	// initialSecondsPerCost stands in until requests have finished: 20 ms a token.
	initialSecondsPerCost = 0.02
	initialCost           = 100
)

func newEstimate() estimate {
	return estimate{seconds: initialSecondsPerCost * initialCost, cost: initialCost}
}

func (e *estimate) add(cost float64, ran time.Duration) {
	e.seconds = e.seconds*estimateDecay + ran.Seconds()
	e.cost = e.cost*estimateDecay + cost
}

// seconds of slot time for a cost.
func (e *estimate) of(cost float64) float64 { return cost * e.seconds / e.cost }

// late reports whether a request that starts after the wait would miss its deadline.
func (q *Queue) late(now time.Time, wait time.Duration, r Request) bool {
	if r.Deadline.IsZero() {
		return false
	}
	return now.Add(wait + seconds(q.service.of(r.Cost))).After(r.Deadline)
}

// wait predicts how long a new request would wait behind its own team and class,
// which get their weighted share of the slots.
func (q *Queue) wait(r Request) time.Duration {
	if q.slots == 0 {
		return noSlotsWait
	}
	t := q.teams[r.Team]
	ahead := 0.0
	classShare := 1.0
	if t != nil {
		ahead = t.ahead(r)
		classShare = t.share(r.Class, q.weights)
	}
	if t == nil || t.count == 0 {
		// The next slot is free after the rest of a running request, at most.
		return seconds(q.service.of(r.Cost) / float64(q.slots))
	}
	share := q.share(r.Team) * classShare
	return seconds(q.service.of(ahead) / (float64(q.slots) * share))
}

// noSlotsWait is the wait foretold while no replica serves.
const noSlotsWait = time.Second

// share returns the part of the slots that a team gets among those that wait.
func (q *Queue) share(id team.ID) float64 {
	own := q.weights.team(id)
	total := 0.0
	waits := false
	for _, t := range q.teams {
		if t.count == 0 {
			continue
		}
		total += q.weights.team(t.id)
		waits = waits || t.id == id
	}
	if !waits {
		total += own
	}
	return own / total
}

// Bounds of a Retry-After.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// retryAfter tells a caller to come back when half of the wait is over.
func (q *Queue) retryAfter(wait time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, wait/2))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
