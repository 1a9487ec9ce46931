// Package quarantine keeps request bodies that crash engines out of the fleet.
//
// After a crash of an engine, every body that was in flight there is a suspect. A body
// that is in flight at a second crash is quarantined. The package is part of the
// replicated state: it is deterministic, takes the time as input and encodes to CBOR.
//
// A request may also crash engines by a part of its prompt that others share. Evidence finds such parts, a Breaker
// decides which are held back and tried again, and a HoldSet is the replicated result.
package quarantine

import (
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
)

// Policy holds the limits of the quarantine. Zero fields take their defaults. It is
// encoded under the names of its fields.
type Policy struct {
	// SuspectFor is how long a body stays a suspect after a crash or after its quarantine.
	SuspectFor time.Duration
	// QuarantineFor is the length of the first quarantine of a body. Each further one is
	// twice as long as the one before.
	QuarantineFor time.Duration
	// QuarantineMax is the greatest length of a quarantine.
	QuarantineMax time.Duration
	// MaxEntries is the largest number of bodies kept.
	MaxEntries int
	// MaxCrashes is the largest number of crashes that are remembered to recognise
	// reports sent twice.
	MaxCrashes int
}

// Defaults of Policy.
const (
	DefaultSuspectFor    = 24 * time.Hour
	DefaultQuarantineFor = time.Hour
	DefaultQuarantineMax = 7 * 24 * time.Hour
	DefaultMaxEntries    = 8192
	DefaultMaxCrashes    = 4096
)

// crashesToQuarantine is the number of crashes from which a body is quarantined.
const crashesToQuarantine = 2

func (p Policy) withDefaults() Policy {
	if p.SuspectFor <= 0 {
		p.SuspectFor = DefaultSuspectFor
	}
	if p.QuarantineFor <= 0 {
		p.QuarantineFor = DefaultQuarantineFor
	}
	if p.QuarantineMax <= 0 {
		p.QuarantineMax = max(DefaultQuarantineMax, p.QuarantineFor)
	}
	if p.MaxEntries <= 0 {
		p.MaxEntries = DefaultMaxEntries
	}
	if p.MaxCrashes <= 0 {
		p.MaxCrashes = DefaultMaxCrashes
	}
	return p
}

// Entry is one body that was in flight at a crash.
type Entry struct {
	BodyHash uint64 `cbor:"1,keyasint"`
	// Crashes counts the crashes at which the body was in flight.
	Crashes int `cbor:"2,keyasint"`
	// QuarantinedUntilMs is the end of the quarantine in Unix milliseconds, 0 for
	// a body that was never quarantined.
	QuarantinedUntilMs int64 `cbor:"3,keyasint"`
	// ForgetAtMs is when the entry is removed, in Unix milliseconds.
	ForgetAtMs int64 `cbor:"4,keyasint"`
}

// Quarantined reports whether the body is quarantined at now, so that it may not run.
func (e Entry) Quarantined(now time.Time) bool { return e.QuarantinedUntilMs > now.UnixMilli() }

// State is the replicated state of the quarantine. The zero value is empty and uses the
// default Policy. The same inputs in the same order give the same state.
type State struct {
	// Entries are sorted by hash.
	Entries []Entry `cbor:"1,keyasint,omitempty"`
	// CrashIDs identify the crashes counted last, the oldest first.
	CrashIDs []request.ID `cbor:"2,keyasint,omitempty"`
	// Policy must be the same on every control host. It is not part of the encoded state.
	Policy Policy `cbor:"-"`
}

// Change describes what an event changed in the quarantine.
type Change struct {
	// Suspects are the bodies that became suspects.
	Suspects []uint64
	// Quarantined are the bodies that became quarantined or whose quarantine was extended.
	Quarantined []uint64
	// Removed are the bodies whose entries were removed.
	Removed []uint64
	// Duplicate is true if the crash had been counted before.
	Duplicate bool
}

// Empty reports whether nothing changed.
func (c Change) Empty() bool {
	return len(c.Suspects)+len(c.Quarantined)+len(c.Removed) == 0
}

// Crash counts a crash against its suspects. A crash that is reported several times
// counts once.
func (s *State) Crash(now time.Time, report message.CrashReport) Change {
	policy := s.Policy.withDefaults()
	if slices.Contains(s.CrashIDs, report.CrashID) {
		return Change{Duplicate: true}
	}
	s.rememberCrash(policy, report.CrashID)
	change := Change{Removed: s.expire(now)}
	suspects := slices.Clone(report.Suspects)
	slices.Sort(suspects)
	for _, hash := range slices.Compact(suspects) {
		if s.countCrash(policy, now, hash) {
			change.Quarantined = append(change.Quarantined, hash)
			continue
		}
		change.Suspects = append(change.Suspects, hash)
	}
	change.Removed = append(change.Removed, s.evict(policy, now)...)
	return change
}

// Complete removes suspects whose requests have completed. A quarantined body stays.
func (s *State) Complete(now time.Time, hashes []uint64) Change {
	change := Change{Removed: s.expire(now)}
	for _, hash := range hashes {
		i, found := s.find(hash)
		if !found || s.Entries[i].Quarantined(now) {
			continue
		}
		s.Entries = slices.Delete(s.Entries, i, i+1)
		change.Removed = append(change.Removed, hash)
	}
	return change
}

// Clear removes a body at an operator's request, also if it is quarantined. Hash 0
// removes all bodies.
func (s *State) Clear(hash uint64) Change {
	var change Change
	s.Entries = slices.DeleteFunc(s.Entries, func(e Entry) bool {
		if hash != 0 && e.BodyHash != hash {
			return false
		}
		change.Removed = append(change.Removed, e.BodyHash)
		return true
	})
	return change
}

// Expire removes entries whose time has ended. Crash and Complete do so too.
func (s *State) Expire(now time.Time) Change { return Change{Removed: s.expire(now)} }

// View returns the suspects and the quarantined bodies at now, sorted by hash. A body
// whose quarantine has ended is listed as a suspect.
func (s *State) View(now time.Time) []view.Quarantine {
	out := make([]view.Quarantine, 0, len(s.Entries))
	for _, e := range s.Entries {
		switch {
		case e.Quarantined(now):
			out = append(out, view.Quarantine{BodyHash: e.BodyHash, ExpiresUnixMs: e.QuarantinedUntilMs})
		case e.ForgetAtMs > now.UnixMilli():
			out = append(out, view.Quarantine{BodyHash: e.BodyHash, Suspect: true, ExpiresUnixMs: e.ForgetAtMs})
		}
	}
	return out
}

// Clone returns a copy that shares nothing with s.
func (s *State) Clone() State {
	return State{Entries: slices.Clone(s.Entries), CrashIDs: slices.Clone(s.CrashIDs), Policy: s.Policy}
}
