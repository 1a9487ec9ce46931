package balance

import "time"

// Budget bounds the requests that one gateway sends a second time: a share of the
// requests that it takes, and an allowance. The zero value allows nothing.
type Budget struct {
	// Ratio is the repeats for each request.
	Ratio float64
	// Allowance is how many repeats are saved up at most, and what comes back in Window.
	Allowance float64
	Window    time.Duration

	saved float64
	began bool
	at    time.Time
}

// Request counts a caller's request.
func (b *Budget) Request(now time.Time) {
	b.settle(now)
	b.saved = min(b.saved+b.Ratio, b.Allowance)
}

// Repeat reports whether a request may be sent once more, and counts it if so.
func (b *Budget) Repeat(now time.Time) bool {
	b.settle(now)
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

func (b *Budget) settle(now time.Time) {
	if !b.began {
		b.began, b.saved, b.at = true, b.Allowance, now
		return
	}
	if b.Window > 0 {
		b.saved = min(b.Allowance, b.saved+b.Allowance/2*float64(now.Sub(b.at))/float64(b.Window))
	}
	b.at = now
}
