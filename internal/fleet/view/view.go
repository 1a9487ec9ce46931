// Package view is what an entry knows of the fleet: where requests may be sent.
package view

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
)

// Revision counts accepted fleet configurations. It only grows.
type Revision uint64

// Load is a report of a replica's load. It is old by the time it is read.
type Load struct {
	// Running is the number of requests being decoded.
	Running int `cbor:"1,keyasint" json:"running"`
	// Waiting is the number of requests queued in the engine.
	Waiting int `cbor:"2,keyasint" json:"waiting"`
	// WaitingTokens is the prompt tokens not yet prefilled.
	WaitingTokens int `cbor:"3,keyasint" json:"waiting_tokens"`
	// PrefillRate is prompt tokens per second, measured by the engine.
	PrefillRate float64 `cbor:"4,keyasint" json:"prefill_rate"`
	// TokenGap is the present time between tokens of one stream.
	TokenGap time.Duration `cbor:"5,keyasint" json:"token_gap"`
	// Capacity is the number of requests the engine decodes at once.
	Capacity int `cbor:"6,keyasint" json:"capacity"`
	// Sequence grows with each report of one incarnation.
	Sequence uint64 `cbor:"7,keyasint" json:"sequence"`
}

// Route is one replica as an entry sees it.
type Route struct {
	Replica replica.Replica `cbor:"1,keyasint" json:"replica"`
	// Address is the head agent's link address.
	Address     string           `cbor:"2,keyasint" json:"address"`
	Incarnation host.Incarnation `cbor:"3,keyasint" json:"incarnation"`
	Load        Load             `cbor:"4,keyasint" json:"load"`
}

// Service is one endpoint of a plain service as an entry sees it.
type Service struct {
	Name        string           `cbor:"1,keyasint" json:"name"`
	Host        host.ID          `cbor:"2,keyasint" json:"host"`
	Address     string           `cbor:"3,keyasint" json:"address"`
	Incarnation host.Incarnation `cbor:"4,keyasint" json:"incarnation"`
}

// Quarantine is a request body that may not run until a time.
type Quarantine struct {
	// BodyHash is the hash of the normalised body.
	BodyHash uint64 `cbor:"1,keyasint" json:"body_hash"`
	// Suspect says that the body may run, one at a time on each replica.
	Suspect bool `cbor:"2,keyasint" json:"suspect"`
	// ExpiresUnixMs is the wall-clock end of the entry, in milliseconds.
	ExpiresUnixMs int64 `cbor:"3,keyasint" json:"expires_unix_ms"`
}

// View is one consistent picture of where requests may be sent.
type View struct {
	// Epoch and Sequence order views: a view from an older leader term or with a
	// lower sequence is dropped.
	Epoch      uint64       `cbor:"1,keyasint" json:"epoch"`
	Sequence   uint64       `cbor:"2,keyasint" json:"sequence"`
	Revision   Revision     `cbor:"3,keyasint" json:"revision"`
	Routes     []Route      `cbor:"4,keyasint" json:"routes"`
	Services   []Service    `cbor:"5,keyasint" json:"services"`
	Quarantine []Quarantine `cbor:"6,keyasint" json:"quarantine"`
	// Loads stand in a delta only: new reports of replicas whose routes are the same.
	Loads []ReplicaLoad `cbor:"7,keyasint,omitempty" json:"loads,omitempty"`
}

// ReplicaLoad is a report of one replica's load.
type ReplicaLoad struct {
	Replica replica.ID `cbor:"1,keyasint" json:"replica"`
	Load    Load       `cbor:"2,keyasint" json:"load"`
}

// Newer reports whether v is to replace old.
func (v View) Newer(old View) bool {
	if v.Epoch != old.Epoch {
		return v.Epoch > old.Epoch
	}
	return v.Sequence > old.Sequence
}
