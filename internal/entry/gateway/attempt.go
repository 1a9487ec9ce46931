package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/egretreach/egretreach/internal/entry/balance"
	"github.com/egretreach/egretreach/internal/entry/upstream"
	"github.com/egretreach/egretreach/internal/fleet/roster"
)

// deadlineMargin is the part of the caller's remaining time that is kept for sending the
// response back.
const deadlineMargin = 5 * time.Millisecond

// outcome says what is known after an attempt about whether the request ran.
type outcome uint8

const (
	// outcomeAnswered is a response of the endpoint that can be given to the caller.
	outcomeAnswered outcome = iota + 1
	// outcomeNotRun is an attempt that did not run and never will.
	outcomeNotRun
	// outcomeUnknown is an attempt that may have run.
	outcomeUnknown
)

// attempt is one request at one endpoint. Its phases, each with a part of the fields, are the placement at an endpoint, the wait for the
// response, the response, and the end.
type attempt struct {
	call *call
	attemptPlacement
	attemptWait
	attemptResponse
	attemptEnd
}

// attemptPlacement is where an attempt has been placed.
type attemptPlacement struct {
	// balanceRequest is the request for the balancer.
	balanceRequest balance.Request
	endpoint       roster.Endpoint
	startedAt      time.Time
	// decision is why the balancer chose the endpoint.
	decision balance.Decision
	// sendBy is until when the request may be sent by clock.Now, zero for no bound.
	sendBy time.Time
	// withheld says why the request was not sent to the endpoint although it was placed there, or is empty.
	withheld string
}

// acquire waits for an endpoint with capacity. If it returns no attempt, the decision is the
// refusal.
func (c *call) acquire(ctx context.Context, req balance.Request) (*attempt, balance.Decision) {
	g := c.g
	startedAt := time.Now()
	g.mu.Lock()
	g.dropOldPermits()
	d, waiter := g.balancer.Submit(req, startedAt)
	g.mu.Unlock()
	if waiter != nil {
		d = g.awaitDecision(ctx, waiter)
		c.stats.waited += time.Since(startedAt)
	}
	if d.Endpoint.ID == "" {
		return nil, d
	}
	g.metrics.overload.countPlaced(d)
	if d.Avoided > 0 {
		g.metrics.avoided.Inc(1)
	}
	if d.Cold > 0 {
		g.metrics.coldAvoided.Inc(1)
	}
	a := &attempt{call: c, attemptPlacement: attemptPlacement{balanceRequest: req, endpoint: d.Endpoint, startedAt: time.Now(), decision: d}}
	a.setSendBy(a.startedAt)
	return a, d
}

// awaitDecision waits for the decision on a queued request. If ctx ends first, because the caller
// has left or the deadline has passed, it returns a refusal without RetryAfter.
func (g *Gateway) awaitDecision(ctx context.Context, w *balance.Waiter) balance.Decision {
	g.mu.Lock()
	timer := time.NewTimer(time.Until(g.balancer.NextReturn(w, time.Now())))
	g.mu.Unlock()
	defer timer.Stop()
	for {
		select {
		case d := <-w.Decided:
			return d
		case <-timer.C:
			g.mu.Lock()
			g.dropOldPermits()
			now := time.Now()
			g.balancer.ProcessQueue(now)
			timer.Reset(time.Until(g.balancer.NextReturn(w, now)))
			g.mu.Unlock()
		case <-ctx.Done():
			g.mu.Lock()
			defer g.mu.Unlock()
			d, placed := g.balancer.Cancel(w)
			if placed {
				now := time.Now()
				g.balancer.RequestEnded(d.Endpoint.ID, w.Request, false, balance.ResultCanceled, now)
				g.balancer.ProcessQueue(now)
			}
			return balance.Decision{Refused: true, Reason: "gone"}
		}
	}
}

// run sends the request and waits for the header of the response. Only with outcomeAnswered
// may the response be passed on to the caller. lastEventID is the ID of the event after which a
// stream is resumed, or empty.
func (a *attempt) run(ctx context.Context, lastEventID string) (outcome, error) {
	c := a.call
	c.stats.tries++
	c.stats.sends++
	c.stats.endpoint, c.stats.decision = a.endpoint.ID, a.decision
	c.g.metrics.attempts.Inc(1)
	ctx, a.cancel = context.WithCancel(ctx)
	if a.unwanted(ctx) {
		c.stats.sends--
		return outcomeNotRun, upstream.ErrNotSent{Cause: ctx.Err()}
	}
	request := *c.request
	request.Header = a.requestHeader(lastEventID)
	policy := upstream.WaitPolicy{
		CheckInterval: waitCheckInterval, KeepWaiting: a.keepWaiting, Unwanted: func() bool { return a.unwanted(ctx) },
		BeforeSend: func() error { return a.checkSend(ctx) },
	}
	if a.hedge != nil {
		policy.NextCheck = a.nextHedgeCheck
	}
	x, err := c.g.upstream.Do(ctx, a.endpoint.Address, &request, policy)
	if err != nil {
		return a.classifyError(err), err
	}
	a.exchange, x.CheckEnd = x, a.checkEnd
	return a.classifyResponse(x.Response)
}

// requestHeader returns the headers of this attempt.
func (a *attempt) requestHeader(lastEventID string) http.Header {
	c := a.call
	names := c.g.opts.Dialect.Headers
	h := make(http.Header, len(c.request.Header)+3)
	for name, values := range c.request.Header {
		h[name] = values
	}
	h[names.ExpectedEndpoint] = []string{a.endpoint.ID}
	h[names.Deadline] = []string{c.g.opts.Dialect.FormatDeadline(time.Until(c.deadline) - deadlineMargin)}
	if lastEventID != "" {
		h[names.LastEventID] = []string{lastEventID}
	}
	return h
}
