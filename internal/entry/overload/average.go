package overload

import (
	"math"
	"time"
)

// rate is a moving average of events a second with a time constant, as of at.
type rate struct {
	perSecond float64
	at        time.Time
}

// add counts one event.
func (r *rate) add(now time.Time, constant time.Duration) {
	r.perSecond = r.current(now, constant) + 1/constant.Seconds()
	r.at = now
}

// current returns the average at now.
func (r *rate) current(now time.Time, constant time.Duration) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.perSecond * math.Exp(-max(0, now.Sub(r.at).Seconds())/constant.Seconds())
}

// level is a moving average of a value that is observed at irregular intervals, as of at.
type level struct {
	value float64
	at    time.Time
}

// observe adds a value.
func (l *level) observe(value float64, now time.Time, constant time.Duration) {
	if l.at.IsZero() {
		l.value, l.at = value, now
		return
	}
	weight := 1 - math.Exp(-max(0, now.Sub(l.at).Seconds())/constant.Seconds())
	l.value += (value - l.value) * weight
	l.at = now
}
