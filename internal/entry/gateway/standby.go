package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/entry/balance"
	"github.com/egretreach/egretreach/internal/fleet/routes"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// standbyInterval is the shortest time between the end of a standby and the start of the next one
// of the same request.
const standbyInterval = 250 * time.Millisecond

// standby is an attempt at another endpoint, made while the endpoint of the present attempt is silent or, as a hedge,
// slow. Such an endpoint may still respond, so the present attempt is cancelled only once the response of the standby
// has begun: with its first event, or for a plain response with the whole of it.
type standby struct {
	// call is a copy of the request, with statistics of its own.
	call   *call
	cancel context.CancelFunc
	// hedge is the attempt of a hedge, which has been placed and charged before. It is nil for a silent endpoint.
	hedge *attempt
	// acquired is the attempt, once an endpoint has been acquired for it.
	acquired atomic.Pointer[attempt]
	// done is closed once result is set.
	done   chan struct{}
	result attemptResult
}

// next returns the next attempt: the standby if there is one, else a new one by plan. It calls
// prepare with an attempt before its response is forwarded.
func (c *call) next(ctx context.Context, p retryPolicy, prepare func(*attempt)) attemptResult {
	for c.standby != nil {
		if r := c.awaitStandby(ctx, p); r.attempt != nil {
			prepare(r.attempt)
			return r
		}
		if c.standby == nil && !c.tryRetry() {
			return attemptResult{decision: balance.Decision{Refused: true, Reason: reasonBudget}}
		}
	}
	return c.try(ctx, p, prepare)
}

// awaitStandby waits for the standby after the present attempt has failed. A standby that is silent
// itself can be replaced by another one. The result has no attempt if the standby was refused.
func (c *call) awaitStandby(ctx context.Context, p retryPolicy) attemptResult {
	present := c.standby
	c.standby, c.pending = nil, present
	defer func() { c.pending = nil }()
	ticker := time.NewTicker(waitCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-present.done:
			c.pending = nil
			r := c.settle(present)
			c.countHedge(present, r.outcome == outcomeAnswered)
			if r.outcome == outcomeAnswered {
				c.endStandby()
			}
			return r
		case <-ticker.C:
		}
		a := present.acquired.Load()
		if a == nil {
			continue
		}
		if _, silent := a.silence(time.Now()); silent && c.replace(ctx, a, p) {
			c.pending = nil
			present.cancel()
			c.countHedge(present, false)
			if r := c.settle(present); r.attempt != nil {
				r.attempt.result = balance.ResultStalled
				c.recordFailure(r)
			}
			return c.takeStandby()
		}
	}
}

// try makes an attempt and waits until its response has begun or it has failed.
func (c *call) try(ctx context.Context, p retryPolicy, prepare func(*attempt)) attemptResult {
	plan := p.plan()
	a, d := c.acquire(ctx, plan.request)
	if a == nil {
		return attemptResult{decision: d}
	}
	if d, held := c.releaseHeld(a); held {
		return attemptResult{decision: d}
	}
	prepare(a)
	c.planHedge(ctx, a, p)
	o, err := a.run(ctx, plan.lastEventID)
	return attemptResult{attempt: a, decision: d, outcome: o, err: err}
}

// replace reports whether the silent attempt a can be cancelled because the response of a standby
// has begun. If there is no standby it starts one, if the policy allows a retry.
func (c *call) replace(ctx context.Context, a *attempt, p retryPolicy) bool {
	if c.standby != nil {
		return c.standbyBegun(ctx)
	}
	now := time.Now()
	if now.Before(c.nextStandbyAt) {
		return false
	}
	c.nextStandbyAt = now.Add(standbyInterval)
	if reason := p.noRetryReason(ctx); reason != "" {
		c.logNoStandby(a, reason)
		return false
	}
	event.StandbyStarted.On(c.g.opts.Logger).Str("request", c.id).Str("silent_endpoint", a.endpoint.ID).
		Dur("silent", a.silentFor(now)).Msg("")
	c.startStandby(ctx, p.plan().without(a.endpoint.ID), nil)
	return false
}

// logNoStandby logs once in a request why no standby is started.
func (c *call) logNoStandby(a *attempt, reason string) {
	if c.noStandbyLogged {
		return
	}
	c.noStandbyLogged = true
	event.StandbyEnded.On(c.g.opts.Logger).Str("request", c.id).Str("silent_endpoint", a.endpoint.ID).
		Str("state", "not started").Str("reason", reason).Msg("")
}

