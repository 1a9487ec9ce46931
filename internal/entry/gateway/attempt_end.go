package gateway

import (
	"context"
	"time"

	"github.com/egretreach/egretreach/internal/entry/balance"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// attemptEnd is the result of an attempt and what it implies about its endpoint.
type attemptEnd struct {
	result balance.Result
	cancel context.CancelFunc
	// harmless says that the response shows that the request doesn't crash the endpoint.
	harmless bool
	// survived says that the endpoint still accepted connections after a response that ended with its connection.
	survived bool
	// crashed says that the endpoint's process has ended since the attempt was interrupted. It is valid once crashChecked is set.
	crashed, crashChecked bool
}

// cancelAlso lets the end of the attempt call cancel as well.
func (a *attempt) cancelAlso(cancel context.CancelFunc) {
	own := a.cancel
	a.cancel = func() {
		own()
		cancel()
	}
}

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

// recordFailure ends a failed attempt and records what a retry depends on.
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

// endpointGone reports whether the endpoint of an attempt is known to have left or crashed.
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
