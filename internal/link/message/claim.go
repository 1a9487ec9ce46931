package message

import (
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/fleet/team"
)

// Claim asks for the right to run a non-idempotent request. One frame may carry
// many claims; they commit together.
type Claim struct {
	Items []ClaimItem `cbor:"1,keyasint"`
}

// ClaimItem claims one idempotency key for one attempt.
type ClaimItem struct {
	Team team.ID `cbor:"1,keyasint"`
	// Key is the caller's Idempotency-Key or a minted one.
	Key string `cbor:"2,keyasint"`
	// BodyHash is the SHA-256 of method, path and body.
	BodyHash []byte          `cbor:"3,keyasint"`
	Request  request.ID      `cbor:"4,keyasint"`
	Attempt  request.Attempt `cbor:"5,keyasint"`
	// Host and Incarnation name the agent to which the attempt will go.
	Host        host.ID          `cbor:"6,keyasint"`
	Incarnation host.Incarnation `cbor:"7,keyasint"`
	Address     string           `cbor:"8,keyasint"`
	// Supersedes is the attempt that an attestation has shown not to have run,
	// or nil for a first claim.
	Supersedes *Attested `cbor:"9,keyasint,omitempty"`
}

// Attested names an attempt that provably did not run and never will.
type Attested struct {
	Request request.ID      `cbor:"1,keyasint"`
	Attempt request.Attempt `cbor:"2,keyasint"`
}

// ClaimState is the ledger's word on a key.
type ClaimState string

// The states of a claim.
const (
	// ClaimGranted: the caller of Claim may dispatch this attempt, once.
	ClaimGranted ClaimState = "granted"
	// ClaimRunning: another attempt holds the key.
	ClaimRunning ClaimState = "running"
	// ClaimComplete: the key has its answer.
	ClaimComplete ClaimState = "complete"
	// ClaimUnknown: an attempt may have run; its answer is lost.
	ClaimUnknown ClaimState = "unknown"
	// ClaimMismatch: the key was used with another body.
	ClaimMismatch ClaimState = "mismatch"
	// ClaimFull: the ledger has no room; nothing was claimed.
	ClaimFull ClaimState = "full"
)

// ClaimResult answers a Claim, item by item.
type ClaimResult struct {
	Items []ClaimItemResult `cbor:"1,keyasint"`
}

// ClaimItemResult is the ledger's word on one item.
type ClaimItemResult struct {
	State ClaimState `cbor:"1,keyasint"`
	// Request, Attempt, Host, Incarnation and Address are those of the claim's holder.
	Request     request.ID       `cbor:"2,keyasint"`
	Attempt     request.Attempt  `cbor:"3,keyasint"`
	Host        host.ID          `cbor:"4,keyasint"`
	Incarnation host.Incarnation `cbor:"5,keyasint"`
	Address     string           `cbor:"6,keyasint"`
	Answer      *Answer          `cbor:"7,keyasint,omitempty"`
}

// Answer is a stored answer.
type Answer struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Body   []byte              `cbor:"3,keyasint,omitempty"`
	// Dropped says that the body was too large to keep.
	Dropped bool `cbor:"4,keyasint,omitempty"`
}

// Settle records how claimed attempts ended.
type Settle struct {
	Items []SettleItem `cbor:"1,keyasint"`
}

// SettleItem records the end of one attempt. OutcomeNotRun frees the key.
type SettleItem struct {
	Team    team.ID         `cbor:"1,keyasint"`
	Key     string          `cbor:"2,keyasint"`
	Request request.ID      `cbor:"3,keyasint"`
	Attempt request.Attempt `cbor:"4,keyasint"`
	Outcome request.Outcome `cbor:"5,keyasint"`
	Answer  *Answer         `cbor:"6,keyasint,omitempty"`
}

// SettleResult answers a Settle; Recorded holds one value for each item.
type SettleResult struct {
	Recorded []bool `cbor:"1,keyasint"`
}

// CrashReport names the request bodies that were in flight when an engine crashed.
type CrashReport struct {
	Replica  replica.ID    `cbor:"1,keyasint"`
	Fence    replica.Fence `cbor:"2,keyasint"`
	Suspects []uint64      `cbor:"3,keyasint"`
	// Crash tells one crash from another, so that a report sent twice counts once.
	Crash request.ID `cbor:"4,keyasint"`
}

// SuspectsCleared names suspect bodies that have run to their end under the
// suspect's restriction. Control frees them; quarantined bodies stay.
type SuspectsCleared struct {
	BodyHashes []uint64 `cbor:"1,keyasint"`
}

// Ack answers a call that has no result of its own.
type Ack struct{}

// Failure answers a call that failed.
type Failure struct {
	// Code is one of the codes listed in the package documentation of control.
	Code   string `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
	// MayHaveApplied says that the change may still take effect.
	MayHaveApplied bool `cbor:"3,keyasint,omitempty"`
}

func (*Claim) kind() Kind { return kindClaim }

func (*ClaimResult) kind() Kind { return kindClaimResult }

func (*Settle) kind() Kind { return kindSettle }

func (*SettleResult) kind() Kind { return kindSettleResult }

func (*CrashReport) kind() Kind { return kindCrashReport }

func (*SuspectsCleared) kind() Kind { return kindSuspectsCleared }

func (*Ack) kind() Kind { return kindAck }

func (*Failure) kind() Kind { return kindFailure }
