// Package dialect describes the HTTP headers and formats by which the callers and endpoints of a
// platform exchange requests. The gateway is independent of the platform otherwise.
package dialect

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/routes"
)

// Headers are the names of HTTP headers, in canonical form.
type Headers struct {
	// RequestID carries the ID of one attempt of a caller. Endpoints repeat it in the response.
	RequestID string
	// Deadline carries the time that the sender waits for the response.
	Deadline string
	// APIKey carries a caller's secret key, and Team the name of the team that holds it.
	APIKey string
	Team   string
	// ExpectedEndpoint carries the ID of the only endpoint that may run the request.
	ExpectedEndpoint string
	// NotRun marks the response to a request that the endpoint did not run.
	NotRun string
	// Signature carries an endpoint's signature of its response.
	Signature string
	// Load carries the load of an endpoint in its response.
	Load string
	// Model carries the model that a request asks for, and Usage the request's size.
	Model string
	Usage string
	// LengthHint carries the caller's estimate of the output's length, in tokens.
	LengthHint string
	// Priority carries a request's priority at a model engine.
	Priority string
	// LastEventID carries the ID of the event after which a stream is resumed.
	LastEventID string
	// Leaving marks the responses of a leaving endpoint.
	Leaving string
	// RetryAfter carries how long an endpoint that responds with 503 accepts no requests.
	RetryAfter string
	// Limit carries how many requests a second an endpoint takes from all gateways together.
	Limit string
	// Cold carries how much longer an endpoint stays cold.
	Cold string
	// PromptParts lists the parts of a request's prompt in order.
	PromptParts string
}

// Load is the load that an endpoint reports.
type Load struct {
	// Running counts the requests that run, and Waiting those in the endpoint's queue.
	Running int
	Waiting int
	// Slots is the greatest number of requests that run at the same time.
	Slots int
}

// Usage is the size of a request to a model.
type Usage struct {
	PromptTokens    int
	MaxOutputTokens int
}

// Dialect holds the headers and formats of one platform. All functions must be safe for
// concurrent use.
type Dialect struct {
	Headers Headers
	// ParseTable parses the operators' configuration.
	ParseTable func(document []byte) (*routes.Table, error)
	// The other Parse functions parse a header's value and report whether it is valid. The
	// Format functions return a header's value.
	ParseDeadline  func(text string) (time.Duration, bool)
	FormatDeadline func(remaining time.Duration) string
	ParseLoad      func(text string) (Load, bool)
	ParseUsage     func(text string) (Usage, bool)
	// ParseLeaving reports whether the value of Headers.Leaving says that the endpoint leaves.
	ParseLeaving func(text string) bool
	// ParseRetryAfter parses a value of Headers.RetryAfter.
	ParseRetryAfter func(text string) (time.Duration, bool)
	// ParseLimit parses a value of Headers.Limit, in requests a second.
	ParseLimit func(text string) (float64, bool)
	// ParseCold parses a value of Headers.Cold.
	ParseCold func(text string) (time.Duration, bool)
	// ParsePromptParts parses a value of Headers.PromptParts. It returns the IDs of the parts that other
	// requests may share: all but the last one, which belongs to the request itself.
	ParsePromptParts func(text string) []string
	// FormatPriority formats a priority, of which 0 is the most urgent.
	FormatPriority func(priority int) string
}
