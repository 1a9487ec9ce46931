package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/egretreach/egretreach/internal/fleet/replica"
)

// average is an exponentially weighted moving average.
type average struct {
	value float64
	set   bool
}

const averageWeight = 0.1

func (a *average) add(value float64) {
	if !a.set {
		a.value, a.set = value, true
		return
	}
	a.value += averageWeight * (value - a.value)
}

func (a *average) or(fallback float64) float64 {
	if !a.set {
		return fallback
	}
	return a.value
}

// slowness follows how far first tokens come behind their prediction. The memory
// halves every slowHalfLife, so that a replica which recovered is tried again.
type slowness struct {
	log float64
	at  time.Time
}

const (
	slowHalfLife = 10 * time.Second
	slowWeight   = 0.2
	slowMax      = 16.0
	// slowFloor is added to both times, so that short ones do not give large ratios.
	slowFloor = 100 * time.Millisecond
)

func (s *slowness) add(now time.Time, observed, predicted time.Duration) {
	ratio := float64(observed+slowFloor) / float64(predicted+slowFloor)
	sample := math.Log(min(slowMax, max(1/slowMax, ratio)))
	past := s.decayed(now)
	s.log = past + slowWeight*(sample-past)
	s.at = now
}

func (s *slowness) decayed(now time.Time) float64 {
	if s.log == 0 {
		return 0
	}
	age := max(0, now.Sub(s.at))
	return s.log * float64(slowHalfLife) / float64(slowHalfLife+age)
}

// factor returns how much slower than its group a replica is, at least 1.
func (s *slowness) factor(now time.Time, groupLog float64) float64 {
	over := s.decayed(now) - max(0, groupLog)
	if over <= 0 {
		return 1
	}
	return math.Exp(over)
}

func seedOf(id replica.ID) uint64 { return xxh3.HashString(string(id)) }

func sortMembers(members []*state) {
	slices.SortFunc(members, func(a, b *state) int {
		return cmp.Compare(a.route.Replica.ID, b.route.Replica.ID)
	})
}
