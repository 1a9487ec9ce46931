package balance

import "time"

// Budget is a token bucket that bounds the retries of one gateway. It earns tokens with each
// request and with time. The zero value allows no retry.
type Budget struct {
	// Ratio is the number of retries earned by each request.
	Ratio float64
	// Allowance is the greatest number of retries saved up, with which the budget starts. Half
	// of it is earned in each Window.
	Allowance float64
	Window    time.Duration

	// tokens is the number of retries left, as of refilledAt.
	tokens     float64
	started    bool
	refilledAt time.Time
}

// Request records a caller's request.
func (b *Budget) Request(now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens+b.Ratio, b.Allowance)
}

// Repeat reports whether a request may be retried, and takes a token if so.
func (b *Budget) Repeat(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds what has been earned since the last call.
func (b *Budget) refill(now time.Time) {
	if !b.started {
		b.started, b.tokens, b.refilledAt = true, b.Allowance, now
		return
	}
	if b.Window > 0 {
		b.tokens = min(b.Allowance, b.tokens+b.Allowance/2*float64(now.Sub(b.refilledAt))/float64(b.Window))
	}
	b.refilledAt = now
}
