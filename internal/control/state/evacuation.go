package state

import (
	"fmt"
	"unicode/utf8"

	"github.com/egretreach/egretreach/internal/fleet/view"
)

const (
	// MaxEvacuatedDomains bounds the failure domains that are evacuated at once.
	MaxEvacuatedDomains = 64
	// MaxDomainBytes bounds the name of an evacuated failure domain.
	MaxDomainBytes = 256
)

// evacuate changes the set of evacuated failure domains. The set's revision stays the same if the domain is
// already in the requested state.
func (m *Machine) evacuate(index uint64, c Evacuate) Result {
	switch {
	case c.Domain == "":
		return Refused{Reason: "a failure domain needs a name"}
	case len(c.Domain) > MaxDomainBytes:
		return Refused{Reason: fmt.Sprintf("the name of the failure domain has %d bytes, at most %d are allowed", len(c.Domain), MaxDomainBytes)}
	case !utf8.ValidString(string(c.Domain)):
		return Refused{Reason: "the name of the failure domain is not UTF-8"}
	case m.evacuated.Contains(c.Domain) != c.Undo:
		return Done{}
	case c.Undo:
		m.evacuated = m.evacuated.Without(index, c.Domain)
		return Done{}
	case len(m.evacuated.Domains) >= MaxEvacuatedDomains:
		return Refused{Reason: fmt.Sprintf("%d failure domains are evacuated already", len(m.evacuated.Domains))}
	}
	m.evacuated = m.evacuated.With(index, c.Domain)
	return Done{}
}

// Evacuated returns the evacuated failure domains.
func (m *Machine) Evacuated() view.Evacuated { return m.evacuated }
