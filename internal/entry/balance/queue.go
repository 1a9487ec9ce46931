package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/entry/overload"
	"github.com/egretreach/egretreach/internal/fleet/roster"
)

const (
	// replicaRecoveryTime is the approximate time that a model needs to replace a lost replica.
	// Most callers that retry sooner are refused again.
	replicaRecoveryTime = 1600 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Request describes a request for which an endpoint is wanted.
type Request struct {
	Service string
	// Model is empty for plain services.
	Model string
	// Priority orders the queue; 0 is the most urgent.
	Priority     int
	PromptTokens int
	// Exclude lists the IDs of endpoints at which the request has failed.
	Exclude []string
	// Resumed says that the caller has received a part of the response already.
	Resumed bool
	// Regions are the regions in which endpoints may get the request.
	Regions Regions
	// ObjectiveDeadline is the time by which the first event, or the response, should arrive.
	ObjectiveDeadline time.Time
	// Objective is the latency objective of the request's route.
	Objective time.Duration
	// ArrivedAt is when the request arrived, and WaitUntil the end of its wait in the queue.
	ArrivedAt time.Time
	WaitUntil time.Time
	// Hedge says that another attempt of the request is under way in the failure domain AvoidDomain. It gets only spare capacity, and an
	// endpoint in another domain where there is one.
	Hedge       bool
	AvoidDomain string

	// The fields up to spareFor count only for services whose routes differ in priority.

	// Team is whose request it is; teams of one priority get equal shares of scarce capacity.
	Team string
	// Session is what the request has in common with others of its session, or empty.
	Session string
	// Waited is how long the caller has waited in earlier attempts, 0 if it was not refused before.
	Waited time.Duration
	// LateUntil is until when a request may wait though its objective can't be met any more. Zero doesn't extend WaitUntil.
	LateUntil time.Time
	// Deadline is when the caller stops waiting and doesn't retry.
	Deadline time.Time
	// Spread is uniform in [0, 1).
	Spread float64
	// spareFor is the objective of a further request for which the endpoint must have room besides this one, or 0.
	spareFor time.Duration
}

// Decision is the outcome of a request at the balancer: the endpoint to send it to, or a
// refusal.
type Decision struct {
	// Endpoint is the endpoint for the request. Its ID is empty if there is none.
	Endpoint roster.Endpoint
	// Forecast is the expected time to the first event at Endpoint.
	Forecast time.Duration
	// Occupied is the estimated number of requests at Endpoint. LoadFrom is the source of that estimate, and LoadAge its age.
	Occupied float64
	LoadFrom LoadSource
	LoadAge  time.Duration
	// Avoided counts the endpoints that serve the request and got none because they leave, are
	// busy or have a limit. It is set if Endpoint is.
	Avoided int
	// Cold counts those of them whose warm-up limit was used up.
	Cold int
	// SendBy is until when the request may be sent to a cold Endpoint. It is zero if there is no bound.
	SendBy time.Time
	// Refused says that the request is refused, for Reason. The caller should wait for
	// RetryAfter before it retries.
	Refused    bool
	RetryAfter time.Duration
	Reason     string
	// Availability is set for a refusal.
	Availability Availability
	// Overload are the inputs of a refusal by package overload.
	Overload overload.Inputs
	// Late says that the request was placed though its objective could not be met any more, and Returned that its caller had
	// been refused before. They are set for services whose routes differ in priority.
	Late, Returned bool
}

// Availability describes the capacity of the endpoints at the time of a refusal.
type Availability struct {
	// Serving counts the endpoints that serve the request, Banned those of them that are banned or
	// have stalled, Leaving those that have said that they leave, and Busy those that accept no
	// requests for a time, and Limited those whose limit is used up. Cold are those whose warm-up
	// limit is.
	Serving, Banned, Leaving, Busy, Limited, Cold int
	// Evacuated counts those in evacuated failure domains, and Region those outside the allowed regions.
	Evacuated, Region int
	// EarliestForecast is the earliest forecast of a first event among the other endpoints,
	// and Occupied the estimated number of requests at the endpoint with that forecast.
	Occupied         float64
	EarliestForecast time.Duration
}

// availability sums up the endpoints that serve a request.
func (b *Balancer) availability(req Request, now time.Time) Availability {
	var a Availability
	for _, t := range b.serving(req) {
		a.Serving++
		switch b.exclusion(t, req, now) {
		case ExclusionLeaving:
			a.Leaving++
			continue
		case ExclusionBusy:
			a.Busy++
			continue
		case ExclusionBanned, ExclusionSilent:
			a.Banned++
			continue
		case ExclusionLimited:
			a.Limited++
			continue
		case ExclusionEvacuated:
			a.Evacuated++
			continue
		case ExclusionRegion:
			a.Region++
			continue
		case ExclusionCold:
			a.Cold++
			continue
		case ExclusionNone:
		}
		occupied, forecast := b.occupied(t, now), b.forecastFirstEvent(t, req, now)
		if a.EarliestForecast == 0 || forecast < a.EarliestForecast {
			a.Occupied, a.EarliestForecast = occupied, forecast
		}
	}
	return a
}

// Waiter is a request that waits for capacity.
type Waiter struct {
	Request
	// Decided receives the decision. It has a buffer of one.
	Decided chan Decision
	// turn is its place in a ranked queue.
	turn overload.Turn
}

// Submit places a request, refuses it or, if it may wait, queues it and returns its waiter.
func (b *Balancer) Submit(req Request, now time.Time) (Decision, *Waiter) {
	if r := b.rankedScope(req); r != nil {
		return b.submitRanked(r, req, now)
	}
	if d, ok := b.place(req, now); ok {
		return d, nil
	}
	if reason := b.barredReason(req); reason != "" {
		return b.refusal(req, reason, now), nil
	}
	if !b.anyServesBy(req, req.WaitUntil, now) {
		reason := "no endpoint serves it"
		if _, busy := b.allBusyUntil(req, now); busy {
			reason = "all endpoints have asked for no requests"
		}
		return b.refusal(req, reason, now), nil
	}
	if !now.Before(req.WaitUntil) {
		return b.refusal(req, "no room", now), nil
	}
	if b.waitsInVain(req, now) {
		return b.refusal(req, reasonLimited, now), nil
	}
	if b.queueFull(req, now) {
		return b.refusal(req, reasonQueueFull, now), nil
	}
	return Decision{}, b.enqueue(req)
}

// enqueue adds a request to the queue, behind those that are tried at the same time.
func (b *Balancer) enqueue(req Request) *Waiter {
	w := &Waiter{Request: req, Decided: make(chan Decision, 1)}
	at := len(b.queue)
	for at > 0 && compareRequests(b.queue[at-1].Request, req) > 0 {
		at--
	}
	b.queue = slices.Insert(b.queue, at, w)
	return w
}

// reasonQueueFull is the reason of a refusal for the requests that are queued before.
const reasonQueueFull = "the queue is full"

// compareRequests orders waiting requests: resumed ones first, then by priority, then by arrival.
func compareRequests(a, b Request) int {
	if a.Resumed != b.Resumed {
		if a.Resumed {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.ArrivedAt.Compare(b.ArrivedAt))
}

// ProcessQueue places the waiting requests for which there is capacity now, and refuses those
// whose wait has ended or that no endpoint may get any more.
func (b *Balancer) ProcessQueue(now time.Time) {
	for _, r := range b.ranked {
		b.processRanked(r, now)
	}
	kept := b.queue[:0]
	for _, w := range b.queue {
		if d, ok := b.place(w.Request, now); ok {
			w.Decided <- d
			continue
		}
		if reason := b.barredReason(w.Request); reason != "" {
			w.Decided <- b.refusal(w.Request, reason, now)
			continue
		}
		if !now.Before(w.WaitUntil) {
			w.Decided <- b.refusal(w.Request, "no room in time", now)
			continue
		}
		kept = append(kept, w)
	}
	clear(b.queue[len(kept):])
	b.queue = kept
}

// Cancel removes a request from the queue. If the request has been placed already it returns
// the decision and true, and the caller must call RequestEnded for the endpoint.
func (b *Balancer) Cancel(w *Waiter) (Decision, bool) {
	if i := slices.Index(b.queue, w); i >= 0 {
		b.queue = slices.Delete(b.queue, i, i+1)
		return Decision{}, false
	}
	if b.cancelRanked(w) {
		return Decision{}, false
	}
	select {
	case d := <-w.Decided:
		return d, d.Endpoint.ID != ""
	default:
		return Decision{}, false
	}
}

// Waiting returns the number of waiting requests.
func (b *Balancer) Waiting() int { return len(b.queue) + b.rankedWaiting() }

// place picks an endpoint with capacity and records the request as sent to it.
func (b *Balancer) place(req Request, now time.Time) (Decision, bool) {
	t, avoided := b.pick(req, now)
	if t == nil {
		return Decision{}, false
	}
	expected, occupied := b.forecastFirstEvent(t, req, now), b.occupied(t, now)
	source, age := t.loadSource(now)
	b.RequestSent(t.ID, req, now)
	b.countPlaced(req, now)
	cold := b.countCold(req, now)
	sendBy := b.usePermit(t, now)
	return Decision{
		SendBy: sendBy, Cold: cold,
		Endpoint: t.Endpoint, Forecast: expected, Occupied: occupied, LoadFrom: source, LoadAge: age, Avoided: avoided,
	}, true
}

// countPlaced adds a request that has found an endpoint to the throughput.
func (b *Balancer) countPlaced(req Request, now time.Time) {
	if b.placed == nil {
		b.placed = map[scope]throughput{}
	}
	b.placed[req.scope()] = b.placed[req.scope()].with(now)
}

// refusal returns a refusal. Its Retry-After grows by 20 ms with each request that waits for the same
// service and model, from minRetryAfter to maxRetryAfter. For models it is at least
// replicaRecoveryTime. While all endpoints are busy it is based on the earliest end of a busy time,
// and while all have limits it is based on these.
func (b *Balancer) refusal(req Request, reason string, now time.Time) Decision {
	b.recordRefusal(req, now)
	after := min(maxRetryAfter, minRetryAfter+time.Duration(b.waitingFor(req))*20*time.Millisecond)
	if req.Model != "" {
		after = max(after, replicaRecoveryTime)
	}
	if until, ok := b.allBusyUntil(req, now); ok {
		after = max(minRetryAfter, until.Sub(now))
	} else if limited, ok := b.limitedReturn(req, now); ok {
		after = max(minRetryAfter, limited)
	}
	return Decision{Refused: true, RetryAfter: after, Reason: reason, Availability: b.availability(req, now)}
}
