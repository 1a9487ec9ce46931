// Package admission decides which requests an entry accepts, when they start, and which
// it refuses at once.
//
// A Queue shares the slots of one model among teams and classes by start-time fair
// queueing (Goyal, Vin and Cheng, SIGCOMM 1996) on the estimated cost of each request,
// and refuses requests that cannot meet their deadline. A Quota enforces this entry's
// share of the teams' limits. A Limiter adapts the concurrency of one replica to its
// latency.
//
// The package has no clock, goroutine or lock: the caller passes the time and must
// serialise the calls.
package admission

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/fleet/team"
)

// Code is the reason why a request was refused. A refused request was not run.
type Code string

// The reasons for a refusal.
const (
	// CodeDeadline: the response would not be complete by the deadline.
	CodeDeadline Code = "deadline"
	// CodeQueueFull: the queue has no room for the team.
	CodeQueueFull Code = "queue_full"
	// CodeTeamRequests, CodeTeamTokens and CodeTeamConcurrency: the team has reached a
	// limit.
	CodeTeamRequests    Code = "team_requests"
	CodeTeamTokens      Code = "team_tokens"
	CodeTeamConcurrency Code = "team_concurrency"
)

// Request describes a request to a Queue.
type Request struct {
	ID    request.ID
	Team  team.ID
	Class team.Class
	// Priority orders the requests of one team and class; higher values go first.
	Priority int
	// Deadline is when the response must be complete; zero means none.
	Deadline time.Time
	// Cost is the estimated work, in tokens.
	Cost float64
}

// Decision is the result of Queue.Offer: Admitted, Queued or Refused.
type Decision interface {
	decision()
}

// Admitted means that the request holds a slot and may start now.
type Admitted struct{}

// Queued means that the request waits until Next or Expire returns it.
type Queued struct {
	// Wait is the expected wait.
	Wait time.Duration
	// Displaced is the waiting request that was removed to make room, or nil.
	Displaced *RefusedRequest
}

// Refused means that the request is not run.
type Refused struct {
	Code Code
	// RetryAfter is how long the caller should wait before it retries. It is 0 if
	// a slot is free and the request would miss its deadline even so.
	RetryAfter time.Duration
}

// RefusedRequest is a request that was waiting and is now refused.
type RefusedRequest struct {
	Request Request
	Refused Refused
}

func (Admitted) decision() {}

func (Queued) decision() {}

func (Refused) decision() {}
