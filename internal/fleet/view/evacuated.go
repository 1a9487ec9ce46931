package view

import (
	"slices"

	"github.com/egretreach/egretreach/internal/fleet/domain"
)

// Evacuated is the set of failure domains whose endpoints get no new requests. The zero value is the set of a fleet
// in which no domain was ever evacuated. It is not modified.
type Evacuated struct {
	// Revision is the index of the command in the replicated log that last changed the set. It only increases.
	Revision uint64 `cbor:"1,keyasint" json:"revision"`
	// Domains are sorted.
	Domains []domain.Failure `cbor:"2,keyasint,omitempty" json:"domains"`
}

// Contains reports whether a failure domain is evacuated.
func (e Evacuated) Contains(d domain.Failure) bool { return slices.Contains(e.Domains, d) }

// With returns the set with a failure domain added by the command at an index of the log.
func (e Evacuated) With(index uint64, d domain.Failure) Evacuated {
	domains := append(slices.Clone(e.Domains), d)
	slices.Sort(domains)
	return Evacuated{Revision: index, Domains: slices.Compact(domains)}
}

// Without returns the set with a failure domain removed by the command at an index of the log.
func (e Evacuated) Without(index uint64, d domain.Failure) Evacuated {
	without := Evacuated{Revision: index}
	for _, other := range e.Domains {
		if other != d {
			without.Domains = append(without.Domains, other)
		}
	}
	return without
}

// Newest returns the one of two sets with the higher revision. Other may be nil.
func (e Evacuated) Newest(other *Evacuated) Evacuated {
	if other == nil || other.Revision <= e.Revision {
		return e
	}
	return *other
}

// OrNil returns a pointer to the set, or nil if no domain was ever evacuated. A fleet that evacuates nothing
// thus sends nothing of it.
func (e Evacuated) OrNil() *Evacuated {
	if e.Revision == 0 && len(e.Domains) == 0 {
		return nil
	}
	return &e
}
