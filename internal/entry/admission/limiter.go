package admission

import (
	"math"
	"slices"
	"time"
)

// Targets of latency and constants of the Limiter.
const (
	// TargetTTFT and TargetTokenGap are the 95th percentiles to keep.
	TargetTTFT     = 1600 * time.Millisecond
	TargetTokenGap = 78 * time.Millisecond

	limiterWindow     = time.Second
	limiterMinSamples = 20
	limiterMaxSamples = 512
	limiterDecrease   = 0.85
	limiterQuantile   = 0.95
	// limiterAim is the part of a target at which the limit stops growing, since it
	// swings around that point.
	limiterAim = 0.9
	// limiterHelped is the part of a token gap that limiterTries decreases must have
	// brought it below to have helped.
	limiterHelped = 0.96
	limiterTries  = 3
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
	// settling says that more run than a decrease allows; till they have ended, their
	// latency says nothing of the new limit.
	settling bool
	// lowered are the decreases since the limit last grew, held that they did not help.
	lowered decreases
	held    bool
}

// decreases are some decreases of the limit in a row.
type decreases struct {
	count int
	// from is the limit before the first one, and gap the token gap that led to it.
	from float64
	gap  time.Duration
}

// futile reports whether the token gap has not become shorter by them.
func (d decreases) futile(gap time.Duration) bool {
	return d.count >= limiterTries && float64(gap) >= limiterHelped*float64(d.gap)
}

// NewLimiter returns a Limiter for a replica that decodes capacity requests at once.
func NewLimiter(capacity int) *Limiter {
	capacity = max(1, capacity)
	return &Limiter{limit: max(1, float64(capacity)/2), min: 1, max: 2 * float64(capacity)}
}

// Limit returns how many own requests may run on the replica at once.
func (l *Limiter) Limit() int { return int(math.Floor(l.limit)) }

// Started records that a request was dispatched; inFlight are the own requests that
// run on the replica now, with this one.
func (l *Limiter) Started(inFlight int) {
	l.peak = max(l.peak, inFlight)
	if l.settling && inFlight <= l.Limit() {
		l.settling = false
		l.begun = time.Time{}
	}
}

// FirstToken records a time to first token, counted from the dispatch.
func (l *Limiter) FirstToken(now time.Time, ttft time.Duration) {
	l.first = sample(l.first, ttft)
	l.adapt(now)
}

// TokenGap records the mean gap between the last few tokens of a stream. It should
// be given about each 16 tokens: at the end of an answer it comes too late to steer by.
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
		l.restart(now)
	}
	if l.settling || now.Sub(l.begun) < limiterWindow || len(l.first)+len(l.gaps) < limiterMinSamples {
		return
	}
	first, gap := quantile(l.first), quantile(l.gaps)
	switch {
	case first > TargetTTFT || gap > TargetTokenGap:
		l.decrease(gap)
	case beyond(first, TargetTTFT) || beyond(gap, TargetTokenGap):
		l.approach(gap)
	case float64(l.peak) >= limiterUsed*l.limit:
		l.limit = min(l.max, l.limit+1)
		l.lowered, l.held = decreases{}, false
	}
	l.restart(now)
}

func (l *Limiter) decrease(gap time.Duration) {
	if l.lowered.count == 0 {
		l.lowered = decreases{from: l.limit, gap: gap}
	}
	l.lowered.count++
	l.held = false
	l.limit = max(l.min, l.limit*limiterDecrease)
	l.settling = true
}

// approach decides when a percentile is close to its target and not over it. An engine whose
// own pace is there gets its limit back, as fewer requests do not quicken it.
func (l *Limiter) approach(gap time.Duration) {
	switch {
	case l.held:
	case l.lowered.futile(gap):
		l.limit, l.held = l.lowered.from, true
	default:
		l.decrease(gap)
	}
}

func (l *Limiter) restart(now time.Time) {
	l.begun, l.peak = now, 0
	l.first, l.gaps = l.first[:0], l.gaps[:0]
}

func beyond(value, target time.Duration) bool {
	return value > time.Duration(limiterAim*float64(target))
}

func quantile(samples []time.Duration) time.Duration {
	if len(samples) == 0 {
		return 0
	}
	slices.Sort(samples)
	return samples[int(limiterQuantile*float64(len(samples)-1))]
}
