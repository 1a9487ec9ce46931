package message

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/roster"
)

// LimitReport is what a gateway reports of the rate limits that endpoints name.
type LimitReport struct {
	// Limits are those that the gateway has heard since its last report or, to a control host that it has just
	// subscribed to, all that it knows.
	Limits []EndpointLimit `cbor:"1,keyasint,omitempty"`
	// Arrivals are the requests since the last report, while any endpoint has a limit.
	Arrivals []Arrivals `cbor:"2,keyasint,omitempty"`
	// Number is the number of the report while a service has a warm-up limit. The numbers of a gateway rise.
	Number uint64 `cbor:"3,keyasint,omitempty"`
	// Cold are the endpoints that the gateway itself has found to be cold.
	Cold []ColdEndpoint `cbor:"4,keyasint,omitempty"`
	// Unused are the permits for cold endpoints that have expired unused.
	Unused []ColdEndpoint `cbor:"5,keyasint,omitempty"`
}

// ColdEndpoint is an incarnation of an endpoint that is cold, of a service with a warm-up limit.
type ColdEndpoint struct {
	Endpoint  string `cbor:"1,keyasint"`
	StartedMs int64  `cbor:"2,keyasint"`
	// Remaining is how much longer it is cold.
	Remaining time.Duration `cbor:"3,keyasint,omitempty"`
	// Permits is how many requests the gateway may send. In a report it counts those of the grant Serial that have expired unused.
	Permits int    `cbor:"4,keyasint,omitempty"`
	Serial  uint64 `cbor:"5,keyasint,omitempty"`
}

// Incarnation returns the incarnation of the endpoint.
func (c ColdEndpoint) Incarnation() roster.Incarnation {
	return roster.Incarnation{ID: c.Endpoint, StartedMs: c.StartedMs}
}

// WarmUp tells a gateway of the endpoints that are cold, with permits.
type WarmUp struct {
	// Judged reports that the control host knows which endpoints are cold. It has just started if it doesn't.
	Judged bool `cbor:"1,keyasint,omitempty"`
	// Cold are the endpoints that have become cold, all if the update is complete, and those with permits.
	Cold []ColdEndpoint `cbor:"2,keyasint,omitempty"`
	// Report is the number of the latest report of the gateway that had arrived when the permits were granted. They expire by the
	// time of that report, so that those that arrive late are not used.
	Report uint64 `cbor:"3,keyasint,omitempty"`
	// Serial is the number of the grant. The serials of a control host for a gateway rise.
	Serial uint64 `cbor:"4,keyasint,omitempty"`
}

// Arrivals counts the requests of callers for a service and model.
type Arrivals struct {
	Scope string `cbor:"1,keyasint"`
	Count int    `cbor:"2,keyasint"`
}

// EndpointLimit is the limit that an incarnation of an endpoint has named.
type EndpointLimit struct {
	Endpoint string `cbor:"1,keyasint"`
	// StartedMs is the start time of the endpoint's process, in milliseconds since the Unix epoch.
	StartedMs int64 `cbor:"2,keyasint"`
	// PerSecond is the number of requests a second that the endpoint takes from all gateways together, 0 if
	// there is no limit any more.
	PerSecond float64 `cbor:"3,keyasint,omitempty"`
	// Age is the time since the answer that said so.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
	// SentAge is the time since the request of that answer was sent. It is set in reports of an end.
	SentAge time.Duration `cbor:"5,keyasint,omitempty"`
	// Permits is how many requests a gateway may send, besides earlier permits. In a report it counts permits that
	// have expired unused.
	Permits int `cbor:"6,keyasint,omitempty"`
}

// Incarnation returns the incarnation of the endpoint.
func (l EndpointLimit) Incarnation() roster.Incarnation {
	return roster.Incarnation{ID: l.Endpoint, StartedMs: l.StartedMs}
}
