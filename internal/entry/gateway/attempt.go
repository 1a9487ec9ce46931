package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/egretreach/egretreach/internal/entry/balance"
	"github.com/egretreach/egretreach/internal/entry/upstream"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/process/httpserver"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	// waitCheckInterval is the time between two calls of keepWaiting while an endpoint sends
	// nothing.
	waitCheckInterval = 50 * time.Millisecond
	// deadlineMargin is the part of the caller's remaining time that is kept for sending the
	// response back.
	deadlineMargin = 5 * time.Millisecond
)

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

// attempt is one request at one endpoint. balanceRequest is the request for the balancer.
type attempt struct {
	call           *call
	balanceRequest balance.Request
	endpoint       roster.Endpoint
	startedAt      time.Time
	// decision is why the balancer chose the endpoint.
	decision balance.Decision
	// sendBy is until when the request may be sent by clock.Now, zero for no bound.
	sendBy   time.Time
	exchange *upstream.Exchange
	// streamed says that the first event has arrived, at firstEventAt.
	streamed     bool
	firstEventAt time.Time
	// lastingAt is when the last event was recorded that shows that the response goes on.
	lastingAt time.Time
	// harmless says that the response shows that the request doesn't crash the endpoint.
	harmless bool
	// survived says that the endpoint was found to listen after a response that ended with its connection.
	survived bool
	// crashed says that the endpoint has ended since it broke the attempt off, once crashChecked is set.
	crashed, crashChecked bool
	result                balance.Result
	// withheld says why the request was not sent to the endpoint although it was placed there, or is empty.
	withheld string
	// responseTimeout is how long the endpoint may take to begin its response before it counts as
	// silent; 0 is no limit.
	responseTimeout time.Duration
	// onSilence reports whether the attempt can be given up although its endpoint may go on. It is
	// called repeatedly while the endpoint is silent. Without it the attempt is not given up.
	onSilence func() bool
	// hedge says when the attempt is slow, or is nil.
	hedge *hedgePlan
	// overtaken says that the response of a hedge has begun before the attempt's own.
	overtaken bool
	cancel    context.CancelFunc
	// begun says that the header of the response has arrived.
	begun bool
	// events reads the events of a stream. readAhead says that firstEvent and firstErr are the
	// result of its first call, which has yet to be forwarded.
	events     *upstream.EventReader
	readAhead  bool
	firstEvent upstream.Event
	firstErr   error
	// body and bodyErr are the result of readBody, once bodyRead is set.
	bodyRead, bodyWhole bool
	body                []byte
	bodyErr             error
}

// eventReader returns the reader of the stream's events.
func (a *attempt) eventReader() *upstream.EventReader {
	if a.events == nil {
		a.events = upstream.NewEventReader(a.exchange)
	}
	return a.events
}

// nextEvent returns the next event, or the one that awaitProof has read ahead.
func (a *attempt) nextEvent() (upstream.Event, error) {
	if a.readAhead {
		a.readAhead = false
		return a.firstEvent, a.firstErr
	}
	return a.eventReader().Next()
}

