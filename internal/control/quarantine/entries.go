package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/request"
)

func (s *State) find(hash uint64) (int, bool) {
	return slices.BinarySearchFunc(s.Entries, hash, func(e Entry, h uint64) int {
		return cmp.Compare(e.BodyHash, h)
	})
}

// countCrash counts a crash against a body and reports whether the body is now
// quarantined.
func (s *State) countCrash(policy Policy, now time.Time, hash uint64) bool {
	i, found := s.find(hash)
	if !found {
		s.Entries = slices.Insert(s.Entries, i, Entry{BodyHash: hash})
	}
	entry := &s.Entries[i]
	entry.Crashes++
	if entry.Crashes >= crashesToQuarantine {
		end := now.Add(policy.quarantineLength(entry.Crashes)).UnixMilli()
		entry.QuarantinedUntilMs = max(entry.QuarantinedUntilMs, end)
	}
	start := max(now.UnixMilli(), entry.QuarantinedUntilMs)
	entry.ForgetAtMs = start + policy.SuspectFor.Milliseconds()
	return entry.Quarantined(now)
}

// quarantineLength returns how long a body with that number of crashes is quarantined.
func (p Policy) quarantineLength(crashes int) time.Duration {
	length := p.QuarantineFor
	for range crashes - crashesToQuarantine {
		length *= 2
		if length >= p.QuarantineMax {
			return p.QuarantineMax
		}
	}
	return length
}

func (s *State) rememberCrash(policy Policy, crash request.ID) {
	if len(s.CrashIDs) >= policy.MaxCrashes {
		s.CrashIDs = slices.Delete(s.CrashIDs, 0, len(s.CrashIDs)-policy.MaxCrashes+1)
	}
	s.CrashIDs = append(s.CrashIDs, crash)
}

func (s *State) expire(now time.Time) []uint64 {
	var removed []uint64
	s.Entries = slices.DeleteFunc(s.Entries, func(e Entry) bool {
		if e.ForgetAtMs > now.UnixMilli() {
			return false
		}
		removed = append(removed, e.BodyHash)
		return true
	})
	return removed
}

// evict removes entries beyond MaxEntries and returns their hashes. Suspects are removed
// before quarantined bodies, and among each those whose entries would expire first.
func (s *State) evict(policy Policy, now time.Time) []uint64 {
	over := len(s.Entries) - policy.MaxEntries
	if over <= 0 {
		return nil
	}
	evictionOrder := slices.Clone(s.Entries)
	slices.SortFunc(evictionOrder, func(a, b Entry) int {
		if qa, qb := a.Quarantined(now), b.Quarantined(now); qa != qb {
			if qb {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.ForgetAtMs, b.ForgetAtMs), cmp.Compare(a.BodyHash, b.BodyHash))
	})
	var removed []uint64
	for _, e := range evictionOrder[:over] {
		i, _ := s.find(e.BodyHash)
		s.Entries = slices.Delete(s.Entries, i, i+1)
		removed = append(removed, e.BodyHash)
	}
	return removed
}
