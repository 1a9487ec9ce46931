// Package host describes the hosts of the fleet and the endpoints they announce.
package host

import (
	"github.com/egretreach/egretreach/internal/fleet/domain"
)

// ID names a host. It is unique in the fleet and stable over restarts.
type ID string

// Incarnation tells one life of a process from the next. It is drawn at random
// at process start, so that a restart is never taken for a pause.
type Incarnation uint64

// Role is what a daemon does on its host.
type Role string

// The roles a certificate may carry.
const (
	RoleEntry    Role = "entry"
	RoleControl  Role = "control"
	RoleAgent    Role = "agent"
	RoleOperator Role = "operator"
)

// Kind tells a model engine from a plain service.
type Kind string

// The kinds of endpoint.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Endpoint is one back end that an agent announces.
type Endpoint struct {
	// Name is the service name for a plain service, or the host's ID for an engine.
	Name string `cbor:"1,keyasint" json:"name"`
	Kind Kind   `cbor:"2,keyasint" json:"kind"`
	// ChecksFence says that the endpoint itself refuses orders with an old fencing number.
	ChecksFence bool `cbor:"3,keyasint" json:"fences"`
	// ChecksOrderer says that the endpoint checks who gives it an order.
	ChecksOrderer bool `cbor:"4,keyasint" json:"checks_orderer"`
	// Accelerators is the number of accelerators behind the endpoint.
	Accelerators int `cbor:"5,keyasint" json:"accelerators"`
}

// Info is what an agent announces about its host.
type Info struct {
	ID            ID             `cbor:"1,keyasint" json:"id"`
	Incarnation   Incarnation    `cbor:"2,keyasint" json:"incarnation"`
	FailureDomain domain.Failure `cbor:"3,keyasint" json:"failure_domain"`
	FabricDomain  domain.Fabric  `cbor:"4,keyasint" json:"fabric_domain"`
	// Address is the IP address and port of the agent's link listener.
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
