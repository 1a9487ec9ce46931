package message

import (
	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/fleet/view"
)

// ApplyConfig submits a new fleet configuration.
type ApplyConfig struct {
	YAML []byte `cbor:"1,keyasint"`
	// Base is the revision that the operator edited. The change is accepted only if
	// that is still the latest one.
	Base view.Revision `cbor:"2,keyasint"`
	// ChangeID makes a resend of the same change safe: it gets the first result again.
	ChangeID string `cbor:"3,keyasint"`
	// Operator is set by control from the caller's certificate.
	Operator string `cbor:"4,keyasint"`
	// DryRun asks for the checks and the diff only. Nothing is changed.
	DryRun bool `cbor:"5,keyasint"`
}

// ApplyResult answers an ApplyConfig.
type ApplyResult struct {
	// Accepted reports that the configuration is committed as Revision.
	Accepted bool `cbor:"1,keyasint"`
	// Revision is the revision of the change if it was accepted, and the latest one
	// otherwise.
	Revision view.Revision `cbor:"2,keyasint"`
	// Conflict describes the change that was accepted on Base instead, if Base is not
	// the latest revision, or the misuse of an earlier ChangeID.
	Conflict string `cbor:"3,keyasint,omitempty"`
	// Problems are the reasons why the file is invalid, with line and key.
	Problems []string `cbor:"4,keyasint,omitempty"`
	// Diff is the unified diff from the configuration in force.
	Diff string `cbor:"5,keyasint,omitempty"`
}

// ConfigQuery asks for a fleet configuration.
type ConfigQuery struct {
	// Revision 0 is the latest revision.
	Revision view.Revision `cbor:"1,keyasint"`
	// History asks for the accepted changes as well.
	History bool `cbor:"2,keyasint"`
}

// ConfigResult answers a ConfigQuery.
type ConfigResult struct {
	Revision view.Revision  `cbor:"1,keyasint"`
	YAML     []byte         `cbor:"2,keyasint"`
	History  []ConfigChange `cbor:"3,keyasint,omitempty"`
}

// ConfigChange is one accepted change of the fleet configuration.
type ConfigChange struct {
	Revision view.Revision `cbor:"1,keyasint" json:"revision"`
	ChangeID string        `cbor:"2,keyasint" json:"change_id"`
	Operator string        `cbor:"3,keyasint" json:"operator"`
	UnixMs   int64         `cbor:"4,keyasint" json:"unix_ms"`
}

// StatusQuery asks for the state of the fleet.
type StatusQuery struct{}

// StatusResult answers a StatusQuery.
type StatusResult struct {
	Leader      string             `cbor:"1,keyasint" json:"leader"`
	Term        uint64             `cbor:"2,keyasint" json:"term"`
	Revision    view.Revision      `cbor:"3,keyasint" json:"revision"`
	Control     []ControlStatus    `cbor:"4,keyasint" json:"control"`
	Hosts       []HostStatus       `cbor:"5,keyasint" json:"hosts"`
	Replicas    []replica.Replica  `cbor:"6,keyasint" json:"replicas"`
	Deployments []DeploymentStatus `cbor:"7,keyasint" json:"deployments"`
	// Evacuated are the evacuated failure domains, sorted.
	Evacuated []domain.Failure `cbor:"8,keyasint,omitempty" json:"evacuated,omitempty"`
}

// ControlStatus is the status of one control host, as the leader knows it.
type ControlStatus struct {
	Host    host.ID `cbor:"1,keyasint" json:"host"`
	Address string  `cbor:"2,keyasint" json:"address"`
	// State is "leader", "follower" or "silent". A silent host does not reply.
	State string `cbor:"3,keyasint" json:"state"`
	// MatchIndex is the highest log index known to be replicated to the host.
	MatchIndex uint64 `cbor:"4,keyasint" json:"match"`
}

