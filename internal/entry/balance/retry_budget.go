package balance

import "time"

// RetryBudget is a token bucket that bounds the retries of one gateway. It earns tokens with
// each request and with time. The zero value allows no retry.
type RetryBudget struct {
	// Ratio is the number of retries earned by each request.
	Ratio float64
	// Burst is the greatest number of accumulated retries, with which the budget starts. Half of it
	// is earned in each Window.
	Burst  float64
	Window time.Duration

	// tokens is the number of retries left, as of refilledAt.
	tokens     float64
	started    bool
	refilledAt time.Time
}

// AddRequest records a caller's request.
func (b *RetryBudget) AddRequest(now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens+b.Ratio, b.Burst)
}

// Allows reports whether TryRetry would return true.
func (b *RetryBudget) Allows(now time.Time) bool {
	b.refill(now)
	return b.tokens >= 1
}

// TryRetry reports whether a request may be retried, and takes a token if so.
func (b *RetryBudget) TryRetry(now time.Time) bool {
	if !b.Allows(now) {
		return false
	}
	b.tokens--
	return true
}

// refill adds what has been earned since the last call.
func (b *RetryBudget) refill(now time.Time) {
	if !b.started {
		b.started, b.tokens, b.refilledAt = true, b.Burst, now
		return
	}
	if b.Window > 0 {
		b.tokens = min(b.Burst, b.tokens+b.Burst/2*float64(now.Sub(b.refilledAt))/float64(b.Window))
	}
	b.refilledAt = now
}
