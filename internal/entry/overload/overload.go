// Package overload decides for one service and model, while it has more requests than capacity, which requests wait and in what
// order, which leave room for more urgent ones, and when refused callers return.
//
// The package does no I/O and reads no clock: the caller passes in the time and what it observes. It is not safe for concurrent
// use.
package overload

import (
	"cmp"
	"time"
)

const (
	// minPatience, objectivePatience and gapPatience give the time without an event after which callers cancel a stream: the
	// longest of minPatience and these multiples of the route's objective and longest gap.
	minPatience       = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8
	// patienceShare is the part of Patience for which a request may wait. The rest is for the first event.
	patienceShare = 0.7
	// remainingShare is the part of the time until its deadline for which a request may wait. The rest is for the response or,
	// after a refusal, for a return.
	remainingShare = 0.5
)

// Patience returns how long callers of a stream wait without an event before they cancel it.
func Patience(objective, longestGap time.Duration) time.Duration {
	return max(minPatience, objectivePatience*objective, gapPatience*longestGap)
}

// LateUntil returns until when a stream request may wait in the queue, if its caller has sent it at arrivedAt.
func LateUntil(arrivedAt, deadline time.Time, objective, longestGap time.Duration) time.Time {
	wait := time.Duration(patienceShare * float64(Patience(objective, longestGap)))
	wait = min(wait, time.Duration(remainingShare*float64(deadline.Sub(arrivedAt))))
	return arrivedAt.Add(wait)
}

// Turn is the place of a waiting request in the order in which requests are tried.
type Turn struct {
	// Resumed says that the caller has a part of the response already. Such a request goes first.
	Resumed bool
	// Late says that the objective can't be met any more. A late request goes after all that can still meet theirs.
	Late bool
	// Returned says that the caller was refused before. It goes before new requests of its rank.
	Returned bool
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// Tag orders the requests of one rank so that teams get equal shares.
	Tag float64
	// Since is when the caller began to wait, earlier attempts included.
	Since time.Time
}

// Compare orders waiting requests.
func Compare(a, b Turn) int {
	if c := cmp.Or(first(a.Resumed, b.Resumed), first(!a.Late, !b.Late), cmp.Compare(a.Priority, b.Priority)); c != 0 {
		return c
	}
	if a.Late {
		return a.Since.Compare(b.Since)
	}
	return cmp.Or(first(a.Returned, b.Returned), cmp.Compare(a.Tag, b.Tag), a.Since.Compare(b.Since))
}

// first orders the requests for which a condition holds before the others.
func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// Reason is why a request was refused.
type Reason uint8

// The reasons of refusals.
const (
	// ReasonNone is a decision without a refusal by this package.
	ReasonNone Reason = iota
	// ReasonQueue is a request for which the recent throughput leaves no place before its wait ends.
	ReasonQueue
	// ReasonWaited is a request that has found no place until the end of its wait.
	ReasonWaited
	// ReasonDisplaced is a waiting request whose place went to one of a team with less recent service.
	ReasonDisplaced
	// ReasonNoWait is a request that may not wait and found no place.
	ReasonNoWait
	// ReasonLost is a returned request for which there is no place after a loss of capacity.
	ReasonLost
)

// String returns the reason in log lines.
func (r Reason) String() string {
	names := [...]string{
		"none", "no place before the caller gives up", "no place until the caller gave up", "another team had less", "no room",
		"capacity was lost",
	}
	if int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// Inputs are the inputs of the decision to refuse a request.
type Inputs struct {
	Reason Reason
	// PerSecond is the forecast throughput, Ahead the number of requests that wait before the request, and Waiting that of all.
	PerSecond float64
	Ahead     int
	Waiting   int
	// Usable is the longest Retry-After that the caller can follow. Promised says that the named time has room that was
	// reserved for it.
	Usable   time.Duration
	Promised bool
	Returned bool
	Late     bool
}
