package gateway

import (
	"context"
	"time"

	"github.com/egretreach/egretreach/internal/entry/balance"
	"github.com/egretreach/egretreach/internal/process/httpserver"
)

// waitCheckInterval is the time between two calls of keepWaiting while an endpoint sends
// nothing.
const waitCheckInterval = 50 * time.Millisecond

// attemptWait says how long an attempt waits for its endpoint. The zero value waits until the deadline.
type attemptWait struct {
	// responseTimeout is how long the endpoint may take to begin its response before it counts as
	// silent; 0 is no limit.
	responseTimeout time.Duration
	// onSilence reports whether the attempt can be cancelled although its endpoint may still
	// respond. It is called repeatedly while the endpoint is silent. Without it the attempt is not
	// cancelled.
	onSilence func() bool
	// hedge says when the attempt is slow, or is nil.
	hedge *hedgePlan
	// overtaken says that the response of a hedge has begun before the attempt's own.
	overtaken bool
}

// unwanted reports whether the caller has disconnected, in which case it sets the result. It queries the operating system, since
// the goroutine that waits for the end of the caller's connection may be delayed.
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

// silence reports whether the endpoint is silent, and the result of the attempt if it is cancelled
// for that reason.
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
