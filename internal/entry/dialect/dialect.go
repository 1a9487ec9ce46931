// Package dialect names what a platform's callers and endpoints call the parts of a
// request. The gateway reads and writes them by these names and knows no others.
package dialect

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/routes"
)

// Headers are the names of HTTP headers, in canonical form.
type Headers struct {
	// RequestID identifies one attempt of a caller. Endpoints repeat it in answers.
	RequestID string
	// Deadline is how long the sender waits for the answer.
	Deadline string
	// APIKey is a caller's secret, and Team the name of the team that holds it.
	APIKey string
	Team   string
	// ExpectedEndpoint names the endpoint that alone may run the request.
	ExpectedEndpoint string
	// NotRun marks an endpoint's answer to a request that it did not run.
	NotRun string
	// Signature vouches for an endpoint's answer.
	Signature string
	// Load is what an endpoint says of its load.
	Load string
	// Model is the model that a request wants, and Usage its size.
	Model string
	Usage string
	// LengthHint is the caller's estimate of the answer's length, in tokens.
	LengthHint string
	// Priority ranks a request at an engine.
	Priority string
	// LastEventID is the ID of the last event that a resumed stream has had.
	LastEventID string
}

// Load is what an endpoint says of its load.
type Load struct {
	// Running requests are at work, Waiting ones queue behind them.
	Running int
	Waiting int
	// Slots is how many can be at work.
	Slots int
}

// Usage is the size of a generation, in tokens.
type Usage struct {
	PromptTokens int
	// MaxOutputTokens is the most that is generated.
	MaxOutputTokens int
}

// Dialect is one platform's way to speak. All functions are safe for concurrent use.
type Dialect struct {
	Headers Headers
	// ParseTable reads an operator's document.
	ParseTable func(document []byte) (*routes.Table, error)
	// ParseDeadline and WriteDeadline convert the deadline header.
	ParseDeadline  func(text string) (time.Duration, bool)
	FormatDeadline func(left time.Duration) string
	ParseLoad      func(text string) (Load, bool)
	ParseUsage     func(text string) (Usage, bool)
	// FormatPriority gives the rank of a request, 0 being the most urgent.
	FormatPriority func(rank int) string
}
