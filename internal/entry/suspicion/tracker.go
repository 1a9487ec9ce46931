// Package suspicion tracks which request bodies an entry suspects of crashing engines.
//
// Control keeps the quarantine of the whole fleet, which reaches the entry with its view. A Tracker
// adds the crashes that the entry has observed itself, so that they apply to a caller that resends
// at once. It also reports which attempts in flight must be revoked.
//
// The package reads no clock and is not safe for concurrent use: the caller passes in the time
// and serialises the calls.
package suspicion

import (
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/view"
)

// LocalTTL is how long the entry's own record of a body is kept after the body's last crash.
const LocalTTL = time.Minute

// RetryAfterCrash is how long a body that was in flight at a crash waits before it runs again as
// a suspect, and the Retry-After of its caller if it is not retried. All entries know of the
// crash by then.
const RetryAfterCrash = 250 * time.Millisecond

// maxLocalRecords bounds the bodies of which the entry keeps its own record.
const maxLocalRecords = 8192

// Verdict says whether and how a body may run. It is one of Allowed, Suspect and Quarantined.
type Verdict interface {
	verdict()
}

// Allowed says that the body may run without restriction.
type Allowed struct{}

// Suspect says that the body may run only on a replica on which no other suspect runs.
type Suspect struct{}

// Quarantined says that the body may not run.
type Quarantined struct {
	// RetryAfter is the time until the end of the quarantine.
	RetryAfter time.Duration
}

func (Allowed) verdict() {}

func (Suspect) verdict() {}

func (Quarantined) verdict() {}

// crashKey identifies a crash, as far as an entry can distinguish crashes.
type crashKey struct {
	replica replica.ID
	fence   replica.Fence
}

// localRecord holds the crashes at which the entry had a body in flight.
type localRecord struct {
	crashes   map[crashKey]bool
	expiresAt time.Time
}

// Tracker holds the suspected bodies and the bodies in flight at one entry. Create it with New.
type Tracker struct {
	fromControl map[uint64]view.Quarantine
	local       map[uint64]*localRecord
	inFlight    map[uint64][]dispatch
}

// dispatch is a dispatch of a body to a replica.
type dispatch struct {
	replica replica.ID
	suspect bool
}

// New returns a Tracker that suspects nothing.
func New() *Tracker {
	return &Tracker{
		fromControl: make(map[uint64]view.Quarantine),
		local:       make(map[uint64]*localRecord),
		inFlight:    make(map[uint64][]dispatch),
	}
}

// SetView replaces the bodies that control suspects or has quarantined. A body that an operator
// has cleared is allowed once the entry's own record of it has expired too.
func (t *Tracker) SetView(now time.Time, entries []view.Quarantine) {
	clear(t.fromControl)
	for _, entry := range entries {
		t.fromControl[entry.BodyHash] = entry
	}
	t.expire(now)
}

// Check returns the verdict on a body. A body whose quarantine by control has ended remains a
// suspect until control no longer lists it.
func (t *Tracker) Check(now time.Time, hash uint64) Verdict {
	entry, listed := t.fromControl[hash]
	remaining := time.UnixMilli(entry.ExpiresUnixMs).Sub(now)
	if listed && !entry.Suspect && remaining > 0 {
		return Quarantined{RetryAfter: remaining}
	}
	record := t.local[hash]
	crashes := 0
	if record != nil && record.expiresAt.After(now) {
		crashes = len(record.crashes)
	}
	switch {
	case crashes >= 2:
		return Quarantined{RetryAfter: record.expiresAt.Sub(now)}
	case crashes == 1, listed:
		return Suspect{}
	default:
		return Allowed{}
	}
}

// Crashed records that a body was in flight on a replica when an engine crashed. Several
// attempts that end by the same crash count once. A new body is not recorded while there are
// maxLocalRecords already.
func (t *Tracker) Crashed(now time.Time, hash uint64, id replica.ID, fence replica.Fence) {
	record := t.local[hash]
	if record == nil {
		if len(t.local) >= maxLocalRecords {
			t.expire(now)
		}
		if len(t.local) >= maxLocalRecords {
			return
		}
		record = &localRecord{crashes: make(map[crashKey]bool)}
		t.local[hash] = record
	}
	record.crashes[crashKey{id, fence}] = true
	record.expiresAt = now.Add(LocalTTL)
}

// Completed clears a suspect that has completed a run as a suspect. It reports whether control
// must be notified (message.SuspectsCleared).
func (t *Tracker) Completed(hash uint64) bool {
	if record := t.local[hash]; record != nil && len(record.crashes) < 2 {
		delete(t.local, hash)
	}
	entry, listed := t.fromControl[hash]
	if listed && entry.Suspect {
		delete(t.fromControl, hash)
		return true
	}
	return false
}

// Begin records that a body is dispatched to a replica.
func (t *Tracker) Begin(hash uint64, id replica.ID, suspect bool) {
	t.inFlight[hash] = append(t.inFlight[hash], dispatch{replica: id, suspect: suspect})
}

// End records that a dispatch of a body has ended.
func (t *Tracker) End(hash uint64, id replica.ID, suspect bool) {
	dispatches := t.inFlight[hash]
	if i := slices.Index(dispatches, dispatch{replica: id, suspect: suspect}); i >= 0 {
		dispatches = slices.Delete(dispatches, i, i+1)
	}
	if len(dispatches) == 0 {
		delete(t.inFlight, hash)
		return
	}
	t.inFlight[hash] = dispatches
}

// Revoked returns the hashes of the bodies in flight that may no longer run in the way they do:
// quarantined bodies, and suspects that were not dispatched as such. This happens when a copy
// of the body was in flight at a crash elsewhere. The caller should cancel their attempts if
// they are idempotent, and submit them again. It should call Revoked after SetView and Crashed.
func (t *Tracker) Revoked(now time.Time) []uint64 {
	var hashes []uint64
	for hash, dispatches := range t.inFlight {
		if t.isRevoked(now, hash, dispatches) {
			hashes = append(hashes, hash)
		}
	}
	slices.Sort(hashes)
	return hashes
}

func (t *Tracker) isRevoked(now time.Time, hash uint64, dispatches []dispatch) bool {
	switch t.Check(now, hash).(type) {
	case Quarantined:
		return true
	case Suspect:
		return slices.ContainsFunc(dispatches, func(d dispatch) bool { return !d.suspect })
	default:
		return false
	}
}

func (t *Tracker) expire(now time.Time) {
	for hash, record := range t.local {
		if !record.expiresAt.After(now) {
			delete(t.local, hash)
		}
	}
}
