// Package admission decides which requests an entry takes, when they start, and
// which it refuses at once.
//
// A Queue shares the slots of one deployment among teams and classes by start-time
// fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996) on the estimated cost of each
// request, and refuses what cannot meet its deadline. A Quota holds the limits of
// teams at this entry's share of them. A Limiter adapts the concurrency of one
// replica to its latency.
//
// The package holds no clock, goroutine or lock: the caller gives the time and
// serialises the calls.
package admission

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/fleet/team"
)

// Code says why a request was refused. It was not run.
type Code string

// The reasons for a refusal.
const (
	// CodeDeadline: the answer would not be complete by the deadline.
	CodeDeadline Code = "deadline"
	// CodeQueueFull: the queue has no room for the team.
	CodeQueueFull Code = "queue_full"
	// CodeTeamRequests, CodeTeamTokens and CodeTeamConcurrency: a limit of the team is reached.
	CodeTeamRequests    Code = "team_requests"
	CodeTeamTokens      Code = "team_tokens"
	CodeTeamConcurrency Code = "team_concurrency"
)

// Request is what a Queue needs to know of a request.
type Request struct {
	ID    request.ID
	Team  team.ID
	Class team.Class
	// Priority orders the requests of one team and class; higher goes first.
	Priority int
	// Deadline is when the whole answer is due; zero is never.
	Deadline time.Time
	// Cost is the estimated work, in tokens.
	Cost float64
}

// Decision is the answer to an offer. It is one of Admitted, Queued and Refused.
type Decision interface {
	decision()
}

// Admitted says that the request holds a slot and may start now.
type Admitted struct{}

// Queued says that the request waits until Next or Expire names it.
type Queued struct {
	// Wait is the expected wait.
	Wait time.Duration
	// Displaced is a waiting request that had to make room, or nil.
	Displaced *RefusedRequest
}

// Refused says that the request is not run.
type Refused struct {
	Code Code
	// RetryAfter is when it is worth coming back.
	RetryAfter time.Duration
}

// RefusedRequest is a waiting request that is refused after all.
type RefusedRequest struct {
	Request Request
	Refused Refused
}

func (Admitted) decision() {}

func (Queued) decision() {}

func (Refused) decision() {}
