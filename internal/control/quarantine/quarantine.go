// Package quarantine keeps the request bodies that crash engines out of the fleet.
//
// After a crash every body in flight there is a suspect. A body that is in flight
// at a second crash is quarantined. The package is part of the replicated state:
// it is deterministic, takes the time as input and encodes to CBOR.
package quarantine

import (
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
)

// Policy holds the limits of the quarantine. The zero value takes the defaults.
type Policy struct {
	// SuspectFor is how long a body stays a suspect after a crash or after its quarantine.
	SuspectFor time.Duration
	// QuarantineFor is the length of a first quarantine. Each further one is twice as long.
	QuarantineFor time.Duration
	// QuarantineMax is the greatest length of a quarantine.
	QuarantineMax time.Duration
	// MaxEntries bounds the bodies kept.
	MaxEntries int
	// MaxCrashes bounds the crashes remembered to recognise a report sent twice.
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

// crashesToQuarantine is the number of crashes at which a body is quarantined.
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
	// ForgetAtMs is when the entry is dropped, in Unix milliseconds.
	ForgetAtMs int64 `cbor:"4,keyasint"`
}

// Quarantined reports whether the body may not run at now.
func (e Entry) Quarantined(now time.Time) bool { return e.QuarantinedUntilMs > now.UnixMilli() }

// State is the replicated quarantine. The zero value is empty and takes the
// default Policy. Equal inputs in equal order give equal states.
type State struct {
	// Entries are in the order of their hashes.
	Entries []Entry `cbor:"1,keyasint,omitempty"`
	// Crashes are the crashes counted, the oldest first.
	Crashes []request.ID `cbor:"2,keyasint,omitempty"`
	// Policy is the same on every control host; it is not part of the encoded state.
	Policy Policy `cbor:"-"`
}

// Change says what an event did to the quarantine.
type Change struct {
	// Suspects are the bodies that became suspects.
	Suspects []uint64
	// Quarantined are the bodies that became quarantined, or are so for longer.
	Quarantined []uint64
	// Removed are the bodies that are free again.
	Removed []uint64
	// Duplicate says that the crash had been counted before.
	Duplicate bool
}

// Empty reports whether nothing changed.
func (c Change) Empty() bool {
	return len(c.Suspects)+len(c.Quarantined)+len(c.Removed) == 0
}

// Crash counts a crash and its suspects. A crash counts once, however often it is reported.
func (s *State) Crash(now time.Time, report message.CrashReport) Change {
	policy := s.Policy.withDefaults()
	if slices.Contains(s.Crashes, report.Crash) {
		return Change{Duplicate: true}
	}
	s.remember(policy, report.Crash)
	change := Change{Removed: s.expire(now)}
	suspects := slices.Clone(report.Suspects)
	slices.Sort(suspects)
	for _, hash := range slices.Compact(suspects) {
		if s.count(policy, now, hash) {
			change.Quarantined = append(change.Quarantined, hash)
			continue
		}
		change.Suspects = append(change.Suspects, hash)
	}
	change.Removed = append(change.Removed, s.shrink(policy, now)...)
	return change
}

// Complete frees suspects that have run to their end. A quarantined body is not freed.
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

// Clear frees a body at an operator's word, whatever its state. Hash 0 frees all.
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

// Expire drops what is past its time. The other events do so too.
func (s *State) Expire(now time.Time) Change { return Change{Removed: s.expire(now)} }

// View returns the suspects and the quarantined bodies at now, in the order of
// their hashes. A body whose quarantine has ended is listed as a suspect.
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
	return State{Entries: slices.Clone(s.Entries), Crashes: slices.Clone(s.Crashes), Policy: s.Policy}
}