// cancelAlso lets the end of the attempt call cancel as well.
func (a *attempt) cancelAlso(cancel context.CancelFunc) {
	own := a.cancel
	a.cancel = func() {
		own()
		cancel()
	}
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
	a := &attempt{call: c, balanceRequest: req, endpoint: d.Endpoint, startedAt: time.Now(), decision: d}
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

// unwanted reports whether the caller has left, in which case it sets the result. It asks the operating system, since the goroutine
// that waits for the end of the caller's connection may run late.
func (a *attempt) unwanted(ctx context.Context) bool {
	if !httpserver.CallerLeft(ctx) {
		return false
	}
	a.result = balance.ResultCanceled
	return true
}

// keepWaiting reports whether to wait longer for an endpoint that sends nothing. If not, it
// sets the result.
func (a *attempt) keepWaiting() bool {
	now := time.Now()
	result, silent := a.silence(now)
	if a.hedge != nil && a.checkHedge(now) {
		a.overtaken = true
		if a.result = balance.ResultCanceled; silent {
			a.result = result
		}
		return false
	}
	if !silent || a.onSilence == nil || !a.onSilence() {
		return true
	}
	a.result = result
	return false
}

// silence reports whether the endpoint is silent, and the result of the attempt if it is given up
// for that.
func (a *attempt) silence(now time.Time) (balance.Result, bool) {
	c := a.call
	c.g.mu.Lock()
	_, stalled := c.g.balancer.Stalled(a.endpoint.ID, now)
	c.g.mu.Unlock()
	if (stalled || a.sendsNoEvent(now)) && c.route.Retryable() {
		return balance.ResultStalled, true
	}
	late := a.responseTimeout > 0 && !a.begun && now.Sub(a.startedAt) > a.responseTimeout
	return balance.ResultInvalidResponse, late
}

// classifyError sets the result of an attempt that got no response header, and returns its
// outcome.
func (a *attempt) classifyError(err error) outcome {
	switch {
	case upstream.IsErrNotSent(err):
		a.call.stats.sends--
		a.result = balance.ResultUnreachable
		switch {
		case a.withheld != "", a.call.r.Context().Err() != nil:
			a.result = balance.ResultCanceled
		case upstream.IsConnectionRefused(err):
			a.result = balance.ResultConnectionRefused
		}
		return outcomeNotRun
	case a.result == 0:
		a.result = balance.ResultInvalidResponse
	}
	return outcomeUnknown
}

// classifyResponse sets the attempt's result by the header of a response, and returns its
// outcome.
func (a *attempt) classifyResponse(response *http.Response) (outcome, error) {
	c := a.call
	names := c.g.opts.Dialect.Headers
	a.begun = true
	c.dataReceived(a.endpoint.ID)
	if !a.belongsToRequest(response) {
		a.result = balance.ResultInvalidResponse
		return outcomeUnknown, errUnusableResponse{"the answer belongs to another request"}
	}
	a.recordNotices(response)
	if load, ok := c.g.opts.Dialect.ParseLoad(response.Header.Get(names.Load)); ok {
		c.g.mu.Lock()
		c.g.balancer.SetLoad(a.endpoint.ID, load, time.Now())
		c.g.mu.Unlock()
	}
	if response.StatusCode == http.StatusMisdirectedRequest {
		a.result = balance.ResultWrongEndpoint
		return outcomeNotRun, errUnusableResponse{"another endpoint answers there"}
	}
	if response.Header.Get(names.NotRun) != "" {
		a.result = balance.ResultOverloaded
		return outcomeNotRun, errUnusableResponse{"the endpoint did not take it"}
	}
	if response.Header.Get(names.Signature) == "" {
		a.result = balance.ResultInvalidResponse
		return outcomeUnknown, errUnusableResponse{"the answer is not signed"}
	}
	if response.StatusCode >= http.StatusInternalServerError {
		a.result = balance.ResultServerError
	}
	return outcomeAnswered, nil
}

// belongsToRequest reports whether a response is that to the request. On a kept connection the response to an earlier request may come
// once more, so a refusal without an ID is taken only from a new one.
func (a *attempt) belongsToRequest(response *http.Response) bool {
	names := a.call.g.opts.Dialect.Headers
	if echo := response.Header.Get(names.RequestID); echo != "" {
		return echo == a.call.id
	}
	isRefusal := response.StatusCode == http.StatusMisdirectedRequest || response.Header.Get(names.NotRun) != ""
	return a.call.id == "" || isRefusal && !a.exchange.Reused()
}

// readBody reads the response's body, up to maxBufferedResponse and as far as it may be held. bodyWhole then says
// whether that is all. Further calls return the same.
func (a *attempt) readBody() ([]byte, error) {
	if a.bodyRead {
		return a.body, a.bodyErr
	}
	a.bodyRead = true
	a.body, a.bodyWhole, a.bodyErr = a.exchange.ReadUpTo(maxBufferedResponse)
	if a.bodyErr != nil && (a.result == 0 || a.result == balance.ResultServerError) {
		a.result = balance.ResultInvalidResponse
	}
	return a.body, a.bodyErr
}

// errUnusableResponse is a response that cannot be given to the caller. Its reason can be sent
// to the caller if no other attempt follows.
type errUnusableResponse struct{ reason string }

func (e errUnusableResponse) Error() string { return e.reason }

// end closes the exchange and reports the result to the balancer.
func (a *attempt) end(r balance.Result) {
	if a.exchange != nil {
		a.exchange.Close()
	}
	if a.cancel != nil {
		a.cancel()
	}
	if r == balance.ResultConnectionRefused || r == balance.ResultWrongEndpoint || r == balance.ResultStalled {
		a.call.g.upstream.CloseIdle(a.endpoint.Address)
	}
	if r == balance.ResultStalled {
		a.call.g.metrics.stalled.Inc(1)
	}
	now := time.Now()
	g := a.call.g
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dropOldPermits()
	a.observeEnd(r, now)
	if r == balance.ResultSuccess && a.provesHarmless() {
		a.recordHarmless(now)
	}
	g.balancer.RequestEnded(a.endpoint.ID, a.balanceRequest, a.streamed, r, now)
	g.balancer.ProcessQueue(now)
}

// recordFailure ends a failed attempt and records what it means for a retry.
func (c *call) recordFailure(r attemptResult) {
	a := r.attempt
	if a.result == 0 {
		a.result = balance.ResultInvalidResponse
	}
	if a.overtaken {
		a.end(a.result) // The end of the hedge is logged.
	} else {
		a.endFailed(r.err)
	}
	c.excluded = append(c.excluded, a.endpoint.ID)
	c.mayHaveRun = c.mayHaveRun || r.outcome == outcomeUnknown
	c.withheld = a.withheld
	if a.result == balance.ResultWrongEndpoint || a.result == balance.ResultOverloaded || c.endpointGone(a) {
		c.lostAttempts++
	}
}

// endpointGone reports whether the endpoint of an attempt is known to be gone.
func (c *call) endpointGone(a *attempt) bool {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	return c.g.balancer.Gone(a.endpoint.ID)
}

// endFailed ends an attempt whose response does not complete the request, and logs err.
func (a *attempt) endFailed(err error) {
	c := a.call
	event.AttemptFailed.On(c.g.opts.Logger).Str("request", c.id).Str("endpoint", a.endpoint.ID).
		Str("address", a.endpoint.Address).Dur("after", time.Since(a.startedAt)).Dur("silent", a.silentFor(time.Now())).
		Bool("streamed", a.streamed).Str("result", a.result.String()).Err(err).Msg("")
	a.end(a.result)
}

// silentFor returns how long the endpoint has sent this gateway nothing, but at most the time since
// the attempt began.
func (a *attempt) silentFor(now time.Time) time.Duration {
	g := a.call.g
	g.mu.Lock()
	defer g.mu.Unlock()
	silent, _ := g.balancer.Stalled(a.endpoint.ID, now)
	return min(silent, now.Sub(a.startedAt))
}

// dataReceived reports to the balancer that an endpoint has sent data.
func (c *call) dataReceived(endpoint string) {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	c.g.balancer.DataReceived(endpoint, time.Now())
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
