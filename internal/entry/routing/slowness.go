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

func (a *average) valueOr(fallback float64) float64 {
	if !a.set {
		return fallback
	}
	return a.value
}

// slowness tracks the ratio of observed to predicted times to first token. Its weight
// decays to a half within slownessHalfLife, so that a replica that has recovered is
// tried again.
type slowness struct {
	logRatio float64
	at       time.Time
}

const (
	slownessHalfLife = 10 * time.Second
	slownessWeight   = 0.2
	maxSlowness      = 16.0
	// slownessOffset is added to both times, so that short times do not give large
	// ratios.
	slownessOffset = 100 * time.Millisecond
)

func (s *slowness) add(now time.Time, observed, predicted time.Duration) {
	ratio := float64(observed+slownessOffset) / float64(predicted+slownessOffset)
	sample := math.Log(min(maxSlowness, max(1/maxSlowness, ratio)))
	previous := s.decayed(now)
	s.logRatio = previous + slownessWeight*(sample-previous)
	s.at = now
}

func (s *slowness) decayed(now time.Time) float64 {
	if s.logRatio == 0 {
		return 0
	}
	age := max(0, now.Sub(s.at))
	return s.logRatio * float64(slownessHalfLife) / float64(slownessHalfLife+age)
}

// factor returns how much slower than its group a replica is; it is at least 1.
func (s *slowness) factor(now time.Time, groupLogRatio float64) float64 {
	excess := s.decayed(now) - max(0, groupLogRatio)
	if excess <= 0 {
		return 1
	}
	return math.Exp(excess)
}

func hashID(id replica.ID) uint64 { return xxh3.HashString(string(id)) }

func sortReplicas(replicas []*replicaState) {
	slices.SortFunc(replicas, func(a, b *replicaState) int {
		return cmp.Compare(a.route.Replica.ID, b.route.Replica.ID)
	})
}
