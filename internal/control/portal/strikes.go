package portal

import (
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/link/message"
)

const (
	// strikesOut is how many endpoints must have died under a request before it is held
	// back: one death may be a coincidence.
	strikesOut = 2
	// strikeWait is how long a death may take to show.
	strikeWait = 4 * time.Second
	// strikeLife is how long a death under a request counts, and how long it is held back.
	strikeLife = time.Minute
)

// strikes finds the requests under which endpoints die. The zero value is empty.
type strikes struct {
	// suspected wait for the death of their endpoint to show.
	suspected []suspicion
	// deaths are the lives that ended under each request, and when.
	deaths map[uint64]map[roster.Incarnation]time.Time
}

type suspicion struct {
	fingerprint uint64
	life        roster.Incarnation
	at          time.Time
}

// take adds what a gateway suspects.
func (s *strikes) take(crashes []message.Crash, now time.Time) {
	for _, c := range crashes {
		s.suspected = append(s.suspected, suspicion{c.Fingerprint, roster.Incarnation{ID: c.Endpoint, StartedMs: c.StartedMs}, now.Add(-c.Age)})
	}
}

// settle counts the suspicions whose endpoint has died, and drops the old ones. It returns
// the requests that are held back from now on.
func (s *strikes) settle(now time.Time, dead func(roster.Incarnation) bool) []uint64 {
	var out []uint64
	s.suspected = slices.DeleteFunc(s.suspected, func(c suspicion) bool {
		if !dead(c.life) {
			return now.Sub(c.at) > strikeWait
		}
		if s.count(c, now) {
			out = append(out, c.fingerprint)
		}
		return true
	})
	for fingerprint, lives := range s.deaths {
		for l, at := range lives {
			if now.Sub(at) > strikeLife {
				delete(lives, l)
			}
		}
		if len(lives) == 0 {
			delete(s.deaths, fingerprint)
		}
	}
	return out
}

// count adds a death and reports whether the request is held back from now on.
func (s *strikes) count(c suspicion, now time.Time) bool {
	if s.deaths == nil {
		s.deaths = map[uint64]map[roster.Incarnation]time.Time{}
	}
	if s.deaths[c.fingerprint] == nil {
		s.deaths[c.fingerprint] = map[roster.Incarnation]time.Time{}
	}
	before := len(s.deaths[c.fingerprint])
	s.deaths[c.fingerprint][c.life] = now
	return before < strikesOut && len(s.deaths[c.fingerprint]) >= strikesOut
}

// held returns the requests that are held back.
func (s *strikes) held() []uint64 {
	var held []uint64
	for fingerprint, lives := range s.deaths {
		if len(lives) >= strikesOut {
			held = append(held, fingerprint)
		}
	}
	slices.Sort(held)
	return held
}
