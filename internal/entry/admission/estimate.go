package admission

import (
	"math"
	"time"
)

// estimate follows how long a slot is held for each unit of cost, and how far
// single requests are from that.
type estimate struct {
	seconds   float64
	cost      float64
	deviation float64
}

// Weight of the past in an estimate.
const (
	// estimateDecay is applied at each new sample: about the last 200 count.
	estimateDecay = 0.995
	// initialSecondsPerCost stands in until requests have finished: 20 ms a token.
	initialSecondsPerCost = 0.02
	initialCost           = 100
	// deviations is how many mean deviations are kept free before a deadline.
	deviations = 2
	// waitMargin covers the error of a predicted wait.
	waitMargin = 1.25
)

func newEstimate() estimate {
	return estimate{seconds: initialSecondsPerCost * initialCost, cost: initialCost}
}

func (e *estimate) add(cost float64, ran time.Duration) {
	ratio := ran.Seconds() / e.of(cost)
	e.deviation += (1 - estimateDecay) * (min(2, math.Abs(ratio-1)) - e.deviation)
	e.seconds = e.seconds*estimateDecay + ran.Seconds()
	e.cost = e.cost*estimateDecay + cost
}

// of returns the expected seconds of slot time for a cost.
func (e *estimate) of(cost float64) float64 { return cost * e.seconds / e.cost }

// hopeless reports whether a request that starts now would likely miss its deadline.
func (q *Queue) hopeless(now time.Time, r Request) bool {
	return !r.Deadline.IsZero() && now.Add(seconds(q.service.of(r.Cost))).After(r.Deadline)
}

// late reports whether a newcomer may miss its deadline after a predicted wait. The
// longer the wait, the stricter it is, so that what is taken is seldom refused later.
func (q *Queue) late(now time.Time, wait time.Duration, r Request) bool {
	if r.Deadline.IsZero() {
		return false
	}
	needs := q.service.of(r.Cost)
	margin := min(deviations*q.service.deviation*needs, wait.Seconds())
	return now.Add(seconds(wait.Seconds()*waitMargin + needs + margin)).After(r.Deadline)
}

// wait predicts how long a newcomer would wait behind its own team and class.
func (q *Queue) wait(now time.Time, r Request) time.Duration {
	if q.slots == 0 {
		return noSlotsWait
	}
	t := q.teams[r.Team]
	if t == nil || t.count == 0 {
		// The next slot is free after the rest of a running request, at most.
		return seconds(q.service.of(r.Cost) / float64(q.slots))
	}
	rate := q.rate(now, t) * t.share(r.Class, q.weights)
	return seconds(t.ahead(r) / rate)
}

// rate predicts the cost of a team that starts each second: what the other teams
// leave at their present use, and its weighted share at least.
func (q *Queue) rate(now time.Time, t *teamQueue) float64 {
	capacity := float64(q.slots) * q.service.cost / q.service.seconds
	weight := q.weights.team(t.id)
	weights, used := weight, 0.0
	for _, other := range q.teams {
		rate := other.use.rate(now)
		if other == t || (other.count == 0 && rate == 0) {
			continue
		}
		weights += q.weights.team(other.id)
		used += rate
	}
	return max(capacity*weight/weights, capacity-used)
}

// use follows the cost that starts each second.
type use struct {
	sum float64
	at  time.Time
}

const (
	useWindow = 5 * time.Second
	// useNone is the use of a team, in cost per second, that counts as none.
	useNone = 0.01
)

func (u *use) add(now time.Time, cost float64) {
	u.sum = u.rate(now)*useWindow.Seconds() + cost
	u.at = now
}

func (u *use) rate(now time.Time) float64 {
	if u.sum == 0 {
		return 0
	}
	rate := u.sum / useWindow.Seconds() * math.Exp(-now.Sub(u.at).Seconds()/useWindow.Seconds())
	if rate < useNone {
		return 0
	}
	return rate
}

// noSlotsWait is the wait foretold while no replica serves.
const noSlotsWait = time.Second

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
