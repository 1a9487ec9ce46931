package placement

import (
	"math"
	"time"
)

// ReturnModel is the distribution of a silent host's absence: a mixture of two
// exponentials, one for restarts and pauses and one for faults that need repair.
type ReturnModel struct {
	// ShortShare is the share of short absences, from 0 to 1.
	ShortShare float64
	ShortMean  time.Duration
	LongMean   time.Duration
}

// shares returns the shares of short and long absences that last past silent.
func (m ReturnModel) shares(silent time.Duration) (short, long float64) {
	short = m.ShortShare * math.Exp(-silent.Seconds()/m.ShortMean.Seconds())
	long = (1 - m.ShortShare) * math.Exp(-silent.Seconds()/m.LongMean.Seconds())
	return short, long
}

// remaining returns the expected time to the return of a host silent for that long.
func (m ReturnModel) remaining(silent time.Duration) time.Duration {
	short, long := m.shares(silent)
	if short+long == 0 {
		return m.LongMean
	}
	mean := (short*m.ShortMean.Seconds() + long*m.LongMean.Seconds()) / (short + long)
	return seconds(mean)
}

// hold returns the silence from which rebuilding is better than waiting.
//
// Waiting one more second pays while the return rate times what a return saves is
// above 1. The rate of the mixture falls with time, so this rule is optimal
// (optimal stopping under a decreasing hazard rate). The crossing has a closed form.
func (m ReturnModel) hold(saved time.Duration) time.Duration {
	if saved <= 0 {
		return 0
	}
	wanted := 1 / saved.Seconds()
	short := 1 / m.ShortMean.Seconds()
	long := 1 / m.LongMean.Seconds()
	if wanted >= short {
		return 0
	}
	if wanted <= long {
		return m.LongMean
	}
	ratio := m.ShortShare * (short - wanted) / ((1 - m.ShortShare) * (wanted - long))
	if ratio <= 1 {
		return 0
	}
	return seconds(math.Log(ratio) / (short - long))
}

// seconds turns a number of seconds into a duration.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
