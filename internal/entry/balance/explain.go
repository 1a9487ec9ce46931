package balance

import (
	"maps"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/roster"
)

// Explanation is what Submit would do with a request, and why.
type Explanation struct {
	// Decision is what Submit would return. Endpoint and Refused are zero if the request would wait.
	Decision Decision
	// Waits says that the request would be queued.
	Waits bool
	// QueuedBefore counts the waiting requests for the same service and model that are tried before it, and Queued all of them.
	QueuedBefore, Queued int
	// Candidates are the endpoints that are ready and serve the request, ordered by ID.
	Candidates []Candidate
}

// Candidate is an endpoint that serves a request.
type Candidate struct {
	Endpoint roster.Endpoint
	// Region is that of the endpoint's failure domain, empty if it isn't known.
	Region string
	// Forecast is the expected time to the first event of the request. Occupied is the estimated number of requests at the endpoint,
	// LoadFrom what that rests on, and LoadAge how old it is.
	Forecast time.Duration
	Occupied float64
	LoadFrom LoadSource
	LoadAge  time.Duration
	// InFlight counts this gateway's requests at the endpoint.
	InFlight int
	// Passed is PassedOverNot for the endpoint that would get the request. Exclusion is set with PassedOverExcluded, and Cost where the
	// endpoint may get the request.
	Passed    PassedOver
	Exclusion Exclusion
	Cost      float64
}

// MayGet reports whether the endpoint may get the request.
func (c Candidate) MayGet() bool { return c.Passed == PassedOverNot || c.Passed == PassedOverCostlier }

// Reason returns why the candidate doesn't get the request, or an empty string.
func (c Candidate) Reason() string {
	switch c.Passed { //nolint:exhaustive // The other values have their own names.
	case PassedOverNot:
		return ""
	case PassedOverExcluded:
		return c.Exclusion.String()
	}
	return c.Passed.String()
}

// Explain returns what Submit would do with a request, and why. It changes nothing.
func (b *Balancer) Explain(req Request, now time.Time) Explanation {
	c := b.CopyFor(req)
	e := Explanation{QueuedBefore: c.waitingBefore(req, now), Queued: c.waitingFor(req)}
	for _, t := range c.serving(req) {
		e.Candidates = append(e.Candidates, c.candidate(t, req, now))
	}
	decision, waiter := c.Submit(req, now)
	e.Decision, e.Waits = decision, waiter != nil
	for i := range e.Candidates {
		if t := &e.Candidates[i]; t.Passed == PassedOverNot && t.Endpoint.ID != decision.Endpoint.ID {
			t.Passed = PassedOverCostlier
			if decision.Endpoint.ID == "" {
				t.Passed = PassedOverReserved
			}
		}
	}
	return e
}

// candidate describes an endpoint that serves a request.
func (b *Balancer) candidate(t *endpointState, req Request, now time.Time) Candidate {
	a := b.assess(t, req, now)
	source, age := t.loadSource(now)
	return Candidate{
		Endpoint: t.Endpoint, Region: b.Regions[t.FailureDomain],
		Forecast: b.forecastFirstEvent(t, req, now), Occupied: b.occupied(t, now), LoadFrom: source, LoadAge: age,
		InFlight: t.inflight, Passed: a.passed, Exclusion: a.exclusion, Cost: a.cost,
	}
}

// CopyFor returns a copy of what decides about a request: the endpoints that serve it, the queue and the throughput. Decisions use
// up permits and record promises, so a decision without side effects is made on a copy. Its methods share no memory that is
// written with those of b.
func (b *Balancer) CopyFor(req Request) *Balancer {
	c := *b
	c.index, c.endpoints, c.endedNotices = nil, map[string]*endpointState{}, nil
	c.evacuations.since = maps.Clone(b.evacuations.since)
	c.placed, c.promised, c.refusedAt = maps.Clone(b.placed), maps.Clone(b.promised), maps.Clone(b.refusedAt)
	c.queue = slices.Clone(b.queue)
	c.ranked = nil
	if r := b.ranked[req.scope()]; r != nil {
		c.ranked = map[scope]*rankedScope{req.scope(): r.clone()}
	}
	index := b.index
	if index == nil {
		index = b.buildIndex()
	}
	for _, t := range index[req.scope()] {
		c.endpoints[t.ID] = t.clone()
	}
	return &c
}

// waitingBefore returns the number of waiting requests that are tried before one.
func (b *Balancer) waitingBefore(req Request, now time.Time) int {
	r := b.rankedScope(req)
	if r == nil {
		return b.queuedBefore(req)
	}
	return r.ahead(&Waiter{Request: req, turn: req.turn(r.Tag(b.caller(req)), now)})
}

// clone returns a copy whose waiting requests get no decisions.
func (r *rankedScope) clone() *rankedScope {
	c := &rankedScope{Scope: r.Clone()}
	for _, w := range r.waiting {
		own := *w
		own.Decided = make(chan Decision, 1)
		c.waiting = append(c.waiting, &own)
	}
	return c
}

// clone returns a copy that shares no permits.
func (t *endpointState) clone() *endpointState {
	c := *t
	c.limit.permits = slices.Clone(t.limit.permits)
	c.warm.permits = slices.Clone(t.warm.permits)
	c.warm.unused = slices.Clone(t.warm.unused)
	return &c
}

// Evacuated returns the evacuated failure domains, sorted. It is never nil.
func (b *Balancer) Evacuated() []string {
	return append([]string{}, slices.Sorted(maps.Keys(b.evacuations.since))...)
}
