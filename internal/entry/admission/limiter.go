package admission

import (
	"math"
	"slices"
	"time"
)

// Targets of latency and constants of the Limiter.
const (
	// TargetFirstToken and TargetTokenGap are the 95th percentiles to keep.
	TargetFirstToken = 1600 * time.Millisecond
	TargetTokenGap   = 78 * time.Millisecond

	limiterWindow     = time.Second
	limiterMinSamples = 20
	limiterMaxSamples = 512
	limiterDecrease   = 0.85
	limiterQuantile   = 0.95
	// limiterUsed is the part of the limit that must have been in use before it grows.
	limiterUsed = 0.8
)

// Limiter adapts the concurrency of one replica: additive increase while the 95th
// percentiles of first-token time and token gap are within their targets,
// multiplicative decrease when one is over (AIMD, Chiu and Jain 1989; on latency as
// in the concurrency-limits library of Netflix). Create it with NewLimiter.
type Limiter struct {
	limit    float64
	min, max float64
	peak     int
	begun    time.Time
	first    []time.Duration
	gaps     []time.Duration
	// holdUntil keeps requests of before a decrease from causing another one.
	holdUntil time.Time
}

// NewLimiter returns a Limiter for a replica that decodes capacity requests at once.
func NewLimiter(capacity int) *Limiter {
	capacity = max(1, capacity)
	return &Limiter{limit: float64(capacity), min: 1, max: 2 * float64(capacity)}
}

// Limit returns how many own requests may run on the replica at once.
func (l *Limiter) Limit() int { return int(math.Floor(l.limit)) }

// Started records that a request was dispatched while inFlight others ran.
func (l *Limiter) Started(inFlight int) { l.peak = max(l.peak, inFlight+1) }

// FirstToken records a time to first token, counted from the dispatch.
func (l *Limiter) FirstToken(now time.Time, ttft time.Duration) {
	l.first = sample(l.first, ttft)
	l.adapt(now)
}

// TokenGap records the mean gap between the tokens of one answer.
func (l *Limiter) TokenGap(now time.Time, gap time.Duration) {
	l.gaps = sample(l.gaps, gap)
	l.adapt(now)
}

func sample(samples []time.Duration, d time.Duration) []time.Duration {
	if len(samples) >= limiterMaxSamples {
		return samples
	}
	return append(samples, d)
}

func (l *Limiter) adapt(now time.Time) {
	if l.begun.IsZero() {
		l.begun = now
	}
	if now.Sub(l.begun) < limiterWindow || len(l.first)+len(l.gaps) < limiterMinSamples {
		return
	}
	over := quantile(l.first) > TargetFirstToken || quantile(l.gaps) > TargetTokenGap
	switch {
	case over && !now.Before(l.holdUntil):
		l.limit = max(l.min, l.limit*limiterDecrease)
		l.holdUntil = now.Add(TargetFirstToken)
	case !over && float64(l.peak) >= limiterUsed*l.limit:
		l.limit = min(l.max, l.limit+1)
	}
	l.begun, l.peak = now, 0
	l.first, l.gaps = l.first[:0], l.gaps[:0]
}

func quantile(samples []time.Duration) time.Duration {
	if len(samples) == 0 {
		return 0
	}
	slices.Sort(samples)
	return samples[int(limiterQuantile*float64(len(samples)-1))]
}
