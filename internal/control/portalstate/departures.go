package portalstate

import (
	"github.com/egretreach/egretreach/internal/fleet/roster"
)

// maxDepartures bounds the departures that are kept. An endpoint that has announced that it leaves is gone within a minute, so the bound is
// above the number of endpoints that leave in that time.
const maxDepartures = 1024

// departure is an announcement of an endpoint that drains or has left, with the index of its entry in the log.
type departure struct {
	_        struct{} `cbor:",toarray"`
	Index    uint64
	Endpoint roster.Endpoint
}

func newDepartures(index uint64, endpoints []roster.Endpoint) []departure {
	departures := make([]departure, 0, len(endpoints))
	for _, e := range endpoints {
		departures = append(departures, departure{Index: index, Endpoint: e})
	}
	return departures
}

// EncodeDepartures returns the command that keeps the announcements of endpoints that drain or have left.
func EncodeDepartures(endpoints []roster.Endpoint) ([]byte, error) {
	return encode(command{Departures: endpoints})
}

// departureSet holds the last departure of each endpoint, at most maxDepartures. The zero value is empty.
type departureSet struct {
	// list is in the order of the indexes. It is replaced at each change, as a snapshot may be reading it.
	list []departure
	byID map[string]departure
}

// add adds those of some departures that supersede what is known, and reports whether there are any.
func (s *departureSet) add(departures []departure) bool {
	var added []departure
	for _, d := range departures {
		if old, known := s.byID[d.Endpoint.ID]; known && !d.Endpoint.Supersedes(old.Endpoint) {
			continue
		}
		if s.byID == nil {
			s.byID = map[string]departure{}
		}
		s.byID[d.Endpoint.ID] = d
		added = append(added, d)
	}
	if len(added) == 0 {
		return false
	}
	s.rebuild(added)
	return true
}

// rebuild makes a new list of the departures that still count and those just added, and drops the first ones beyond the bound.
func (s *departureSet) rebuild(added []departure) {
	var list []departure
	for _, d := range append(s.list[:len(s.list):len(s.list)], added...) {
		if current := s.byID[d.Endpoint.ID]; current.Index == d.Index && current.Endpoint.State == d.Endpoint.State {
			list = append(list, d)
		}
	}
	dropped := max(0, len(list)-maxDepartures)
	for _, d := range list[:dropped] {
		delete(s.byID, d.Endpoint.ID)
	}
	s.list = list[dropped:]
}

// DeparturesAfter returns the departures of the entries after index, and the index of the last of them.
func (m *Machine) DeparturesAfter(index uint64) ([]roster.Endpoint, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var endpoints []roster.Endpoint
	last := index
	for _, d := range m.departures.list {
		if d.Index > index {
			endpoints, last = append(endpoints, d.Endpoint), d.Index
		}
	}
	return endpoints, last
}

// KeepsDeparture reports whether the state holds that e drains or has left, or a later state of e. lastReady is the sequence of the last
// announcement by which e was ready; an earlier departure doesn't count.
func (m *Machine) KeepsDeparture(e roster.Endpoint, lastReady uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	kept, known := m.departures.byID[e.ID]
	switch {
	case !known:
		return false
	case kept.Endpoint.StartedMs != e.StartedMs:
		return kept.Endpoint.StartedMs > e.StartedMs
	case kept.Endpoint.State == roster.StateLeft:
		return true
	default:
		return kept.Endpoint.State >= e.State && kept.Endpoint.Sequence > lastReady
	}
}
