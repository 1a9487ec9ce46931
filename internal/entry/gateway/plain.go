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
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	// maxKept bounds the answers that are read whole before they are passed on.
	maxKept = 1 << 20
	// waitPart is the part of the objective that a request may wait for room: what is
	// left must do for the answer.
	waitPart = 0.35
)

// plain answers a request that has one whole answer.
func (c *call) plain(ctx context.Context) {
	c.counted()
	var avoid []string
	unknown := false
	for {
		n := c.need(time.Duration(float64(c.route.Objective) * waitPart))
		n.Exclude = avoid
		a, d := c.acquire(ctx, n)
		if a == nil {
			c.refused(ctx, d, unknown)
			return
		}
		if c.route.Kind == routes.KindSafe && c.trail.sends+1 < c.route.MaxAttempts {
			a.patience = c.route.Objective
		}
		v, err := a.run(ctx, "")
		if v == verdictAnswered {
			v, err = c.passOn(ctx, a)
			if err == nil {
				return
			}
		}
		a.failed(err)
		avoid = append(avoid, a.endpoint.ID)
		unknown = unknown || v == verdictUnknown
		if c.crashed(ctx, a) {
			c.giveUp(err, true)
			return
		}
		if ctx.Err() != nil || v == verdictUnknown && !c.route.Retryable() {
			c.timeUp(ctx, err.Error())
			return
		}
		if c.trail.sends >= max(c.route.MaxAttempts, 1) || c.trail.tries >= maxTries || !c.mayRepeat() {
			c.giveUp(err, unknown)
			return
		}
	}
}

// refused answers a request for which there is no room.
func (c *call) refused(ctx context.Context, d balance.Decision, unknown bool) {
	if c.r.Context().Err() != nil {
		c.leave()
		return
	}
	if unknown {
		c.timeUp(ctx, "no endpoint for another attempt")
		return
	}
	c.trail.seen = d.Availability
	c.refuse(d.RetryAfter, d.Reason)
}

// giveUp answers a request that is not tried again.
func (c *call) giveUp(err error, unknown bool) {
	if unknown {
		c.fail(http.StatusBadGateway, err.Error())
		return
	}
	c.refuse(retryLater, err.Error())
}

// retryLater is when a caller may come back whose endpoint had no room.
const retryLater = 300 * time.Millisecond

// passOn reads the whole answer and gives it to the caller. An error says that the caller
// has had nothing of it and another attempt is due.
func (c *call) passOn(ctx context.Context, a *attempt) (verdict, error) {
	body, err := a.body()
	if err != nil {
		return verdictUnknown, err
	}
	if a.result == balance.ResultServerError && c.route.Retryable() && c.trail.sends < c.route.MaxAttempts && ctx.Err() == nil && c.mayRepeat() {
		if other, second := c.again(ctx, a); other != nil {
			a.end(a.result)
			a, body = other, second
		}
	}
	c.deliver(a, body)
	return verdictAnswered, nil
}

// again tries another endpoint after an endpoint's own failure. It returns that attempt and
// its whole answer, or nil if there is no room or no answer elsewhere.
func (c *call) again(ctx context.Context, failed *attempt) (*attempt, []byte) {
	n := c.need(0)
	n.Exclude = []string{failed.endpoint.ID}
	other, _ := c.acquire(ctx, n)
	if other == nil {
		return nil, nil
	}
	v, err := other.run(ctx, "")
	var body []byte
	if v == verdictAnswered {
		body, err = other.body()
	}
	if err != nil {
		other.failed(err)
		return nil, nil
	}
	return other, body
}

// deliver gives the caller an endpoint's answer, of which body is the beginning or all.
func (c *call) deliver(a *attempt, body []byte) {
	answer := a.exchange.Response
	c.trail.first = time.Since(c.began)
	c.copyHeader(answer.Header)
	whole := len(body) <= maxKept
	if whole && c.r.Method != http.MethodHead {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.w.WriteHeader(answer.StatusCode)
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
			c.leave()
			return
		}
		a.end(balance.ResultInvalidResponse)
		c.cut(err.Error())
		return
	}
	a.end(result)
	c.g.metrics.answered.Inc(1)
	c.observe()
	c.line(event.RequestAnswered).Int("status", answer.StatusCode).Msg("")
}
