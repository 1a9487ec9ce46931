// Package dispatch carries requests out: it performs the steps that the execution
// machine decides, over links to control and to agents, and relays answers.
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

// Work is one caller's request, read and checked.
type Work struct {
	ID       request.ID
	Team     team.ID
	Class    team.Class
	Priority int
	Deadline time.Time
	// AtMostOnce says that the request may not run twice; Key and KeyHash are then set.
	AtMostOnce bool
	Key        string
	KeyHash    []byte
	// CallerKey says that the key is the caller's own, not a minted one.
	CallerKey   bool
	BodyHash    uint64
	Suspect     bool
	TraceParent string
	// MaxAnswer bounds the answer, in bytes.
	MaxAnswer int64
	Body      Body
}

// Body is what is asked for: Generation or ServiceCall.
type Body interface{ body() }

// Generation is work for a model.
type Generation struct {
	Path         string
	Model        string
	Version      string
	Adapter      string
	Prompt       []byte
	PromptTokens int
	// MaxTokens is the caller's bound, 0 if it gave none.
	MaxTokens int
	// PrefixHashes are the block hashes of the prompt.
	PrefixHashes []uint64
	Raw          []byte
}

// ServiceCall is work for a plain service.
type ServiceCall struct{ Call message.Call }

func (Generation) body()  {}
func (ServiceCall) body() {}

// Sink takes the answer as it arrives. A call blocks while the caller is slow.
type Sink interface {
	// Tokens takes a run of count tokens; offset is the number before it.
	Tokens(offset uint64, count uint32, text []byte) error
}

// Usage counts the tokens of a generation.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
	CachedTokens     int
}

// Result is how a request ended.
type Result struct {
	execution.Result
	FinishReason string
	Usage        Usage
}

// Route is where an attempt goes, and how its end is told to the policy.
type Route struct {
	Target execution.Target
	// OnFirstToken, TokenGap and Done may be nil.
	OnFirstToken func(after time.Duration)
	// OnTokenGap is told the mean time between tokens, every gapTokens of them.
	OnTokenGap func(gap time.Duration)
	OnEnd      func(end AttemptEnd)
	Suspect    bool
	// Revoked, if set, ends when the attempt is to be broken off and offered again.
	Revoked context.Context
	// FirstTokenTimeout is how long the first token may take before the attempt is broken off
	// and offered again; 0 is as long as the deadline allows.
	FirstTokenTimeout time.Duration
}

// AttemptEnd is what the policy learns from an attempt.
type AttemptEnd struct {
	Kind execution.EndKind
	Code string
	// CachedTokens is the number of prompt tokens that the engine had cached, -1 if
	// it did not say.
	CachedTokens int
}

// Router chooses targets.
type Router interface {
	// Route returns a target for work away from the excluded hosts.
	Route(now time.Time, work Work, exclude map[host.ID]bool) (Route, error)
}

// ErrUnroutable is work that has no target now.
type ErrUnroutable struct {
	Code       string
	Reason     string
	RetryAfter time.Duration
	// Final says that waiting does not help.
	Final bool
}

func (e ErrUnroutable) Error() string { return e.Code + ": " + e.Reason }

// Control makes calls to the control leader.
type Control interface {
	Call(ctx context.Context, m message.Message) (message.Message, error)
}
