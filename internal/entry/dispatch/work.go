// Package dispatch executes requests. It performs the actions that the execution state
// machine decides, over links to control and to agents, and relays answers to callers.
package dispatch

import (
	"context"
	"time"

	"github.com/egretreach/egretreach/internal/entry/execution"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/fleet/team"
	"github.com/egretreach/egretreach/internal/link/message"
)

// Work is one caller's request, parsed and validated.
type Work struct {
	ID       request.ID
	Team     team.ID
	Class    team.Class
	Priority int
	Deadline time.Time
	// AtMostOnce is set if the request must not run twice; Key and KeyHash are then
	// set. KeyHash is the hash of the request that Key is bound to.
	AtMostOnce bool
	Key        string
	KeyHash    []byte
	// CallerKey is set if the caller chose the key; otherwise the entry generated it.
	CallerKey bool
	// BodyHash identifies the body in the quarantine.
	BodyHash uint64
	Suspect  bool
	// Parts identify the parts of the prompt that other requests may share.
	Parts []string
	// OnTrial is set if control allows the request as a trial although a part of it is held.
	OnTrial     bool
	TraceParent string
	// MaxAnswer bounds the answer in bytes.
	MaxAnswer int64
	Body      Body
}

// Body is the kind of work: Generation or ServiceCall.
type Body interface{ body() }

// Generation is a request to a model.
type Generation struct {
	Path    string
	Model   string
	Version string
	Adapter string
	// Prompt is the JSON of the prompt or of the messages.
	Prompt       []byte
	PromptTokens int
	// MaxTokens is the caller's limit of generated tokens, 0 if it gave none.
	MaxTokens int
	// PrefixHashes are the block hashes of the prompt.
	PrefixHashes []uint64
	// Raw is the body that the engine gets.
	Raw []byte
}

// ServiceCall is a request to a plain service.
type ServiceCall struct{ Call message.Call }

func (Generation) body()  {}
func (ServiceCall) body() {}

// Sink receives the answer as it arrives. Its method blocks while the caller is slow.
type Sink interface {
	// Tokens receives the text of count tokens; offset is the number of tokens before
	// them.
	Tokens(offset uint64, count uint32, text []byte) error
}

// Usage counts the tokens of a generation.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
	CachedTokens     int
}

// Result is the result of a request.
type Result struct {
	execution.Result
	FinishReason string
	Usage        Usage
}

// Route is the target of an attempt with callbacks that report its progress to the
// router.
type Route struct {
	Target execution.Target
	// OnFirstToken, OnTokenGap and OnEnd may be nil.
	OnFirstToken func(after time.Duration)
	// OnTokenGap receives the mean time between tokens, once for about every
	// tokensPerGap of them.
	OnTokenGap func(gap time.Duration)
	OnEnd      func(end AttemptEnd)
	// Suspect is set if the request is suspected of crashing engines.
	Suspect bool
	// Revoked, if set, is done when the attempt must be canceled and the request
	// routed again.
	Revoked context.Context
	// FirstTokenTimeout bounds each wait for a frame until the first token. On expiry
	// the attempt is canceled and the request routed again; 0 means that only the
	// deadline counts.
	FirstTokenTimeout time.Duration
}

// AttemptEnd describes the end of an attempt to the router.
type AttemptEnd struct {
	Kind execution.EndKind
	Code string
	// CachedTokens is the number of prompt tokens that the engine found in its cache, -1
	// if unknown.
	CachedTokens int
	// Crash is the number of the engine's crash that ended the attempt, 0 if none did.
	Crash uint64
}

// Router chooses the targets of attempts.
type Router interface {
	// Route returns a target for the request on a host that is not excluded. Excluded
	// hosts may be used if there are no others.
	Route(now time.Time, work Work, exclude map[host.ID]bool) (Route, error)
}

// ErrUnroutable is returned for a request that has no target now.
type ErrUnroutable struct {
	Code       string
	Reason     string
	RetryAfter time.Duration
	// Final is set if waiting does not help.
	Final bool
	// Restricted is set if all endpoints that serve the request now are ruled out for it.
	Restricted bool
}

func (e ErrUnroutable) Error() string { return e.Code + ": " + e.Reason }

// Control sends calls to the control leader.
type Control interface {
	Call(ctx context.Context, m message.Message) (message.Message, error)
}
