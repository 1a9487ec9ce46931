package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/entry/balance"
	"github.com/egretreach/egretreach/internal/fleet/routes"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// standbyInterval is the shortest time between the end of a standby and the start of the next one
// of the same request.
const standbyInterval = 250 * time.Millisecond

// standby is an attempt at another endpoint, made while the endpoint of the present attempt is
// silent. A silent endpoint may go on, so the present attempt is given up only once the response of
// the standby has begun.
type standby struct {
	cancel context.CancelFunc
	// done is closed once result is set.
	done   chan struct{}
	result attemptResult
}

// attemptResult is what is known of an attempt once its response has begun or it has failed.
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

// without returns the plan for an attempt at another endpoint than the one with this ID.
func (p attemptPlan) without(endpoint string) attemptPlan {
	p.request.Exclude = append(slices.Clone(p.request.Exclude), endpoint)
	return p
}

// next returns the next attempt: the standby if there is one, else a new one by plan. It calls
// prepare with an attempt before its response is forwarded.
func (c *call) next(ctx context.Context, plan attemptPlan, prepare func(*attempt)) attemptResult {
	if c.standby != nil {
		r := c.takeStandby()
		if r.attempt != nil {
			prepare(r.attempt)
			return r
		}
	}
	return c.try(ctx, plan, prepare)
}

// try makes an attempt and waits until its response has begun or it has failed.
func (c *call) try(ctx context.Context, plan attemptPlan, prepare func(*attempt)) attemptResult {
	a, d := c.acquire(ctx, plan.request)
	if a == nil {
		return attemptResult{decision: d}
	}
	prepare(a)
	o, err := a.run(ctx, plan.lastEventID)
	return attemptResult{attempt: a, decision: d, outcome: o, err: err}
}

// replace reports whether the silent attempt a can be given up because the response of a standby
// has begun. If there is no standby it starts one, unless noRetryReason returns why not.
func (c *call) replace(ctx context.Context, a *attempt, plan func() attemptPlan, noRetryReason func(context.Context) string) bool {
	if c.standby != nil {
		return c.standbyBegun(ctx)
	}
	if c.noStandby || time.Now().Before(c.nextStandbyAt) {
		return false
	}
	c.stats.noRetry = noRetryReason(ctx)
	if c.stats.noRetry != "" {
		c.nextStandbyAt = time.Now().Add(standbyInterval)
		return false
	}
	event.StandbyStarted.On(c.g.opts.Logger).Str("request", c.id).Str("silent_endpoint", a.endpoint.ID).
		Dur("silent", a.silentFor(time.Now())).Msg("")
	c.startStandby(ctx, plan().without(a.endpoint.ID))
	return false
}

// startStandby starts a standby by plan.
func (c *call) startStandby(ctx context.Context, plan attemptPlan) {
	ctx, cancel := context.WithCancel(ctx)
	s := &standby{cancel: cancel, done: make(chan struct{})}
	c.standby = s
	go func() {
		defer close(s.done)
		s.result = c.try(ctx, plan, func(*attempt) {})
		s.result.rejectFailure()
	}()
}

// rejectFailure turns the outcome of a response that must not replace the present attempt into a
// failed attempt.
func (r *attemptResult) rejectFailure() {
	if r.outcome != outcomeAnswered {
		return
	}
	status := r.attempt.exchange.Response.StatusCode
	isStream := r.attempt.call.route.Kind == routes.KindStream
	if status >= http.StatusInternalServerError || isStream && status != http.StatusOK {
		r.outcome, r.err = outcomeUnknown, errUnusableResponse{"the endpoint answered " + http.StatusText(status)}
	}
}

// standbyBegun reports whether the response of the standby has begun. It ends a standby that has
// failed.
func (c *call) standbyBegun(ctx context.Context) bool {
	select {
	case <-c.standby.done:
	default:
		return false
	}
	if c.standby.result.outcome == outcomeAnswered {
		return true
	}
	r := c.takeStandby()
	if r.attempt == nil {
		return false
	}
	c.recordFailure(r)
	c.noStandby = c.mayHaveCrashed(ctx, r.attempt)
	return false
}

// takeStandby waits for the result of the standby and returns it as that of the present attempt.
func (c *call) takeStandby() attemptResult {
	s := c.standby
	<-s.done
	c.standby = nil
	c.nextStandbyAt = time.Now().Add(standbyInterval)
	c.logStandby(s.result)
	if s.result.attempt == nil {
		s.cancel()
		c.retryTaken = true // Nothing was sent, so that the next retry needs no other token.
		return s.result
	}
	s.result.attempt.cancelAlso(s.cancel)
	return s.result
}

// endStandby cancels the standby, if there is one, because the present endpoint has gone on or the
// request has ended.
func (c *call) endStandby() {
	if c.standby == nil {
		return
	}
	c.standby.cancel()
	if r := c.takeStandby(); r.attempt != nil {
		r.attempt.end(balance.ResultCanceled)
	}
}

// logStandby logs the end of a standby.
func (c *call) logStandby(r attemptResult) {
	entry := event.StandbyEnded.On(c.g.opts.Logger).Str("request", c.id).Bool("begun", r.outcome == outcomeAnswered)
	if r.attempt == nil {
		entry.Str("reason", r.decision.Reason).Msg("")
		return
	}
	entry.Str("endpoint", r.attempt.endpoint.ID).Dur("after", time.Since(r.attempt.startedAt)).Err(r.err).Msg("")
}
