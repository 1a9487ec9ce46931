package admission

import (
	"math"
	"time"
)

// serviceEstimate estimates how long a slot is held for each unit of cost, and how far
// single requests deviate from that.
type serviceEstimate struct {
	seconds       float64
	cost          float64
	meanDeviation float64
}

// Parameters of estimates and of predictions made from them.
const (
	// estimateDecay is applied to the sums at each new sample, so that about the last
	// 200 samples count.
	estimateDecay = 0.995
	// initialSecondsPerCost, 20 ms per token, is used until requests have finished.
	initialSecondsPerCost = 0.02
	initialCost           = 100
	// deadlineDeviations is the number of mean deviations that are kept free before a
	// deadline.
	deadlineDeviations = 2
	// waitMargin is the factor on a predicted wait that allows for its error.
	waitMargin = 1.25
)

func newServiceEstimate() serviceEstimate {
	return serviceEstimate{seconds: initialSecondsPerCost * initialCost, cost: initialCost}
}

func (e *serviceEstimate) addSample(cost float64, ran time.Duration) {
	ratio := ran.Seconds() / e.expectedSeconds(cost)
	e.meanDeviation += (1 - estimateDecay) * (min(2, math.Abs(ratio-1)) - e.meanDeviation)
	e.seconds = e.seconds*estimateDecay + ran.Seconds()
	e.cost = e.cost*estimateDecay + cost
}

// expectedSeconds returns for how many seconds a request of the cost is expected to
// hold a slot.
func (e *serviceEstimate) expectedSeconds(cost float64) float64 { return cost * e.seconds / e.cost }

// missesDeadline reports whether a request that starts now would probably miss its
// deadline.
func (q *Queue) missesDeadline(now time.Time, r Request) bool {
	return !r.Deadline.IsZero() && now.Add(seconds(q.estimate.expectedSeconds(r.Cost))).After(r.Deadline)
}

// likelyLate reports whether a new request may miss its deadline after the predicted
// wait. The longer the wait, the stricter the check, so that accepted requests are
// seldom refused later.
func (q *Queue) likelyLate(now time.Time, wait time.Duration, r Request) bool {
	if r.Deadline.IsZero() {
		return false
	}
	serviceTime := q.estimate.expectedSeconds(r.Cost)
	margin := min(deadlineDeviations*q.estimate.meanDeviation*serviceTime, wait.Seconds())
	return now.Add(seconds(wait.Seconds()*waitMargin + serviceTime + margin)).After(r.Deadline)
}

// predictWait predicts how long a new request would wait behind those of its own team
// and class.
func (q *Queue) predictWait(now time.Time, r Request) time.Duration {
	if q.slots == 0 {
		return noSlotsWait
	}
	t := q.teams[r.Team]
	if t == nil || t.waiting == 0 {
		// Busy slots are released every service time divided by their number, on average. The cost
		// of this request is used as an estimate of theirs.
		return seconds(q.estimate.expectedSeconds(r.Cost) / float64(q.slots))
	}
	rate := q.predictRate(now, t) * t.classShare(r.Class, q.weights)
	return seconds(t.costAhead(r) / rate)
}

// predictRate predicts the cost of a team's requests that start per second: what the
// other teams leave at their present rate, but at least the team's weighted share.
func (q *Queue) predictRate(now time.Time, t *teamQueue) float64 {
	capacity := float64(q.slots) * q.estimate.cost / q.estimate.seconds
	weight := q.weights.team(t.id)
	weights, used := weight, 0.0
	for _, other := range q.teams {
		rate := other.startRate.perSecond(now)
		if other == t || (other.waiting == 0 && rate == 0) {
			continue
		}
		weights += q.weights.team(other.id)
		used += rate
	}
	return max(capacity*weight/weights, capacity-used)
}

// startRate measures the cost of the requests that start per second.
type startRate struct {
	decayedSum float64
	updatedAt  time.Time
}

const (
	startRateWindow = 5 * time.Second
	// minStartRate is the cost per second below which a team counts as inactive.
	minStartRate = 0.01
)

func (r *startRate) add(now time.Time, cost float64) {
	r.decayedSum = r.perSecond(now)*startRateWindow.Seconds() + cost
	r.updatedAt = now
}

func (r *startRate) perSecond(now time.Time) float64 {
	if r.decayedSum == 0 {
		return 0
	}
	rate := r.decayedSum / startRateWindow.Seconds() * math.Exp(-now.Sub(r.updatedAt).Seconds()/startRateWindow.Seconds())
	if rate < minStartRate {
		return 0
	}
	return rate
}

// noSlotsWait is the predicted wait while no replica serves.
const noSlotsWait = time.Second

// Bounds of the Retry-After of a refusal by a Queue or a Quota.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// retryAfter returns the Retry-After of a request with a predicted wait: half of the wait,
// within the bounds.
func (q *Queue) retryAfter(wait time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, wait/2))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
