package retry

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/standin/batch"
)

var seeds = flag.Uint64("seeds", 2, "number of seeds of the measurement")

// The model: replicas that serve one attempt after another and refuse when their
// queue is long; entries that give an attempt up after a second, while the replica
// still does the work. A third of the replicas is slowed down during the fault.
const (
	hop          = 10 * time.Millisecond
	replicas     = 30
	service      = 50 * time.Millisecond
	queueBound   = 2 * time.Second
	attemptLimit = time.Second
	offeredLoad  = 0.75
	slowdown     = 10
	faultFrom    = 40 * time.Second
	faultUntil   = 80 * time.Second
	modelFor     = 160 * time.Second
	bin          = 10 * time.Second
	answerIn     = 10 * time.Second
)

// curve is what the model measured in each bin.
type curve struct{ arrivals, dispatches, answers [modelFor / bin]int }

// during sums a row over the fault.
func during(values [modelFor / bin]int) int { return sum(values, faultFrom, faultUntil) }

func sum(values [modelFor / bin]int, from, until time.Duration) int {
	total := 0
	for _, v := range values[from/bin : until/bin] {
		total += v
	}
	return total
}

// goodput returns the answers over the arrivals of a time.
func (c curve) goodput(from, until time.Duration) float64 {
	return float64(sum(c.answers, from, until)) / float64(sum(c.arrivals, from, until))
}

func simulate(decide func(time.Time, Failure) Decision, success func(), seed uint64) curve {
	rng := rand.New(rand.NewPCG(seed, 3))
	var c curve
	var t batch.Timeline
	var free [replicas]time.Duration
	clock := func(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }
	var dispatch func(attempt request.Attempt, deadline time.Time)
	fail := func(outcome request.Outcome, attempt request.Attempt, deadline time.Time) {
		failure := Failure{Outcome: outcome, Idempotent: true, Attempt: attempt, Deadline: deadline, MinDuration: service}
		if d, ok := decide(clock(t.Now()), failure).(Retry); ok {
			t.In(d.Delay, func() { dispatch(attempt+1, deadline) })
		}
	}
	dispatch = func(attempt request.Attempt, deadline time.Time) {
		now := t.Now()
		c.dispatches[now/bin]++
		i := rng.IntN(replicas)
		if free[i]-now > queueBound {
			t.In(hop, func() { fail(request.OutcomeNotRun, attempt, deadline) })
			return
		}
		took := service
		if i < replicas/3 && now >= faultFrom && now < faultUntil {
			took *= slowdown
		}
		free[i] = max(free[i], now) + took
		if free[i]-now > attemptLimit {
			t.In(attemptLimit, func() { fail(request.OutcomeUnknown, attempt, deadline) })
			return
		}
		t.In(free[i]-now, func() {
			success()
			c.answers[t.Now()/bin]++
		})
	}
	var arrive func()
	arrive = func() {
		c.arrivals[t.Now()/bin]++
		dispatch(1, clock(t.Now()+answerIn))
		t.In(time.Duration(rng.ExpFloat64()*float64(service)/(offeredLoad*replicas)), arrive)
	}
	t.In(0, arrive)
	t.Run(modelFor)
	return c
}

// TestBrownout slows a third of the replicas down. The budget bounds the extra
// dispatches, and after as long as the fault took, the goodput of before is back.
func TestBrownout(t *testing.T) {
	for seed := uint64(1); seed <= *seeds; seed++ {
		rng := rand.New(rand.NewPCG(seed, 4))
		budget := New(rng, Policy{})
		unbounded := New(rng, Policy{MaxTokens: 1e12})
		none := func(time.Time, Failure) Decision { return GiveUp{} }
		at := func(_ time.Time, f Failure) Decision {
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
			{"no retries", none, func() {}},
			{"at once, 4 attempts", at, func() {}},
			{"backoff, 4 attempts", unbounded.Decide, func() {}},
			{"budget", budget.Decide, budget.RecordSuccess},
		}
		for _, p := range policies {
			c := simulate(p.decide, p.success, seed)
			extra := float64(during(c.dispatches))/float64(during(c.arrivals)) - 1
			t.Logf("| %d | %s | %.1f %% | %v |", seed, p.name, 100*extra, percent(c))
			if p.name != "budget" {
				continue
			}
			allowed := DefaultTokenRatio*float64(during(c.answers)) + DefaultMaxTokens
			require.LessOrEqual(t, float64(during(c.dispatches)-during(c.arrivals)), allowed, "seed %d", seed)
			before := c.goodput(0, faultFrom)
			after := c.goodput(2*faultUntil-faultFrom, modelFor)
			require.GreaterOrEqual(t, after, 0.99*before, "seed %d: %v", seed, percent(c))
		}
	}
}

// percent returns the answers of each bin in percent of its arrivals.
func percent(c curve) []int {
	var out []int
	for b := range c.arrivals {
		out = append(out, 100*c.answers[b]/c.arrivals[b])
	}
	return out
}
