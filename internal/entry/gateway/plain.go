package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/entry/balance"
	"github.com/egretreach/egretreach/internal/fleet/routes"
	"github.com/egretreach/egretreach/internal/process/httpserver"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	// maxBufferedResponse is the size up to which a response is read whole before it is passed
	// on.
	maxBufferedResponse = 1 << 20
	// maxQueueShare is the share of the objective that a request may wait in the queue. The
	// rest must suffice for the response.
	maxQueueShare = 0.35
)

// servePlain serves a request whose response is not a stream.
func (c *call) servePlain(ctx context.Context) {
	c.countRequest()
	defer c.endStandby()
	policy := retryPolicy{plan: c.plan, noRetryReason: c.noRetryReason}
	for {
		r := c.next(ctx, policy, func(a *attempt) { c.watchSilence(ctx, a, policy) })
		if r.attempt == nil {
			c.refuseBy(ctx, r.decision)
			return
		}
		if r.outcome == outcomeAnswered {
			r.outcome, r.err = c.forward(ctx, r.attempt)
			if r.err == nil {
				return
			}
		}
		c.recordFailure(r)
		if c.mayHaveCrashed(ctx, r.attempt) {
			c.giveUp(r.err, true)
			return
		}
		if ctx.Err() != nil || r.outcome == outcomeUnknown && !c.route.Retryable() {
			c.failUnanswered(ctx, r.err.Error())
			return
		}
		if c.standby == nil && !c.mayRetry(ctx) {
			c.giveUp(r.err, c.mayHaveRun)
			return
		}
	}
}

// plan returns the plan for the next attempt.
func (c *call) plan() attemptPlan {
	req := c.balanceRequest(time.Duration(float64(c.route.Objective) * maxQueueShare))
	req.Exclude = c.excluded
	return attemptPlan{request: req}
}

// watchSilence lets another endpoint replace the one of a safe request that is silent for longer
// than the objective.
func (c *call) watchSilence(ctx context.Context, a *attempt, p retryPolicy) {
	if c.route.Kind != routes.KindSafe {
		return
	}
	a.responseTimeout = c.route.Objective
	a.onSilence = func() bool { return c.replace(ctx, a, p) }
}

// mayRetry reports whether the request may be tried at another endpoint, and takes the retry from the
// service's budget if so.
func (c *call) mayRetry(ctx context.Context) bool {
	c.stats.noRetry = c.noRetryReason(ctx)
	if c.stats.noRetry == "" && !c.tryRetry() {
		c.stats.noRetry = reasonBudget
	}
	return c.stats.noRetry == ""
}

// noRetryReason returns why the request must not be tried at another endpoint, or an empty string
// if it may be, as far as the retry budget allows.
func (c *call) noRetryReason(ctx context.Context) string {
	switch {
	case ctx.Err() != nil:
		return reasonEnded
	case c.withheld == reasonUnconfirmed:
		return reasonUnconfirmed
	case c.crashed:
		return reasonCrashed
	case c.mustNotRepeat():
		return reasonHeld
	case c.sends() >= max(c.route.MaxAttempts, 1):
		return reasonAttempts
	case c.stats.tries >= maxTries:
		return reasonTries
	}
	return ""
}

// refuseBy ends a request that the balancer has refused.
func (c *call) refuseBy(ctx context.Context, d balance.Decision) {
	if c.r.Context().Err() != nil {
		c.callerLeft()
		return
	}
	if c.mayHaveRun {
		c.failUnanswered(ctx, "no endpoint for another attempt")
		return
	}
	c.stats.availability, c.stats.overload = d.Availability, d.Overload
	if d.Availability.Cold > 0 {
		c.g.metrics.coldRefused.Inc(1)
	}
	c.g.metrics.overload.countRefusal(d.Overload)
	c.refuse(d.RetryAfter, d.Reason)
}

// giveUp ends a request that is not retried after a failed attempt.
func (c *call) giveUp(err error, mayHaveRun bool) {
	if mayHaveRun {
		c.fail(http.StatusBadGateway, err.Error())
		return
	}
	c.refuse(giveUpRetryAfter, err.Error())
}

// giveUpRetryAfter is the Retry-After of a request that failed without having run.
const giveUpRetryAfter = 300 * time.Millisecond

// forward passes the response on to the caller. After a server error it retries elsewhere
// first, if that is allowed. An error means that nothing has been sent to the caller, so that
// the request may be retried.
func (c *call) forward(ctx context.Context, a *attempt) (outcome, error) {
	body, err := a.readBody()
	if err != nil {
		return outcomeUnknown, err
	}
	c.endStandby()
	a.answered(time.Now())
	if a.result == balance.ResultServerError && c.route.Retryable() && c.stats.sends < c.route.MaxAttempts && ctx.Err() == nil && c.tryRetry() {
		if other, otherBody := c.retryElsewhere(ctx, a); other != nil {
			a.end(a.result)
			a, body = other, otherBody
		}
	}
	c.sendResponse(a, body)
	return outcomeAnswered, nil
}

// retryElsewhere retries at another endpoint after an endpoint's server error. It returns the
// new attempt and its body as of readBody, or nil if that fails or no endpoint has capacity.
func (c *call) retryElsewhere(ctx context.Context, failed *attempt) (*attempt, []byte) {
	req := c.balanceRequest(0)
	req.Exclude = []string{failed.endpoint.ID}
	other, _ := c.acquire(ctx, req)
	if other == nil {
		return nil, nil
	}
	o, err := other.run(ctx, "")
	var body []byte
	if o == outcomeAnswered {
		body, err = other.readBody()
	}
	if err != nil {
		if other.result == 0 {
			other.result = balance.ResultInvalidResponse
		}
		other.endFailed(err)
		c.hasCrashed(ctx, other)
		return nil, nil
	}
	return other, body
}

// sendResponse sends an endpoint's response to the caller. body is its whole body or, if bodyWhole is not
// set, the beginning.
func (c *call) sendResponse(a *attempt, body []byte) {
	response := a.exchange.Response
	c.stats.timeToFirst = time.Since(c.arrivedAt)
	c.copyResponseHeader(response.Header)
	whole := a.bodyWhole
	if whole && c.r.Method != http.MethodHead {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.w.WriteHeader(response.StatusCode)
	httpserver.HoldResponse(c.r.Context(), len(body))
	_, err := c.w.Write(body)
	if err == nil && !whole {
		_, err = io.Copy(c.w, a.exchange)
	}
	result := a.result
	if result == 0 {
		result = balance.ResultSuccess
	}
	if err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		if c.r.Context().Err() != nil || whole {
			a.end(result)
			c.callerLeft()
			return
		}
		a.result = balance.ResultInvalidResponse
		a.endFailed(err)
		c.hasCrashed(c.r.Context(), a)
		c.abort(err.Error())
		return
	}
	a.end(result)
	c.g.metrics.answered.Inc(1)
	c.observeTimes()
	c.logEntry(event.RequestAnswered).Int("status", response.StatusCode).Msg("")
}
