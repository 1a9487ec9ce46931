package message

import (
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/fleet/team"
)

// Ref identifies one attempt of one request, in every frame about it.
type Ref struct {
	Request request.ID      `cbor:"1,keyasint"`
	Attempt request.Attempt `cbor:"2,keyasint"`
}

// Dispatch sends an attempt to an agent. Exactly one of Generate and Call is set.
type Dispatch struct {
	Ref   Ref        `cbor:"1,keyasint"`
	Team  team.ID    `cbor:"2,keyasint"`
	Class team.Class `cbor:"3,keyasint"`
	// Incarnation is that of the agent that the entry selected. An agent of another
	// incarnation refuses the attempt.
	Incarnation host.Incarnation `cbor:"4,keyasint"`
	// TimeoutMs is the time left until the caller's deadline, in milliseconds.
	TimeoutMs int64 `cbor:"5,keyasint"`
	// BodyHash is the hash of method, path and normalised body, for quarantine.
	BodyHash uint64 `cbor:"6,keyasint"`
	// AtMostOnce reports that the attempt holds a claim and must not run twice.
	AtMostOnce bool `cbor:"7,keyasint"`
	// Suspect reports that the body must not run beside another suspect.
	Suspect     bool      `cbor:"8,keyasint,omitempty"`
	Priority    int       `cbor:"9,keyasint,omitempty"`
	TraceParent string    `cbor:"10,keyasint,omitempty"`
	Generate    *Generate `cbor:"11,keyasint,omitempty"`
	Call        *Call     `cbor:"12,keyasint,omitempty"`
}

// Generate is work for a model engine.
type Generate struct {
	Replica replica.ID    `cbor:"1,keyasint"`
	Fence   replica.Fence `cbor:"2,keyasint"`
	// Path is the caller's path, such as "/v1/chat/completions".
	Path    string `cbor:"3,keyasint"`
	Body    []byte `cbor:"4,keyasint"`
	Adapter string `cbor:"5,keyasint,omitempty"`
	// ResumeOffset is the number of tokens that the caller already has, and ResumeText
	// is their text. The engine continues after them.
	ResumeOffset uint64 `cbor:"6,keyasint,omitempty"`
	ResumeText   string `cbor:"7,keyasint,omitempty"`
}

// Call is work for a plain service.
type Call struct {
	Service string              `cbor:"1,keyasint"`
	Method  string              `cbor:"2,keyasint"`
	Path    string              `cbor:"3,keyasint"`
	Query   string              `cbor:"4,keyasint,omitempty"`
	Header  map[string][]string `cbor:"5,keyasint,omitempty"`
	Body    []byte              `cbor:"6,keyasint,omitempty"`
}

// Accepted reports that the agent has passed the attempt to its endpoint or is about
// to.
type Accepted struct {
	Ref Ref `cbor:"1,keyasint"`
}

// Refused reports that the agent has not passed the attempt to its endpoint and never
// will.
type Refused struct {
	Ref    Ref    `cbor:"1,keyasint"`
	Code   string `cbor:"2,keyasint"`
	Reason string `cbor:"3,keyasint"`
	// RetryAfterMs is the delay in milliseconds after which to try again; 0 means
	// that none is given.
	RetryAfterMs int64 `cbor:"4,keyasint,omitempty"`
}

// Head contains the status and header of a plain service's answer.
type Head struct {
	Ref    Ref                 `cbor:"1,keyasint"`
	Status int                 `cbor:"2,keyasint"`
	Header map[string][]string `cbor:"3,keyasint,omitempty"`
}

// Chunk is a part of an answer, in tokens for a generation and in bytes for a call.
type Chunk struct {
	Ref Ref `cbor:"1,keyasint"`
	// Offset is the number of tokens or bytes before this chunk.
	Offset uint64 `cbor:"2,keyasint"`
	// Count is the number of tokens or bytes in Data.
	Count uint32 `cbor:"3,keyasint"`
	Data  []byte `cbor:"4,keyasint"`
}

// End reports the outcome of an attempt that was accepted.
type End struct {
	Ref     Ref             `cbor:"1,keyasint"`
	Outcome request.Outcome `cbor:"2,keyasint"`
	// Code and Reason say why the attempt did not complete.
	Code   string `cbor:"3,keyasint,omitempty"`
	Reason string `cbor:"4,keyasint,omitempty"`
	// Length is the length of the whole answer, in tokens or bytes.
	Length           uint64 `cbor:"5,keyasint,omitempty"`
	FinishReason     string `cbor:"6,keyasint,omitempty"`
	PromptTokens     int    `cbor:"7,keyasint,omitempty"`
	CompletionTokens int    `cbor:"8,keyasint,omitempty"`
	CachedTokens     int    `cbor:"9,keyasint,omitempty"`
	// Crash numbers the engine's crashes that an incarnation of the agent has seen. It is set if such a crash
	// ended the attempt.
	Crash uint64 `cbor:"10,keyasint,omitempty"`
}

// Cancel asks the agent to abandon an attempt.
type Cancel struct {
	Ref Ref `cbor:"1,keyasint"`
}

// Ask asks an agent for the state of an attempt.
type Ask struct {
	Ref         Ref              `cbor:"1,keyasint"`
	Incarnation host.Incarnation `cbor:"2,keyasint"`
	// Tombstone asks the agent never to pass the attempt to its endpoint, unless it
	// already has.
	Tombstone bool `cbor:"3,keyasint"`
	// Wait asks the agent to delay its answer until a running attempt has ended.
	Wait bool `cbor:"4,keyasint"`
	// AtMostOnce reports that the attempt was dispatched as at-most-once. Agents keep
	// the records of such attempts longer than those of idempotent ones.
	AtMostOnce bool `cbor:"5,keyasint,omitempty"`
}

// AskState is the state of an attempt at its agent.
type AskState string

// The states of an attempt at its agent.
const (
	AskRunning  AskState = "running"
	AskComplete AskState = "complete"
	// AskNotRun attests that the attempt was not passed to the endpoint and never will
	// be.
	AskNotRun AskState = "not_run"
	// AskUnknown means that the agent has no record of the attempt, or that the
	// attempt may have run.
	AskUnknown AskState = "unknown"
)

// AskResult answers an Ask.
type AskResult struct {
	Ref    Ref      `cbor:"1,keyasint"`
	State  AskState `cbor:"2,keyasint"`
	Answer *Answer  `cbor:"3,keyasint,omitempty"`
}

func (*Dispatch) kind() Kind { return kindDispatch }

func (*Accepted) kind() Kind { return kindAccepted }

func (*Refused) kind() Kind { return kindRefused }

func (*Head) kind() Kind { return kindHead }

func (*Chunk) kind() Kind { return kindChunk }

func (*End) kind() Kind { return kindEnd }

func (*Cancel) kind() Kind { return kindCancel }

func (*Ask) kind() Kind { return kindAsk }

func (*AskResult) kind() Kind { return kindAskResult }
