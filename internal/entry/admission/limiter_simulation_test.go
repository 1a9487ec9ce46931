package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/standin/enginesim"
)

// saturate keeps one engine as busy as the limits of three entries allow. It returns
// the 95th percentiles of the time to first token and of the token gap, and the tokens
// per second, all measured after the first 30 seconds.
func saturate(seed uint64, newLimiter func(capacity int) *Limiter) (first, gap time.Duration, rate float64) {
	const (
		from, until = 30 * time.Second, 150 * time.Second
		entries     = 3
		output      = 150
	)
	rng := rand.New(rand.NewPCG(seed, 9))
	config := enginesim.DefaultConfig()
	config.Slots = 128
	var t enginesim.Timeline
	engine := enginesim.New(&t, config)
	clock := func() time.Time { return epoch.Add(t.Now()) }
	var firsts, gaps []time.Duration
	tokens := 0
	for range entries {
		limiter, inFlight := newLimiter(config.Slots/entries), 0
		var fill func()
		fill = func() {
			for inFlight < limiter.Limit() {
				inFlight++
				limiter.Started(inFlight)
				began := t.Now()
				var started, last time.Duration
				job := &enginesim.Job{PromptTokens: 200 + rng.IntN(800), OutputTokens: 50 + rng.IntN(250)}
				job.FirstToken = func() {
					started, last = t.Now(), t.Now()
					limiter.FirstToken(clock(), started-began)
					if t.Now() > from {
						firsts = append(firsts, started-began)
					}
				}
				job.Progress = func() {
					since := (t.Now() - last) / enginesim.ProgressTokens
					last = t.Now()
					limiter.TokenGap(clock(), since)
					if t.Now() > from {
						gaps = append(gaps, since)
					}
				}
				job.Done = func() {
					inFlight--
					if t.Now() > from {
						tokens += job.OutputTokens
					}
					t.After(0, fill)
				}
				engine.Submit(job)
			}
		}
		t.After(time.Duration(rng.Int64N(int64(time.Second))), fill)
	}
	t.RunUntil(until)
	slices.Sort(firsts)
	slices.Sort(gaps)
	return firsts[len(firsts)*95/100], gaps[len(gaps)*95/100], float64(tokens) / (until - from).Seconds()
}

// TestLimiterKeepsTargets offers more load than the engine can serve within the
// targets. The adaptive limit must keep the targets, with at least 90 % of the token
// rate of the best fixed limit that keeps them.
func TestLimiterKeepsTargets(t *testing.T) {
	fixed := func(limit float64) func(int) *Limiter {
		return func(int) *Limiter { return &Limiter{limit: limit, min: limit, max: limit} }
	}
	for seed := uint64(1); seed <= *seeds; seed++ {
		best := 0.0
		for _, limit := range []float64{4, 8, 12, 16, 20, 24, 32, 42} {
			first, gap, rate := saturate(seed, fixed(limit))
			t.Logf("| %d | fixed %v | %d | %d | %.0f |", seed, limit, first.Milliseconds(), gap.Milliseconds(), rate)
			if first <= TargetTTFT && gap <= TargetTokenGap {
				best = max(best, rate)
			}
		}
		first, gap, rate := saturate(seed, NewLimiter)
		t.Logf("| %d | adaptive | %d | %d | %.0f |", seed, first.Milliseconds(), gap.Milliseconds(), rate)
		require.LessOrEqual(t, first, TargetTTFT, "seed %d", seed)
		require.LessOrEqual(t, gap, TargetTokenGap, "seed %d", seed)
		require.GreaterOrEqual(t, rate, 0.9*best, "seed %d", seed)
	}
}
