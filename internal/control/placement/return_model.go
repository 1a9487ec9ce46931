package placement

import (
	"math"
	"time"
)

// ReturnModel is the distribution of the time that a lost host is away: a mixture of
// two exponential distributions, one for restarts and pauses and one for faults that
// need repair.
type ReturnModel struct {
	// ShortShare is the share of short absences, from 0 to 1.
	ShortShare float64
	ShortMean  time.Duration
	LongMean   time.Duration
}

// remainingShares returns the shares of all absences that are short or long ones and
// last longer than lostFor.
func (m ReturnModel) remainingShares(lostFor time.Duration) (short, long float64) {
	short = m.ShortShare * math.Exp(-lostFor.Seconds()/m.ShortMean.Seconds())
	long = (1 - m.ShortShare) * math.Exp(-lostFor.Seconds()/m.LongMean.Seconds())
	return short, long
}

// expectedAbsence returns the expected remaining time until a host returns that has
// been lost for lostFor.
func (m ReturnModel) expectedAbsence(lostFor time.Duration) time.Duration {
	short, long := m.remainingShares(lostFor)
	if short+long == 0 {
		return m.LongMean
	}
	mean := (short*m.ShortMean.Seconds() + long*m.LongMean.Seconds()) / (short + long)
	return seconds(mean)
}

// hold returns the absence from which rebuilding is better than waiting, where saved
// is the load time that the host's return saves.
//
// Waiting one more second pays off while the return rate times saved is above 1. The
// hazard rate of the mixture decreases with time, so this rule is optimal (optimal
// stopping under a decreasing hazard rate). The time at which the product falls to 1
// has a closed form.
func (m ReturnModel) hold(saved time.Duration) time.Duration {
	if saved <= 0 {
		return 0
	}
	threshold := 1 / saved.Seconds()
	shortRate := 1 / m.ShortMean.Seconds()
	longRate := 1 / m.LongMean.Seconds()
	if threshold >= shortRate {
		return 0
	}
	if threshold <= longRate {
		return m.LongMean
	}
	ratio := m.ShortShare * (shortRate - threshold) / ((1 - m.ShortShare) * (threshold - longRate))
	if ratio <= 1 {
		return 0
	}
	return seconds(math.Log(ratio) / (shortRate - longRate))
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
