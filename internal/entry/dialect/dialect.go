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
	// Key is a caller's secret, and Team the name of the team that holds it.
	Key  string
	Team string
	// Expect names the endpoint that alone may run the request.
	Expect string
	// NotRun marks an endpoint's answer to a request that it did not run.
	NotRun string
	// Signature vouches for an endpoint's answer.
	Signature string
	// Load is what an endpoint says of its load.
	Load string
	// Model is the model that a request wants, and Usage its size.
	Model string
	Usage string
	// Length is the caller's estimate of the answer's length, in tokens.
	Length string
	// Priority ranks a request at an engine.
	Priority string
	// LastEvent is the ID of the last event that a resumed stream has had.
	LastEvent string
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
	Prompt int
	// Answer is the most that is generated.
	Answer int
}

// Dialect is one platform's way to speak. All functions are safe for concurrent use.
type Dialect struct {
	Headers Headers
	// Table reads an operator's document.
	Table func(document []byte) (*routes.Table, error)
	// ReadDeadline and WriteDeadline convert the deadline header.
	ReadDeadline  func(text string) (time.Duration, bool)
	WriteDeadline func(left time.Duration) string
	ReadLoad      func(text string) (Load, bool)
	ReadUsage     func(text string) (Usage, bool)
	// WritePriority gives the rank of a request, 0 being the most urgent.
	WritePriority func(rank int) string
}
