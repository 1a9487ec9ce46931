package message

import (
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/fleet/view"
)

// ApplyConfig offers a new fleet configuration.
type ApplyConfig struct {
	YAML []byte `cbor:"1,keyasint"`
	// Base is the revision that the operator's change was made on.
	Base view.Revision `cbor:"2,keyasint"`
	// ChangeID makes a resend of the same change safe.
	ChangeID string `cbor:"3,keyasint"`
	// Operator is filled in by control from the certificate.
	Operator string `cbor:"4,keyasint"`
	DryRun   bool   `cbor:"5,keyasint"`
}

// ApplyResult answers an ApplyConfig.
type ApplyResult struct {
	// Accepted says that Revision is in the log.
	Accepted bool          `cbor:"1,keyasint"`
	Revision view.Revision `cbor:"2,keyasint"`
	// Conflict names the change that won, if Base was not the latest revision.
	Conflict string `cbor:"3,keyasint,omitempty"`
	// Problems are the reasons for refusing the file, with line and key.
	Problems []string `cbor:"4,keyasint,omitempty"`
	Diff     string   `cbor:"5,keyasint,omitempty"`
}

// ConfigQuery asks for a configuration; Revision 0 is the latest.
type ConfigQuery struct {
	Revision view.Revision `cbor:"1,keyasint"`
	History  bool          `cbor:"2,keyasint"`
}

// ConfigResult answers a ConfigQuery.
type ConfigResult struct {
	Revision view.Revision  `cbor:"1,keyasint"`
	YAML     []byte         `cbor:"2,keyasint"`
	History  []ConfigChange `cbor:"3,keyasint,omitempty"`
}

// ConfigChange is one accepted change.
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
}

// ControlStatus is one control host as the leader sees it.
type ControlStatus struct {
	Host    host.ID `cbor:"1,keyasint" json:"host"`
	Address string  `cbor:"2,keyasint" json:"address"`
	// State is "leader", "follower" or "silent".
	State string `cbor:"3,keyasint" json:"state"`
	Match uint64 `cbor:"4,keyasint" json:"match"`
}

// HostStatus is one announced host.
type HostStatus struct {
	Info host.Info `cbor:"1,keyasint" json:"info"`
	Role host.Role `cbor:"2,keyasint" json:"role"`
	// LeaseMs is what is left of the lease, in milliseconds.
	LeaseMs  int64         `cbor:"3,keyasint" json:"lease_ms"`
	Revision view.Revision `cbor:"4,keyasint" json:"revision"`
	Replica  replica.ID    `cbor:"5,keyasint" json:"replica,omitempty"`
	Drained  bool          `cbor:"6,keyasint" json:"drained"`
	Healthy  bool          `cbor:"7,keyasint" json:"healthy"`
}

// DeploymentStatus sums a deployment up.
type DeploymentStatus struct {
	Name    string `cbor:"1,keyasint" json:"name"`
	Wanted  int    `cbor:"2,keyasint" json:"wanted"`
	Serving int    `cbor:"3,keyasint" json:"serving"`
	Loading int    `cbor:"4,keyasint" json:"loading"`
	// Waits are the reasons for which placement leaves the deployment's faults as
	// they are at present.
	Waits []string `cbor:"5,keyasint,omitempty" json:"waits,omitempty"`
}

// Drain starts or ends the planned stop of a host.
type Drain struct {
	Host   host.ID `cbor:"1,keyasint"`
	Undo   bool    `cbor:"2,keyasint"`
	Reason string  `cbor:"3,keyasint"`
}

// QuarantineQuery asks for the quarantined bodies.
type QuarantineQuery struct{}

// QuarantineResult answers a QuarantineQuery.
type QuarantineResult struct {
	Entries []view.Quarantine `cbor:"1,keyasint"`
}

// QuarantineClear frees a body; 0 frees all.
type QuarantineClear struct {
	BodyHash uint64 `cbor:"1,keyasint"`
}

// RequestQuery asks what became of a claimed request.
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
	UnixMs  int64           `cbor:"6,keyasint" json:"unix_ms"`
}

// Quorum carries one message of the replicated log between control hosts.
type Quorum struct {
	Body []byte `cbor:"1,keyasint"`
}

func (*ApplyConfig) kind() Kind { return kindApplyConfig }

func (*ApplyResult) kind() Kind { return kindApplyResult }

func (*ConfigQuery) kind() Kind { return kindConfigQuery }

func (*ConfigResult) kind() Kind { return kindConfigResult }

func (*StatusQuery) kind() Kind { return kindStatusQuery }

func (*StatusResult) kind() Kind { return kindStatusResult }

func (*Drain) kind() Kind { return kindDrain }

func (*QuarantineQuery) kind() Kind { return kindQuarantineQuery }

func (*QuarantineResult) kind() Kind { return kindQuarantineResult }

func (*QuarantineClear) kind() Kind { return kindQuarantineClear }

func (*RequestQuery) kind() Kind { return kindRequestQuery }

func (*RequestResult) kind() Kind { return kindRequestResult }

func (*Quorum) kind() Kind { return kindQuorum }
