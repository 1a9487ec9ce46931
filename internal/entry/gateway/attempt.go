package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/egretreach/egretreach/internal/entry/balance"
	"github.com/egretreach/egretreach/internal/entry/upstream"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	// tick is the pace at which a silent endpoint is looked at.
	tick = 50 * time.Millisecond
	// deadlineSlack is left of the caller's time for the way back.
	deadlineSlack = 5 * time.Millisecond
)

// verdict is what an attempt proves about the request.
type verdict uint8

const (
	// verdictAnswered is an endpoint's own answer.
	verdictAnswered verdict = iota + 1
	// verdictNotRun is an attempt that did not run and never will.
	verdictNotRun
	// verdictUnknown is an attempt that may have run.
	verdictUnknown
)

// attempt is one request at one endpoint.
type attempt struct {
	call     *call
	need     balance.Request
	endpoint roster.Endpoint
	began    time.Time
	forecast time.Duration
	exchange *upstream.Exchange
	// streamed says that the first event has come.
	streamed bool
	result   balance.Result
	// patience is how long the endpoint may take to begin its answer, 0 for any time.
	patience time.Duration
	cancel   context.CancelFunc
}

// acquire waits for an endpoint with room. Without one it returns the refusal.
func (c *call) acquire(ctx context.Context, n balance.Request) (*attempt, balance.Decision) {
	g := c.g
	began := time.Now()
	g.mu.Lock()
	d, waiter := g.balancer.Submit(n, began)
	g.mu.Unlock()
	if waiter != nil {
		d = g.await(ctx, waiter)
		c.trail.waited += time.Since(began)
	}
	if d.Endpoint.ID == "" {
		return nil, d
	}
	return &attempt{call: c, need: n, endpoint: d.Endpoint, began: time.Now(), forecast: d.Forecast}, d
}

// await waits for the decision on a request.
func (g *Gateway) await(ctx context.Context, w *balance.Waiter) balance.Decision {
	timer := time.NewTimer(time.Until(w.WaitUntil))
	defer timer.Stop()
	for {
		select {
		case d := <-w.Decided:
			return d
		case <-timer.C:
			g.mu.Lock()
			g.balancer.ProcessQueue(time.Now())
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

// run sends the request and waits for the head of the answer. What it returns is a
// verdict on the request; only verdictAnswered has an exchange.
func (a *attempt) run(ctx context.Context, lastEvent string) (verdict, error) {
	c := a.call
	c.trail.tries++
	c.trail.sends++
	c.trail.endpoint, c.trail.forecast = a.endpoint.ID, a.forecast
	c.g.metrics.attempts.Inc(1)
	ctx, a.cancel = context.WithCancel(ctx)
	request := *c.request
	request.Header = a.header(lastEvent)
	x, err := c.g.upstream.Do(ctx, a.endpoint.Address, &request, upstream.WaitPolicy{CheckInterval: tick, KeepWaiting: a.goOn})
	if err != nil {
		return a.unanswered(err), err
	}
	a.exchange = x
	return a.judge(x.Response)
}

func (a *attempt) header(lastEvent string) http.Header {
	c := a.call
	names := c.g.opts.Dialect.Headers
	h := make(http.Header, len(c.request.Header)+3)
	for name, values := range c.request.Header {
		h[name] = values
	}
	h[names.ExpectedEndpoint] = []string{a.endpoint.ID}
	h[names.Deadline] = []string{c.g.opts.Dialect.FormatDeadline(time.Until(c.deadline) - deadlineSlack)}
	if lastEvent != "" {
		h[names.LastEventID] = []string{lastEvent}
	}
	return h
}

// goOn says whether to wait on for a silent endpoint.
func (a *attempt) goOn() bool {
	c := a.call
	now := time.Now()
	c.g.mu.Lock()
	_, stalled := c.g.balancer.Stalled(a.endpoint.ID, now)
	c.g.mu.Unlock()
	if stalled && c.route.Retryable() {
		a.result = balance.ResultStalled
		return false
	}
	if a.patience > 0 && !a.streamed && now.Sub(a.began) > a.patience {
		a.result = balance.ResultInvalidResponse
		return false
	}
	return true
}

// unanswered judges an attempt without the head of an answer.
func (a *attempt) unanswered(err error) verdict {
	switch {
	case upstream.IsErrNotSent(err):
		a.call.trail.sends--
		a.result = balance.ResultUnreachable
		if upstream.IsConnectionRefused(err) {
			a.result = balance.ResultConnectionRefused
		}
		return verdictNotRun
	case a.result == 0:
		a.result = balance.ResultInvalidResponse
	}
	return verdictUnknown
}

// judge judges the head of an answer.
func (a *attempt) judge(answer *http.Response) (verdict, error) {
	c := a.call
	names := c.g.opts.Dialect.Headers
	c.heard(a.endpoint.ID)
	if load, ok := c.g.opts.Dialect.ParseLoad(answer.Header.Get(names.Load)); ok {
		c.g.mu.Lock()
		c.g.balancer.SetLoad(a.endpoint.ID, load, time.Now())
		c.g.mu.Unlock()
	}
	if answer.StatusCode == http.StatusMisdirectedRequest {
		a.result = balance.ResultWrongEndpoint
		return verdictNotRun, errAnswer{"another endpoint answers there"}
	}
	if answer.Header.Get(names.NotRun) != "" {
		a.result = balance.ResultOverloaded
		return verdictNotRun, errAnswer{"the endpoint did not take it"}
	}
	if echo := answer.Header.Get(names.RequestID); echo != c.id {
		a.result = balance.ResultInvalidResponse
		return verdictUnknown, errAnswer{"the answer belongs to another request"}
	}
	if answer.Header.Get(names.Signature) == "" {
		a.result = balance.ResultInvalidResponse
		return verdictUnknown, errAnswer{"the answer is not signed"}
	}
	if answer.StatusCode >= http.StatusInternalServerError {
		a.result = balance.ResultServerError
	}
	return verdictAnswered, nil
}

// body reads the whole answer, up to a byte more than is kept.
func (a *attempt) body() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.exchange, maxKept+1))
	if err != nil && (a.result == 0 || a.result == balance.ResultServerError) {
		a.result = balance.ResultInvalidResponse
	}
	return body, err
}

// errAnswer is an answer that cannot be given to the caller.
type errAnswer struct{ reason string }

func (e errAnswer) Error() string { return e.reason }

// end closes the attempt and tells the board how it went.
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
	g.balancer.RequestEnded(a.endpoint.ID, a.need, a.streamed, r, now)
	g.balancer.ProcessQueue(now)
}

// failed ends an attempt that did not give the caller an answer, and logs why.
func (a *attempt) failed(err error) {
	c := a.call
	event.AttemptFailed.On(c.g.opts.Logger).Str("request", c.id).Str("endpoint", a.endpoint.ID).
		Str("address", a.endpoint.Address).Dur("after", time.Since(a.began)).Uint8("result", uint8(a.result)).Err(err).Msg("")
	a.end(a.result)
}

func (c *call) heard(endpoint string) {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	c.g.balancer.DataReceived(endpoint, time.Now())
}

// mayRepeat counts one more sending of the request against the service's budget.
func (c *call) mayRepeat() bool {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	if !c.g.retryBudget(c.service).TryRetry(time.Now()) {
		return false
	}
	c.g.metrics.repeats.Inc(1)
	return true
}

// counted counts the request itself for the service's budget.
func (c *call) counted() {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	c.g.retryBudget(c.service).AddRequest(time.Now())
}
