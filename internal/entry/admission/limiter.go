package admission

import (
	"math"
	"slices"
	"time"
)

// Latency targets and parameters of the Limiter.
const (
	// TargetTTFT and TargetTokenGap are the limits for the 95th percentiles of the time
	// to first token and of the gap between tokens.
	TargetTTFT     = 1600 * time.Millisecond
	TargetTokenGap = 78 * time.Millisecond

	limiterWindow     = time.Second
	limiterMinSamples = 20
	limiterMaxSamples = 512
	limiterDecrease   = 0.85
	limiterQuantile   = 0.95
	// limiterNearTarget is the part of a target above which the limit no longer grows,
	// and shrinks if that shortens the token gap. The limit oscillates around that
	// point.
	limiterNearTarget = 0.9
	// Decreases have helped if the token gap has fallen below the part limiterHelpfulRatio of its
	// value before them. They are reverted as futile after limiterFutileDecreases in a row.
	limiterHelpfulRatio    = 0.96
	limiterFutileDecreases = 3
	// limiterMinUtilisation is the part of the limit that must have been in use before
	// it grows.
	limiterMinUtilisation = 0.8
)

// Limiter adapts the concurrency of one replica to its latency. The limit increases by
// one while the 95th percentiles of time to first token and token gap are well within
// their targets, and is decreased by a factor when one is close to its target or over
// it (AIMD, Chiu and Jain 1989; on latency as in Netflix's concurrency-limits library).
// Create it with NewLimiter.
type Limiter struct {
	limit        float64
	min, max     float64
	peakInFlight int
	windowStart  time.Time
	ttfts        []time.Duration
	tokenGaps    []time.Duration
	// settling is set while more requests run than a decrease allows. Until these have
	// ended, their latency does not reflect the new limit.
	settling bool
	// decreases are the decreases since the limit last grew; decreasesFutile is set if
	// they did not help.
	decreases       decreaseSeries
	decreasesFutile bool
}

// decreaseSeries is a series of decreases of the limit.
type decreaseSeries struct {
	count int
	// limitBefore is the limit before the first decrease, and gapBefore the token gap
	// that led to it.
	limitBefore float64
	gapBefore   time.Duration
}

// futile reports whether the decreases have not shortened the token gap.
func (d decreaseSeries) futile(gap time.Duration) bool {
	return d.count >= limiterFutileDecreases && float64(gap) >= limiterHelpfulRatio*float64(d.gapBefore)
}

// NewLimiter returns a Limiter for a replica that can decode capacity requests at once.
func NewLimiter(capacity int) *Limiter {
	capacity = max(1, capacity)
	return &Limiter{limit: max(1, float64(capacity)/2), min: 1, max: 2 * float64(capacity)}
}

// Limit returns how many requests of this entry may run on the replica at once.
func (l *Limiter) Limit() int { return int(math.Floor(l.limit)) }

// Started records the dispatch of a request. inFlight is the number of requests of this
// entry that now run on the replica, including this one.
func (l *Limiter) Started(inFlight int) {
	l.peakInFlight = max(l.peakInFlight, inFlight)
	if l.settling && inFlight <= l.Limit() {
		l.settling = false
		l.windowStart = time.Time{}
	}
}

// FirstToken records a time to first token, counted from the dispatch.
func (l *Limiter) FirstToken(now time.Time, ttft time.Duration) {
	l.ttfts = addSample(l.ttfts, ttft)
	l.adapt(now)
}

// TokenGap records the mean gap between the last few tokens of a stream. It should be
// called about every 16 tokens, since a sample at the end of the response comes too
// late to adapt the limit.
func (l *Limiter) TokenGap(now time.Time, gap time.Duration) {
	l.tokenGaps = addSample(l.tokenGaps, gap)
	l.adapt(now)
}

func addSample(samples []time.Duration, d time.Duration) []time.Duration {
	if len(samples) >= limiterMaxSamples {
		return samples
	}
	return append(samples, d)
}

func (l *Limiter) adapt(now time.Time) {
	if l.windowStart.IsZero() {
		l.restartWindow(now)
	}
	if l.settling || now.Sub(l.windowStart) < limiterWindow || len(l.ttfts)+len(l.tokenGaps) < limiterMinSamples {
		return
	}
	ttft, gap := quantile(l.ttfts), quantile(l.tokenGaps)
	switch {
	case ttft > TargetTTFT || gap > TargetTokenGap:
		l.decrease(gap)
	case nearTarget(ttft, TargetTTFT) || nearTarget(gap, TargetTokenGap):
		l.adaptNearTarget(gap)
	case float64(l.peakInFlight) >= limiterMinUtilisation*l.limit:
		l.limit = min(l.max, l.limit+1)
		l.decreases, l.decreasesFutile = decreaseSeries{}, false
	}
	l.restartWindow(now)
}

func (l *Limiter) decrease(gap time.Duration) {
	if l.decreases.count == 0 {
		l.decreases = decreaseSeries{limitBefore: l.limit, gapBefore: gap}
	}
	l.decreases.count++
	l.decreasesFutile = false
	l.limit = max(l.min, l.limit*limiterDecrease)
	l.settling = true
}

// adaptNearTarget handles a percentile that is close to its target but not over it. If decreases
// have not helped, the engine itself is the cause of the latency, so its former limit is restored.
func (l *Limiter) adaptNearTarget(gap time.Duration) {
	switch {
	case l.decreasesFutile:
	case l.decreases.futile(gap):
		l.limit, l.decreasesFutile = l.decreases.limitBefore, true
	default:
		l.decrease(gap)
	}
}

func (l *Limiter) restartWindow(now time.Time) {
	l.windowStart, l.peakInFlight = now, 0
	l.ttfts, l.tokenGaps = l.ttfts[:0], l.tokenGaps[:0]
}

func nearTarget(value, target time.Duration) bool {
	return value > time.Duration(limiterNearTarget*float64(target))
}

func quantile(samples []time.Duration) time.Duration {
	if len(samples) == 0 {
		return 0
	}
	slices.Sort(samples)
	return samples[int(limiterQuantile*float64(len(samples)-1))]
}
