// Package suspicion tells an entry which request bodies may crash engines.
//
// The fleet-wide word is control's quarantine, which reaches the entry with its
// view. A Tracker adds what the entry has seen itself since, so that a caller that
// resends at once meets it, and tells which attempts in flight are to be revoked.
//
// The package holds no clock, goroutine or lock: the caller gives the time and
// serialises the calls.
package suspicion

import (
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/view"
)

// LocalTTL is how long the entry's own word on a body holds without control's.
const LocalTTL = time.Minute

// RetryAfterCrash is how long a body that was in flight at a crash should wait before
// it runs again as a suspect, and its caller for a failure, so that all entries know
// of the crash by then.
const RetryAfterCrash = 250 * time.Millisecond

// maxLocal bounds the bodies on which the entry keeps its own word.
const maxLocal = 8192

// Verdict is what may be done with a body. It is one of Free, Suspect and Quarantined.
type Verdict interface {
	verdict()
}

// Allowed says that the body runs like any other.
type Allowed struct{}

// Suspect says that the body may run only where no other suspect runs.
type Suspect struct{}

// Quarantined says that the body may not run.
type Quarantined struct {
	// RetryAfter is the rest of the quarantine.
	RetryAfter time.Duration
}

func (Allowed) verdict() {}

func (Suspect) verdict() {}

func (Quarantined) verdict() {}

// crashKey tells one crash from another, as far as an entry can.
type crashKey struct {
	replica replica.ID
	fence   replica.Fence
}

// local is the entry's own word on a body.
type local struct {
	crashes map[crashKey]bool
	until   time.Time
}

// Tracker holds the verdicts and the bodies in flight at one entry. Create it with New.
type Tracker struct {
	fleet   map[uint64]view.Quarantine
	local   map[uint64]*local
	running map[uint64][]flight
}

// flight is one dispatch of a body.
type flight struct {
	replica replica.ID
	suspect bool
}

// New returns a Tracker that suspects nothing.
func New() *Tracker {
	return &Tracker{
		fleet:   make(map[uint64]view.Quarantine),
		local:   make(map[uint64]*local),
		running: make(map[uint64][]flight),
	}
}

// SetView replaces control's word. What an operator has cleared is free as soon as
// the entry's own word has run out too.
func (t *Tracker) SetView(now time.Time, entries []view.Quarantine) {
	clear(t.fleet)
	for _, q := range entries {
		t.fleet[q.BodyHash] = q
	}
	t.expire(now)
}

// Check returns what may be done with a body.
func (t *Tracker) Check(now time.Time, hash uint64) Verdict {
	q, listed := t.fleet[hash]
	left := time.UnixMilli(q.ExpiresUnixMs).Sub(now)
	if listed && !q.Suspect && left > 0 {
		return Quarantined{RetryAfter: left}
	}
	l := t.local[hash]
	seen := 0
	if l != nil && l.until.After(now) {
		seen = len(l.crashes)
	}
	switch {
	case seen >= 2:
		return Quarantined{RetryAfter: l.until.Sub(now)}
	case seen == 1, listed:
		return Suspect{}
	default:
		return Allowed{}
	}
}

// Crashed records that a body was in flight where an engine crashed. Attempts that
// end by the same crash count once.
func (t *Tracker) Crashed(now time.Time, hash uint64, id replica.ID, fence replica.Fence) {
	l := t.local[hash]
	if l == nil {
		if len(t.local) >= maxLocal {
			t.expire(now)
		}
		if len(t.local) >= maxLocal {
			return
		}
		l = &local{crashes: make(map[crashKey]bool)}
		t.local[hash] = l
	}
	l.crashes[crashKey{id, fence}] = true
	l.until = now.Add(LocalTTL)
}

// Completed clears a suspect that has run to its end as a suspect, and reports
// whether control is to be told (message.SuspectsCleared).
func (t *Tracker) Completed(hash uint64) bool {
	if l := t.local[hash]; l != nil && len(l.crashes) < 2 {
		delete(t.local, hash)
	}
	q, listed := t.fleet[hash]
	if listed && q.Suspect {
		delete(t.fleet, hash)
		return true
	}
	return false
}

// Begin records that a body was dispatched to a replica, as a suspect or not.
func (t *Tracker) Begin(hash uint64, id replica.ID, suspect bool) {
	t.running[hash] = append(t.running[hash], flight{replica: id, suspect: suspect})
}

// End records that a dispatch of a body ended.
func (t *Tracker) End(hash uint64, id replica.ID, suspect bool) {
	running := t.running[hash]
	if i := slices.Index(running, flight{replica: id, suspect: suspect}); i >= 0 {
		running = slices.Delete(running, i, i+1)
	}
	if len(running) == 0 {
		delete(t.running, hash)
		return
	}
	t.running[hash] = running
}

// Revoked returns the bodies in flight that may no longer run as they do: freely
// though suspect, or at all though quarantined, since a copy was in flight at a crash
// elsewhere. The caller should cancel those attempts that are idempotent and offer
// them again. To be asked after SetView and Crashed.
func (t *Tracker) Revoked(now time.Time) []uint64 {
	var out []uint64
	for hash, running := range t.running {
		if t.revoked(now, hash, running) {
			out = append(out, hash)
		}
	}
	slices.Sort(out)
	return out
}

func (t *Tracker) revoked(now time.Time, hash uint64, running []flight) bool {
	switch t.Check(now, hash).(type) {
	case Quarantined:
		return true
	case Suspect:
		return slices.ContainsFunc(running, func(f flight) bool { return !f.suspect })
	default:
		return false
	}
}

func (t *Tracker) expire(now time.Time) {
	for hash, l := range t.local {
		if !l.until.After(now) {
			delete(t.local, hash)
		}
	}
}
