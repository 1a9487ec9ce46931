package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/entry/balance"
)

// attemptResult is the state of an attempt once its response has begun or it has failed.
type attemptResult struct {
	// attempt is nil if the balancer has refused it by decision.
	attempt  *attempt
	decision balance.Decision
	outcome  outcome
	err      error
}

// attemptPlan says how to make the next attempt.
type attemptPlan struct {
	request balance.Request
	// lastEventID is the ID of the event after which a stream is resumed, or empty.
	lastEventID string
}

// retryPolicy says whether and how a request may be tried at another endpoint.
type retryPolicy struct {
	plan func() attemptPlan
	// noRetryReason returns why the request must not be tried at another endpoint, or an empty
	// string. It leaves the retry budget out.
	noRetryReason func(context.Context) string
}

// Reasons for which a request is not tried at another endpoint.
const (
	reasonBudget   = "the retry budget is used up"
	reasonEnded    = "the time is up or the caller has left"
	reasonOnce     = "it may have run and must not run twice"
	reasonAttempts = "the route's attempts are used up"
	reasonTries    = "too many endpoints were tried"
	reasonCrashed  = "an endpoint may have crashed under it"
)

// without returns the plan for an attempt at another endpoint than the one with this ID.
func (p attemptPlan) without(endpoint string) attemptPlan {
	p.request.Exclude = append(slices.Clone(p.request.Exclude), endpoint)
	p.request.LateUntil = time.Time{} // The present attempt may still complete, so this one does not wait for a late place.
	return p
}

// sends returns how often the request was sent, a pending standby included.
func (c *call) sends() int {
	if c.pending != nil && c.pending.acquired.Load() != nil {
		return c.stats.sends + 1
	}
	return c.stats.sends
}

// tryRetry reports whether the service's retry budget allows a retry, and takes it if so. The next attempt after one that was withheld
// is no further request to an endpoint.
func (c *call) tryRetry() bool {
	if c.withheld != "" {
		c.withheld = ""
		return true
	}
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	if !c.g.retryBudget(c.service).TryRetry(time.Now()) {
		return false
	}
	c.g.metrics.retries.Inc(1)
	return true
}

// countRequest adds the request to the service's retry budget.
func (c *call) countRequest() {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	c.g.retryBudget(c.service).AddRequest(time.Now())
	c.g.earnHedges(c.service)
}
