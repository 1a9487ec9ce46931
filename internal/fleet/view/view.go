// Package view defines the view of the fleet that control sends to entries: the replicas
// and services to which requests may be sent.
package view

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
)

// Revision numbers the accepted fleet configurations. It only increases.
type Revision uint64

// Load is a report of a replica's load. It is outdated by the time it is read.
type Load struct {
	// Running is the number of requests that are being decoded.
	Running int `cbor:"1,keyasint" json:"running"`
	// Waiting is the number of requests queued in the engine.
	Waiting int `cbor:"2,keyasint" json:"waiting"`
	// WaitingTokens is the number of prompt tokens that are not yet prefilled.
	WaitingTokens int `cbor:"3,keyasint" json:"waiting_tokens"`
	// PrefillRate is the engine's measured rate in prompt tokens per second.
	PrefillRate float64 `cbor:"4,keyasint" json:"prefill_rate"`
	// TokenGap is the current time between two tokens of one stream.
	TokenGap time.Duration `cbor:"5,keyasint" json:"token_gap"`
	// Capacity is the number of requests that the engine can decode at once.
	Capacity int `cbor:"6,keyasint" json:"capacity"`
	// Sequence increases with each report of one incarnation.
	Sequence uint64 `cbor:"7,keyasint" json:"sequence"`
}

// Route is a replica that requests may be sent to.
type Route struct {
	Replica replica.Replica `cbor:"1,keyasint" json:"replica"`
	// Address is the link address of the head's agent, and Incarnation that agent's.
	Address     string           `cbor:"2,keyasint" json:"address"`
	Incarnation host.Incarnation `cbor:"3,keyasint" json:"incarnation"`
	Load        Load             `cbor:"4,keyasint" json:"load"`
	// Domains are the failure domains of the replica's hosts, that of the head first and each other one once.
	Domains []domain.Failure `cbor:"5,keyasint,omitempty" json:"domains,omitempty"`
}

// HeadDomain returns the failure domain of the replica's head, or "" if it is not known.
func (r Route) HeadDomain() domain.Failure {
	if len(r.Domains) == 0 {
		return ""
	}
	return r.Domains[0]
}

// Service is an endpoint of a plain service that requests may be sent to.
type Service struct {
	Name        string           `cbor:"1,keyasint" json:"name"`
	Host        host.ID          `cbor:"2,keyasint" json:"host"`
	Address     string           `cbor:"3,keyasint" json:"address"`
	Incarnation host.Incarnation `cbor:"4,keyasint" json:"incarnation"`
	// Domain is the failure domain of the host.
	Domain domain.Failure `cbor:"5,keyasint,omitempty" json:"domain,omitempty"`
}

// Quarantine is a request body that may not run before ExpiresUnixMs, or that may run only as
// a suspect. A body that is still listed after ExpiresUnixMs counts as a suspect.
type Quarantine struct {
	// BodyHash is the hash of method, path and normalised body.
	BodyHash uint64 `cbor:"1,keyasint" json:"body_hash"`
	// Suspect reports that the body may run, but only one suspect at a time on each
	// replica.
	Suspect bool `cbor:"2,keyasint" json:"suspect"`
	// ExpiresUnixMs is when the quarantine ends, or when control forgets a suspect, in
	// milliseconds since the Unix epoch.
	ExpiresUnixMs int64 `cbor:"3,keyasint" json:"expires_unix_ms"`
}

// View is a consistent set of the replicas and services to which requests may be sent, or
// a delta of one.
type View struct {
	// Epoch is the term of the leader that made the view. A view with a lower Epoch, or
	// with the same Epoch and a Sequence that is not higher, is dropped.
	Epoch      uint64       `cbor:"1,keyasint" json:"epoch"`
	Sequence   uint64       `cbor:"2,keyasint" json:"sequence"`
	Revision   Revision     `cbor:"3,keyasint" json:"revision"`
	Routes     []Route      `cbor:"4,keyasint" json:"routes"`
	Services   []Service    `cbor:"5,keyasint" json:"services"`
	Quarantine []Quarantine `cbor:"6,keyasint" json:"quarantine"`
	// Loads are set only in a delta. They are the new reports of replicas whose routes
	// have not changed otherwise.
	Loads []ReplicaLoad `cbor:"7,keyasint,omitempty" json:"loads,omitempty"`
	// Evacuated is the whole set also in a delta. It is nil if no failure domain was ever evacuated.
	Evacuated *Evacuated `cbor:"8,keyasint,omitempty" json:"evacuated,omitempty"`
}

// ReplicaLoad is a report of one replica's load.
type ReplicaLoad struct {
	Replica replica.ID `cbor:"1,keyasint" json:"replica"`
	Load    Load       `cbor:"2,keyasint" json:"load"`
}

// Newer reports whether v is newer than old and replaces it.
func (v View) Newer(old View) bool {
	if v.Epoch != old.Epoch {
		return v.Epoch > old.Epoch
	}
	return v.Sequence > old.Sequence
}
