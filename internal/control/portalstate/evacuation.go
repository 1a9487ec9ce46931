package portalstate

import (
	"slices"
)

// MaxEvacuated is how many failure domains can be evacuated at once.
const MaxEvacuated = 64

// Evacuations are the failure domains to whose endpoints no request is sent. The zero value has none.
type Evacuations struct {
	// Revision is the index in the log of the last change, or 0.
	Revision uint64 `cbor:"1,keyasint"`
	// Domains are sorted. The slice is never changed in place.
	Domains []string `cbor:"2,keyasint,omitempty"`
}

// Has reports whether a failure domain is evacuated.
func (e Evacuations) Has(domain string) bool {
	_, found := slices.BinarySearch(e.Domains, domain)
	return found
}

// Evacuation begins the evacuation of a failure domain if Active is set, and withdraws it otherwise.
type Evacuation struct {
	Domain string `cbor:"1,keyasint"`
	Active bool   `cbor:"2,keyasint,omitempty"`
}

// Encode returns the command that begins or withdraws the evacuation.
func (e Evacuation) Encode() ([]byte, error) { return encode(command{Evacuation: &e}) }

// EvacuationResult is the effect of a committed Evacuation.
type EvacuationResult struct {
	// Index is that of the command's entry in the log.
	Index uint64
	// Applied is true if the command changed the set.
	Applied bool
	// Full is true if the command had no effect since MaxEvacuated domains are evacuated already.
	Full bool
	// Evacuations are the set after the command.
	Evacuations Evacuations
}

// evacuate applies an evacuation. An entry up to the last change has been applied before: a log that is opened again is replayed from
// its snapshot. mu is held.
func (m *Machine) evacuate(index uint64, e Evacuation) EvacuationResult {
	result := EvacuationResult{Index: index, Evacuations: m.evacuations}
	if index <= m.evacuations.Revision {
		return result
	}
	at, found := slices.BinarySearch(m.evacuations.Domains, e.Domain)
	switch {
	case found == e.Active:
		return result
	case e.Active && len(m.evacuations.Domains) >= MaxEvacuated:
		result.Full = true
		return result
	}
	domains := slices.Clone(m.evacuations.Domains)
	if e.Active {
		domains = slices.Insert(domains, at, e.Domain)
	} else {
		domains = slices.Delete(domains, at, at+1)
	}
	m.evacuations = Evacuations{Revision: index, Domains: domains}
	m.notify()
	result.Applied, result.Evacuations = true, m.evacuations
	return result
}

// restoreEvacuations takes over the set of a snapshot if it is newer. mu is held.
func (m *Machine) restoreEvacuations(e Evacuations) {
	if e.Revision <= m.evacuations.Revision {
		return
	}
	m.evacuations = e
	m.notify()
}

// Evacuations returns the evacuated failure domains together with their revision.
func (m *Machine) Evacuations() Evacuations {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.evacuations
}
