package portal

import (
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/link/message"
)

const (
	// quarantineThreshold is the number of endpoints that must have died while they ran a request
	// before it is quarantined. A single death may be a coincidence.
	quarantineThreshold = 2
	// crashConfirmWait is how long after a suspected crash the endpoint's death may be detected.
	crashConfirmWait = 4 * time.Second
	// crashRetention is how long a crash counts, and so how long a request remains quarantined.
	crashRetention = time.Minute
)

// crashTracker finds requests that crash endpoints. The zero value is empty.
type crashTracker struct {
	// suspected holds crashes whose endpoint has not been found dead yet.
	suspected []suspectedCrash
	// crashed holds the incarnations that died under each request's fingerprint, and when.
	crashed map[uint64]map[roster.Incarnation]time.Time
}

type suspectedCrash struct {
	fingerprint uint64
	incarnation roster.Incarnation
	at          time.Time
}

// add records the crashes that a gateway suspects.
func (s *crashTracker) add(crashes []message.Crash, now time.Time) {
	for _, c := range crashes {
		s.suspected = append(s.suspected, suspectedCrash{c.Fingerprint, roster.Incarnation{ID: c.Endpoint, StartedMs: c.StartedMs}, now.Add(-c.Age)})
	}
}

// process counts the suspected crashes whose endpoint has died, and drops the old ones. It
// returns the requests that are newly quarantined.
func (s *crashTracker) process(now time.Time, dead func(roster.Incarnation) bool) []uint64 {
	var newlyQuarantined []uint64
	s.suspected = slices.DeleteFunc(s.suspected, func(c suspectedCrash) bool {
		if !dead(c.incarnation) {
			return now.Sub(c.at) > crashConfirmWait
		}
		if s.countCrash(c, now) {
			newlyQuarantined = append(newlyQuarantined, c.fingerprint)
		}
		return true
	})
	for fingerprint, incarnations := range s.crashed {
		for inc, at := range incarnations {
			if now.Sub(at) > crashRetention {
				delete(incarnations, inc)
			}
		}
		if len(incarnations) == 0 {
			delete(s.crashed, fingerprint)
		}
	}
	return newlyQuarantined
}

// countCrash counts a crash and reports whether its request is newly quarantined.
func (s *crashTracker) countCrash(c suspectedCrash, now time.Time) bool {
	if s.crashed == nil {
		s.crashed = map[uint64]map[roster.Incarnation]time.Time{}
	}
	if s.crashed[c.fingerprint] == nil {
		s.crashed[c.fingerprint] = map[roster.Incarnation]time.Time{}
	}
	before := len(s.crashed[c.fingerprint])
	s.crashed[c.fingerprint][c.incarnation] = now
	return before < quarantineThreshold && len(s.crashed[c.fingerprint]) >= quarantineThreshold
}

// quarantined returns the fingerprints of the quarantined requests.
func (s *crashTracker) quarantined() []uint64 {
	var fingerprints []uint64
	for fingerprint, incarnations := range s.crashed {
		if len(incarnations) >= quarantineThreshold {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	slices.Sort(fingerprints)
	return fingerprints
}
