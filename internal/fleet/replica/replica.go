// Package replica describes replicas: groups of hosts that together serve one model.
package replica

import (
	"github.com/egretreach/egretreach/internal/fleet/host"
)

// ID identifies a replica. It is never reused.
type ID string

// Fence is a fencing number. Each claim of hosts has a higher one than all earlier claims.
type Fence uint64

// Spec describes what a replica serves.
type Spec struct {
	Deployment string   `cbor:"1,keyasint" json:"deployment"`
	Model      string   `cbor:"2,keyasint" json:"model"`
	Version    string   `cbor:"3,keyasint" json:"version"`
	Adapters   []string `cbor:"4,keyasint,omitempty" json:"adapters,omitempty"`
	// Role is the engine role: "mixed", "prefill" or "decode".
	Role string `cbor:"5,keyasint,omitempty" json:"role,omitempty"`
}

// State is the state of a replica.
type State string

// The states of a replica.
const (
	// StateLoading means that the hosts are claimed and load the model.
	StateLoading State = "loading"
	// StateServing means that every member has loaded the model and the head accepts work.
	StateServing State = "serving"
	// StateDegraded means that a member is missing and the head accepts no work.
	StateDegraded State = "degraded"
	// StateDraining means that the replica accepts no new work and finishes its running
	// requests.
	StateDraining State = "draining"
)

// Replica is a group of hosts that are claimed to serve a Spec.
type Replica struct {
	ID    ID    `cbor:"1,keyasint" json:"id"`
	Fence Fence `cbor:"2,keyasint" json:"fence"`
	Spec  Spec  `cbor:"3,keyasint" json:"spec"`
	// Hosts are the members; the first is the head.
	Hosts []host.ID `cbor:"4,keyasint" json:"hosts"`
	State State     `cbor:"5,keyasint" json:"state"`
}

// Head returns the host that receives the replica's requests, or "" if there is no
// member.
func (r Replica) Head() host.ID {
	if len(r.Hosts) == 0 {
		return ""
	}
	return r.Hosts[0]
}

// Has reports whether h is a member.
func (r Replica) Has(h host.ID) bool {
	for _, m := range r.Hosts {
		if m == h {
			return true
		}
	}
	return false
}

// WithState returns a copy of r in state s.
func (r Replica) WithState(s State) Replica {
	r.State = s
	return r
}
