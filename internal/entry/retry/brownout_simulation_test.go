package retry

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/standin/enginesim"
)

var seeds = flag.Uint64("seeds", 2, "number of seeds of the measurement")

// The simulation consists of replicas, which serve one attempt after another and refuse attempts
// while their queue is long, and of entries, which cancel an attempt after attemptTimeout while the
// replica still works on it. A third of the replicas is slowed down during the fault.
const (
	networkDelay   = 10 * time.Millisecond
	replicaCount   = 30
	serviceTime    = 50 * time.Millisecond
	maxQueueTime   = 2 * time.Second
	attemptTimeout = time.Second
	offeredLoad    = 0.75
	slowdown       = 10
	faultFrom      = 40 * time.Second
	faultUntil     = 80 * time.Second
	simulatedTime  = 160 * time.Second
	binWidth       = 10 * time.Second
	callTimeout    = 10 * time.Second
)

// series holds the counts of each bin of the simulated time.
type series struct{ arrivals, dispatches, answers [simulatedTime / binWidth]int }

// duringFault sums the bins of the fault.
func duringFault(values [simulatedTime / binWidth]int) int {
	return sumBetween(values, faultFrom, faultUntil)
}

// sumBetween sums the bins between two times.
func sumBetween(values [simulatedTime / binWidth]int, from, until time.Duration) int {
	total := 0
	for _, v := range values[from/binWidth : until/binWidth] {
		total += v
	}
	return total
}

// goodput returns the answers over the arrivals between two times.
func (s series) goodput(from, until time.Duration) float64 {
	return float64(sumBetween(s.answers, from, until)) / float64(sumBetween(s.arrivals, from, until))
}

// simulate runs the simulation under a retry policy. success is called for each answer.
func simulate(decide func(time.Time, Failure) Decision, success func(), seed uint64) series {
	rng := rand.New(rand.NewPCG(seed, 3))
	var s series
	var t enginesim.Timeline
	var busyUntil [replicaCount]time.Duration
	clock := func(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }
	var dispatch func(attempt request.Attempt, deadline time.Time)
	fail := func(outcome request.Outcome, attempt request.Attempt, deadline time.Time) {
		failure := Failure{Outcome: outcome, Idempotent: true, Attempt: attempt, Deadline: deadline, MinDuration: serviceTime}
		if d, ok := decide(clock(t.Now()), failure).(Retry); ok {
			t.After(d.Delay, func() { dispatch(attempt+1, deadline) })
		}
	}
	dispatch = func(attempt request.Attempt, deadline time.Time) {
		now := t.Now()
		s.dispatches[now/binWidth]++
		i := rng.IntN(replicaCount)
		if busyUntil[i]-now > maxQueueTime {
			t.After(networkDelay, func() { fail(request.OutcomeNotRun, attempt, deadline) })
			return
		}
		duration := serviceTime
		if i < replicaCount/3 && now >= faultFrom && now < faultUntil {
			duration *= slowdown
		}
		busyUntil[i] = max(busyUntil[i], now) + duration
		if busyUntil[i]-now > attemptTimeout {
			t.After(attemptTimeout, func() { fail(request.OutcomeUnknown, attempt, deadline) })
			return
		}
		t.After(busyUntil[i]-now, func() {
			success()
			s.answers[t.Now()/binWidth]++
		})
	}
	var arrive func()
	arrive = func() {
		s.arrivals[t.Now()/binWidth]++
		dispatch(1, clock(t.Now()+callTimeout))
		t.After(time.Duration(rng.ExpFloat64()*float64(serviceTime)/(offeredLoad*replicaCount)), arrive)
	}
	t.After(0, arrive)
	t.RunUntil(simulatedTime)
	return s
}

// TestRetryBudgetInABrownout slows a third of the replicas down. The budget must bound the extra
// dispatches, and the goodput must recover within the duration of the fault after its end.
func TestRetryBudgetInABrownout(t *testing.T) {
	for seed := uint64(1); seed <= *seeds; seed++ {
		rng := rand.New(rand.NewPCG(seed, 4))
		budget := New(rng, Policy{})
		unbounded := New(rng, Policy{MaxTokens: 1e12})
		noRetries := func(time.Time, Failure) Decision { return GiveUp{} }
		immediate := func(_ time.Time, f Failure) Decision {
			if f.Attempt < DefaultMaxAttempts {
				return Retry{}
			}
			return GiveUp{}
		}
		policies := []struct {
			name    string
			decide  func(time.Time, Failure) Decision
			success func()
		}{
			{"no retries", noRetries, func() {}},
			{"at once, 4 attempts", immediate, func() {}},
			{"backoff, 4 attempts", unbounded.Decide, func() {}},
			{"budget", budget.Decide, budget.RecordSuccess},
		}
		for _, p := range policies {
			s := simulate(p.decide, p.success, seed)
			extra := float64(duringFault(s.dispatches))/float64(duringFault(s.arrivals)) - 1
			t.Logf("| %d | %s | %.1f %% | %v |", seed, p.name, 100*extra, goodputPercent(s))
			if p.name != "budget" {
				continue
			}
			allowed := DefaultTokenRatio*float64(duringFault(s.answers)) + DefaultMaxTokens
			require.LessOrEqual(t, float64(duringFault(s.dispatches)-duringFault(s.arrivals)), allowed, "seed %d", seed)
			before := s.goodput(0, faultFrom)
			after := s.goodput(2*faultUntil-faultFrom, simulatedTime)
			require.GreaterOrEqual(t, after, 0.99*before, "seed %d: %v", seed, goodputPercent(s))
		}
	}
}

// goodputPercent returns the answers of each bin as a percentage of its arrivals.
func goodputPercent(s series) []int {
	var percents []int
	for b := range s.arrivals {
		percents = append(percents, 100*s.answers[b]/s.arrivals[b])
	}
	return percents
}