// startStandby starts a standby by plan. hedge is its attempt if it has been placed already, or nil.
func (c *call) startStandby(ctx context.Context, plan attemptPlan, hedge *attempt) {
	ctx, cancel := context.WithCancel(ctx)
	own := *c
	own.stats, own.standby, own.pending, own.withheld = requestStats{}, nil, nil, ""
	s := &standby{call: &own, cancel: cancel, hedge: hedge, done: make(chan struct{})}
	if hedge != nil {
		hedge.call = &own
	}
	c.standby = s
	go s.run(ctx, plan)
}

// run makes the attempt and sets the result. The retry budget is charged only once an endpoint has
// been acquired, since a refused standby adds no load to an endpoint.
func (s *standby) run(ctx context.Context, plan attemptPlan) {
	defer close(s.done)
	defer s.recoverFailure()
	a, d := s.hedge, balance.Decision{}
	if a == nil {
		a, d = s.call.acquire(ctx, plan.request)
	}
	if a == nil {
		s.result.decision = d
		return
	}
	if d, held := s.call.releaseHeld(a); held {
		s.result.decision = d
		return
	}
	if s.hedge == nil && !s.call.tryRetry() {
		a.end(balance.ResultCanceled)
		s.result.decision = balance.Decision{Refused: true, Reason: reasonBudget}
		return
	}
	s.acquired.Store(a)
	s.result.attempt, s.result.outcome = a, outcomeUnknown
	o, err := a.run(ctx, plan.lastEventID)
	if o == outcomeAnswered {
		if err = a.awaitProof(); err != nil {
			o = outcomeUnknown
		}
	}
	s.result.outcome, s.result.err = o, err
}

// recoverFailure turns a panic of run into a failed attempt, as net/http does for a handler.
func (s *standby) recoverFailure() {
	if p := recover(); p != nil {
		s.result.err = errors.Errorf("failure in the gateway: %v", p)
		if s.result.attempt == nil {
			s.result.decision = balance.Decision{Refused: true, Reason: s.result.err.Error()}
		}
	}
}

// awaitProof waits for the part of the response that proves that the endpoint serves the request: the
// first event of a stream, or the whole of a plain response. The part is kept for forwarding. It
// returns an error if the response must not replace that of a silent endpoint.
func (a *attempt) awaitProof() error {
	status := a.exchange.Response.StatusCode
	isStream := a.call.route.Kind == routes.KindStream
	if status >= http.StatusInternalServerError || isStream && status != http.StatusOK {
		return errUnusableResponse{"the endpoint answered " + http.StatusText(status)}
	}
	if !isStream {
		_, err := a.readBody()
		return err
	}
	a.readAhead = true
	a.firstEvent, a.firstErr = a.eventReader().Next()
	if errors.Is(a.firstErr, io.EOF) {
		return nil
	}
	return a.firstErr
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
	c.crashed = c.crashed || c.mayHaveCrashed(ctx, r.attempt)
	return false
}

// takeStandby waits for the result of the standby and returns it as that of the present attempt.
func (c *call) takeStandby() attemptResult {
	s := c.standby
	c.standby = nil
	c.countHedge(s, false)
	return c.settle(s)
}

// settle waits for the result of a standby and adds its statistics to those of the request.
func (c *call) settle(s *standby) attemptResult {
	<-s.done
	c.nextStandbyAt = time.Now().Add(standbyInterval)
	c.stats.addStandby(s.call.stats)
	c.logStandby(s.result)
	a := s.result.attempt
	if a == nil {
		s.cancel()
		return s.result
	}
	a.call = c
	a.cancelAlso(s.cancel)
	if s.result.outcome == outcomeAnswered {
		c.stats.endpoint, c.stats.decision = a.endpoint.ID, a.decision
	}
	return s.result
}

// endStandby cancels the standby, if there is one, because the present endpoint has sent data again
// or the request has ended.
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
	entry := event.StandbyEnded.On(c.g.opts.Logger).Str("request", c.id)
	switch {
	case r.attempt == nil:
		entry.Str("state", "refused").Str("reason", r.decision.Reason).Msg("")
	case r.outcome == outcomeAnswered:
		entry.Str("state", "begun").Str("endpoint", r.attempt.endpoint.ID).Dur("after", time.Since(r.attempt.startedAt)).Msg("")
	case errors.Is(r.err, net.ErrClosed) || errors.Is(r.err, context.Canceled):
		entry.Str("state", "not needed").Str("endpoint", r.attempt.endpoint.ID).Dur("after", time.Since(r.attempt.startedAt)).Msg("")
	default:
		entry.Str("state", "failed").Str("endpoint", r.attempt.endpoint.ID).Dur("after", time.Since(r.attempt.startedAt)).Err(r.err).Msg("")
	}
}

// addStandby adds the statistics of a standby.
func (s *requestStats) addStandby(other requestStats) {
	s.tries += other.tries
	s.sends += other.sends
	s.waited += other.waited
}
