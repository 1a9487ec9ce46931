package retry

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/request"
)

var seeds = flag.Uint64("seeds", 3, "number of seeds of the measurement")

// The model: replicas that serve one attempt after another and refuse when their
// queue is long; entries that give an attempt up after a second, while the replica
// still does the work. A third of the replicas is slowed down during the fault.
const (
	tick         = 10 * time.Millisecond
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

// step is something that happens in the model at a tick.
type step struct {
	dispatch bool
	failed   request.Outcome
	attempt  request.Attempt
	deadline time.Time
}

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
	var free [replicas]time.Duration
	steps := make([][]step, 2*modelFor/tick)
	at := func(t time.Duration, s step) {
		if i := t / tick; int(i) < len(steps) {
			steps[i] = append(steps[i], s)
		}
	}
	epoch := time.Unix(0, 0)
	dispatch := func(now time.Duration, s step) {
		c.dispatches[now/bin]++
		i := rng.IntN(replicas)
		if free[i]-now > queueBound {
			at(now+tick, step{failed: request.OutcomeNotRun, attempt: s.attempt, deadline: s.deadline})
			return
		}
		took := service
		if i < replicas/3 && now >= faultFrom && now < faultUntil {
			took *= slowdown
		}
		free[i] = max(free[i], now) + took
		if free[i]-now <= attemptLimit {
			at(free[i]+tick, step{})
			return
		}
		at(now+attemptLimit, step{failed: request.OutcomeUnknown, attempt: s.attempt, deadline: s.deadline})
	}
	for now := time.Duration(0); now < modelFor; now += tick {
		mean := offeredLoad * replicas * float64(tick) / float64(service)
		for sum := rng.ExpFloat64(); sum < mean; sum += rng.ExpFloat64() {
			c.arrivals[now/bin]++
			dispatch(now, step{attempt: 1, deadline: epoch.Add(now + answerIn)})
		}
		for _, s := range steps[now/tick] {
			switch {
			case s.dispatch:
				dispatch(now, s)
			case s.failed == "":
				success()
				c.answers[now/bin]++
			default:
				failure := Failure{Outcome: s.failed, Idempotent: true, Attempt: s.attempt, Deadline: s.deadline, Needs: service}
				if d, ok := decide(epoch.Add(now), failure).(Retry); ok {
					at(now+d.After+tick, step{dispatch: true, attempt: s.attempt + 1, deadline: s.deadline})
				}
			}
		}
	}
	return c
}

// TestBrownout slows a third of the replicas down. The budget bounds the extra
// dispatches, and after as long as the fault took, the goodput of before is back.
func TestBrownout(t *testing.T) {
	for seed := uint64(1); seed <= *seeds; seed++ {
		rng := rand.New(rand.NewPCG(seed, 4))
		budget := New(rng, Policy{})
		unbounded := New(rng, Policy{Reserve: 1e12})
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
			{"budget", budget.Decide, budget.Success},
		}
		for _, p := range policies {
			c := simulate(p.decide, p.success, seed)
			extra := float64(during(c.dispatches))/float64(during(c.arrivals)) - 1
			t.Logf("| %d | %s | %.1f %% | %v |", seed, p.name, 100*extra, percent(c))
			if p.name != "budget" {
				continue
			}
			allowed := DefaultShare*float64(during(c.answers)) + DefaultReserve
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
