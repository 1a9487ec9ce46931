package portalstate

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
	// Strikes counts the times that the key was blamed. It is 0 for a key that is released.
	Strikes int `cbor:"2,keyasint"`
	// Index is that of the command's entry in the log.
	Index uint64 `cbor:"3,keyasint,omitempty"`
}

// Encode returns the command that holds the key, or releases it if there are no strikes.
func (h Hold) Encode() ([]byte, error) { return encode(command{Hold: &h}) }

// applyHold applies the command at an index. A command that has been applied already has no effect, because a
// log that is opened again repeats some. mu is held.
func (m *Machine) applyHold(index uint64, h Hold) {
	if index <= m.holdsIndex {
		return
	}
	m.holdsIndex = index
	h.Index = index
	if h.Strikes == 0 {
		delete(m.holds, h.Key)
		m.notify()
		return
	}
	if m.holds == nil {
		m.holds = map[uint64]Hold{}
	}
	m.holds[h.Key] = h
	if len(m.holds) > maxHolds {
		first := slices.MinFunc(slices.Collect(maps.Values(m.holds)), func(a, b Hold) int { return cmp.Compare(a.Index, b.Index) })
		delete(m.holds, first.Key)
	}
	m.notify()
}

// restoreHolds replaces the held keys by those of a snapshot, unless they are older. mu is held.
func (m *Machine) restoreHolds(index uint64, holds []Hold) {
	if index <= m.holdsIndex {
		return
	}
	m.holdsIndex, m.holds = index, map[uint64]Hold{}
	for _, h := range holds {
		m.holds[h.Key] = h
	}
	m.notify()
}

// Holds returns the held keys, sorted.
func (m *Machine) Holds() []Hold {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sortedHolds()
}

// sortedHolds returns the held keys, sorted. mu is held.
func (m *Machine) sortedHolds() []Hold {
	return slices.SortedFunc(maps.Values(m.holds), func(a, b Hold) int { return cmp.Compare(a.Key, b.Key) })
}
