// Package host describes the hosts of the fleet and the endpoints they announce.
package host

import (
	"github.com/egretreach/egretreach/internal/fleet/domain"
)

// ID identifies a host. It is unique in the fleet and stays the same over restarts.
type ID string

// Incarnation identifies one run of a process. It is chosen at random at the start of
// the process, so that a restart is not mistaken for a pause.
type Incarnation uint64

// Role is the function of a process in the fleet.
type Role string

// The roles that a certificate may contain.
const (
	RoleEntry    Role = "entry"
	RoleControl  Role = "control"
	RoleAgent    Role = "agent"
	RoleOperator Role = "operator"
)

// Kind is the kind of an endpoint.
type Kind string

// The kinds of endpoint.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Endpoint is a backend that an agent announces.
type Endpoint struct {
	// Name is the service name for a plain service, or the host's ID for an engine.
	Name string `cbor:"1,keyasint" json:"name"`
	Kind Kind   `cbor:"2,keyasint" json:"kind"`
	// ChecksFence reports that the endpoint itself refuses orders with an old fencing
	// number.
	ChecksFence bool `cbor:"3,keyasint" json:"fences"`
	// ChecksOrderer reports that the endpoint authenticates the sender of an order.
	ChecksOrderer bool `cbor:"4,keyasint" json:"checks_orderer"`
	// Accelerators is the number of accelerators behind the endpoint.
	Accelerators int `cbor:"5,keyasint" json:"accelerators"`
}

// Info describes the host and the process of a daemon that announces itself.
type Info struct {
	ID            ID             `cbor:"1,keyasint" json:"id"`
	Incarnation   Incarnation    `cbor:"2,keyasint" json:"incarnation"`
	FailureDomain domain.Failure `cbor:"3,keyasint" json:"failure_domain"`
	FabricDomain  domain.Fabric  `cbor:"4,keyasint" json:"fabric_domain"`
	// Address is the IP address and port on which the daemon accepts links.
	Address   string     `cbor:"5,keyasint" json:"address"`
	Endpoints []Endpoint `cbor:"6,keyasint" json:"endpoints"`
}

// Engine returns the host's model engine, if it has one.
func (i Info) Engine() (Endpoint, bool) {
	for _, e := range i.Endpoints {
		if e.Kind == KindEngine {
			return e, true
		}
	}
	return Endpoint{}, false
}