// HostStatus is the status of one announced host.
type HostStatus struct {
	Info host.Info `cbor:"1,keyasint" json:"info"`
	Role host.Role `cbor:"2,keyasint" json:"role"`
	// LeaseMs is the remaining time of the lease, in milliseconds.
	LeaseMs  int64         `cbor:"3,keyasint" json:"lease_ms"`
	Revision view.Revision `cbor:"4,keyasint" json:"revision"`
	Replica  replica.ID    `cbor:"5,keyasint" json:"replica,omitempty"`
	Drained  bool          `cbor:"6,keyasint" json:"drained"`
	Healthy  bool          `cbor:"7,keyasint" json:"healthy"`
}

// DeploymentStatus counts the replicas of a deployment.
type DeploymentStatus struct {
	Name    string `cbor:"1,keyasint" json:"name"`
	Wanted  int    `cbor:"2,keyasint" json:"wanted"`
	Serving int    `cbor:"3,keyasint" json:"serving"`
	Loading int    `cbor:"4,keyasint" json:"loading"`
	// WaitReasons are the reasons why placement does not repair the deployment at present.
	WaitReasons []string `cbor:"5,keyasint,omitempty" json:"waits,omitempty"`
}

// Drain takes a host out of service for maintenance, or returns it to service.
type Drain struct {
	Host host.ID `cbor:"1,keyasint"`
	// Undo ends an earlier drain.
	Undo   bool   `cbor:"2,keyasint"`
	Reason string `cbor:"3,keyasint"`
}

// Evacuate asks that the endpoints of a failure domain get no new requests, or that they may get them again.
// It may be sent again: a change that is in force already is acknowledged like the first time.
type Evacuate struct {
	Domain domain.Failure `cbor:"1,keyasint"`
	// Undo withdraws an earlier evacuation.
	Undo bool `cbor:"2,keyasint"`
}

// QuarantineQuery asks for the quarantined and suspect request bodies.
type QuarantineQuery struct{}

// QuarantineResult answers a QuarantineQuery.
type QuarantineResult struct {
	Entries []view.Quarantine `cbor:"1,keyasint"`
}

// QuarantineClear removes a body from the quarantine and the suspects.
type QuarantineClear struct {
	// BodyHash is the hash of method, path and normalised body; 0 removes all.
	BodyHash uint64 `cbor:"1,keyasint"`
}

// RequestQuery asks for the state of a claimed request.
type RequestQuery struct {
	Request request.ID `cbor:"1,keyasint"`
}

// RequestResult answers a RequestQuery.
type RequestResult struct {
	Found   bool            `cbor:"1,keyasint" json:"found"`
	State   ClaimState      `cbor:"2,keyasint" json:"state"`
	Team    string          `cbor:"3,keyasint" json:"team"`
	Attempt request.Attempt `cbor:"4,keyasint" json:"attempt"`
	Host    host.ID         `cbor:"5,keyasint" json:"host"`
	// UnixMs is the time at which the claim was granted or, once the request is
	// complete, at which it completed. It is in milliseconds since the Unix epoch.
	UnixMs int64 `cbor:"6,keyasint" json:"unix_ms"`
}

// Quorum is one message of the replicated log between control hosts.
type Quorum struct {
	// Body is encoded by package quorum.
	Body []byte `cbor:"1,keyasint"`
}

func (*ApplyConfig) kind() Kind { return kindApplyConfig }

func (*ApplyResult) kind() Kind { return kindApplyResult }

func (*ConfigQuery) kind() Kind { return kindConfigQuery }

func (*ConfigResult) kind() Kind { return kindConfigResult }

func (*StatusQuery) kind() Kind { return kindStatusQuery }

func (*StatusResult) kind() Kind { return kindStatusResult }

func (*Drain) kind() Kind { return kindDrain }

func (*Evacuate) kind() Kind { return kindEvacuate }

func (*QuarantineQuery) kind() Kind { return kindQuarantineQuery }

func (*QuarantineResult) kind() Kind { return kindQuarantineResult }

func (*QuarantineClear) kind() Kind { return kindQuarantineClear }

func (*RequestQuery) kind() Kind { return kindRequestQuery }

func (*RequestResult) kind() Kind { return kindRequestResult }

func (*Quorum) kind() Kind { return kindQuorum }
