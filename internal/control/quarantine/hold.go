package quarantine

import (
	"cmp"
	"maps"
	"slices"
)

// maxHolds bounds the held keys. Beyond it the one that was held first is released.
const maxHolds = 512

// Hold says that requests with a key are held back because they crash endpoints.
type Hold struct {
	Key uint64 `cbor:"1,keyasint"`
	// Failures is 1 for a suspected key and 2 for a confirmed one; each failed probe adds one. It is 0 for a key that is released.
	Failures int `cbor:"2,keyasint"`
	// Number orders the holds by the time of their last change.
	Number uint64 `cbor:"3,keyasint,omitempty"`
}

// HoldSet is the replicated set of held keys. The zero value is empty. The same changes in the same order give
// the same set.
type HoldSet struct {
	holds map[uint64]Hold
	// number is that of the last change.
	number uint64
}

// HoldSnapshot is the encoded form of a HoldSet.
type HoldSnapshot struct {
	Holds  []Hold `cbor:"1,keyasint,omitempty"`
	Number uint64 `cbor:"2,keyasint,omitempty"`
}

// Apply applies the change with a number, such as the index of its entry in the log. It reports false for one that
// is not later than the last, because a log that is opened again repeats some.
func (s *HoldSet) Apply(number uint64, h Hold) bool {
	if number <= s.number {
		return false
	}
	s.number, h.Number = number, number
	if h.Failures == 0 {
		delete(s.holds, h.Key)
		return true
	}
	if s.holds == nil {
		s.holds = map[uint64]Hold{}
	}
	s.holds[h.Key] = h
	if len(s.holds) > maxHolds {
		first := slices.MinFunc(slices.Collect(maps.Values(s.holds)), func(a, b Hold) int { return cmp.Compare(a.Number, b.Number) })
		delete(s.holds, first.Key)
	}
	return true
}

// Next returns the number after that of the last change.
func (s *HoldSet) Next() uint64 { return s.number + 1 }

// Restore replaces the set by a snapshot, unless that is older. It reports whether it did.
func (s *HoldSet) Restore(snapshot HoldSnapshot) bool {
	if snapshot.Number <= s.number {
		return false
	}
	s.number, s.holds = snapshot.Number, map[uint64]Hold{}
	for _, h := range snapshot.Holds {
		s.holds[h.Key] = h
	}
	return true
}

// Snapshot returns the whole set.
func (s *HoldSet) Snapshot() HoldSnapshot { return HoldSnapshot{Holds: s.List(), Number: s.number} }

// List returns the held keys, sorted.
func (s *HoldSet) List() []Hold {
	return slices.SortedFunc(maps.Values(s.holds), func(a, b Hold) int { return cmp.Compare(a.Key, b.Key) })
}
