package message

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/roster"
)

// Heard is an endpoint's announcement and how long ago it was heard.
type Heard struct {
	Endpoint roster.Endpoint `cbor:"1,keyasint"`
	Age      time.Duration   `cbor:"2,keyasint"`
}

// RosterUpdate passes announcements between control hosts. It gets no answer.
type RosterUpdate struct {
	Heard []Heard `cbor:"1,keyasint,omitempty"`
}

// Subscribe asks a control host for pictures, until the stream ends. On the same
// stream the gateway sends a GatewayReport now and then.
type Subscribe struct {
	FailureDomain string `cbor:"1,keyasint"`
}

// Picture is what a control host knows at one moment. Parts that have not changed
// since the stream's last picture are left out.
type Picture struct {
	// Version is the version of the routes in force, 0 if there are none yet.
	Version uint64 `cbor:"1,keyasint"`
	// Document is the routes as the operator sent them.
	Document []byte `cbor:"2,keyasint,omitempty"`
	// Endpoints are all known endpoints, if any of them changed.
	Endpoints []roster.Endpoint `cbor:"3,keyasint,omitempty"`
	// Complete says that Endpoints is the whole list.
	Complete bool `cbor:"4,keyasint,omitempty"`
	// Leader is the link address of the control leader, if one is known.
	Leader string `cbor:"5,keyasint,omitempty"`
	// Hosts are the link addresses of all control hosts.
	Hosts []string `cbor:"8,keyasint,omitempty"`
	// Quarantined are the fingerprints of requests that have crashed endpoints.
	Quarantined []uint64 `cbor:"9,keyasint,omitempty"`
	// Lost names the endpoints that the leader takes for dead.
	Lost []string `cbor:"6,keyasint,omitempty"`
	// Gateways is how many gateways the control host hears reports from.
	Gateways int `cbor:"7,keyasint,omitempty"`
}

// HeadReport is what a gateway has seen of a replica's head.
type HeadReport struct {
	ID string `cbor:"1,keyasint"`
	// Waiting is how many requests wait for bytes of the head.
	Waiting int `cbor:"2,keyasint,omitempty"`
	// SinceLastData is how long ago the last byte of the head arrived.
	SinceLastData time.Duration `cbor:"3,keyasint,omitempty"`
}

// Demand is what a gateway has to do for one model.
type Demand struct {
	Model string `cbor:"1,keyasint"`
	// Work is the engine time of the requests that arrived since the last report.
	Work time.Duration `cbor:"4,keyasint,omitempty"`
}

// GatewayReport is a gateway's regular report to the control host that it follows.
type GatewayReport struct {
	Heads  []HeadReport `cbor:"1,keyasint,omitempty"`
	Demand []Demand     `cbor:"2,keyasint,omitempty"`
	// Requests counts callers' requests since the gateway's start.
	Requests uint64 `cbor:"3,keyasint,omitempty"`
	// Crashes are what may have crashed endpoints since the last report.
	Crashes []Crash `cbor:"4,keyasint,omitempty"`
}

// Crash is a request that an endpoint had begun when all its connections broke.
type Crash struct {
	Endpoint  string `cbor:"1,keyasint"`
	StartedMs int64  `cbor:"2,keyasint"`
	// Fingerprint is a hash of the caller's team and the request.
	Fingerprint uint64        `cbor:"3,keyasint"`
	Age         time.Duration `cbor:"4,keyasint"`
}

// Founder is one control host of the replicated log.
type Founder struct {
	Host    host.ID `cbor:"1,keyasint"`
	Address string  `cbor:"2,keyasint"`
}

// FounderQuery introduces a control host and asks for the set of control hosts.
type FounderQuery struct {
	Self Founder `cbor:"1,keyasint"`
	// FirstStart says that the whole system starts for the first time.
	FirstStart bool `cbor:"2,keyasint,omitempty"`
}

// Founders answers a FounderQuery: the set of control hosts, empty if it is not
// decided yet, and those that the answering host has heard of.
type Founders struct {
	Decided []Founder `cbor:"1,keyasint,omitempty"`
	Seen    []Founder `cbor:"2,keyasint,omitempty"`
}

func (*RosterUpdate) kind() Kind { return kindRosterUpdate }

func (*Subscribe) kind() Kind { return kindSubscribe }

func (*Picture) kind() Kind { return kindPicture }

func (*GatewayReport) kind() Kind { return kindGatewayReport }

func (*FounderQuery) kind() Kind { return kindFounderQuery }

func (*Founders) kind() Kind { return kindFounders }
