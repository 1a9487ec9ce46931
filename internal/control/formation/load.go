package formation

import "time"

// loadBurst is how many loads may start at one moment: the members of one replica of
// common size beside a spare or two.
const loadBurst = 6

// loadLimit keeps the starts of loads from the weight store below a rate. The zero value
// with a rate is full.
type loadLimit struct {
	// rate is loads a second.
	rate float64
	// spent is how many loads are ahead of the rate, as of at.
	spent float64
	at    time.Time
}

func (l *loadLimit) settle(now time.Time) {
	l.spent = max(0, l.spent-l.rate*now.Sub(l.at).Seconds())
	l.at = now
}

// room reports whether n loads may start now. More than the burst may start at once
// only when none has started for a while.
func (l *loadLimit) room(now time.Time, n int) bool {
	l.settle(now)
	return l.spent == 0 || l.spent+float64(n) <= loadBurst
}

// take counts n starts.
func (l *loadLimit) take(now time.Time, n int) {
	l.settle(now)
	l.spent += float64(n)
}
