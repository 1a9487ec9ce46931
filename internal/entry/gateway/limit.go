package gateway

import (
	"net/http"
	"time"

	"github.com/egretreach/egretreach/internal/entry/balance"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// maxArrivalScopes bounds the services and models whose requests are counted between two reports.
const maxArrivalScopes = 256

// recordLimit records the limit that an endpoint names in a response, or that it names none. A response of another
// endpoint at the address is ignored.
func (a *attempt) recordLimit(response *http.Response) {
	g := a.call.g
	text := response.Header.Get(g.opts.Dialect.Headers.Limit)
	if response.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	perSecond := 0.0
	if text != "" {
		var ok bool
		if perSecond, ok = g.opts.Dialect.ParseLimit(text); !ok {
			a.logOddNotice(text)
			return
		}
	}
	g.mu.Lock()
	changed := g.balancer.HearLimit(a.endpoint.Incarnation(), perSecond, a.startedAt, time.Now())
	g.mu.Unlock()
	if !changed {
		return
	}
	g.metrics.limits.Inc(1)
	event.LimitHeard.On(g.opts.Logger).Str("endpoint", a.endpoint.ID).Int64("started", a.endpoint.StartedMs).
		Float64("per_second", perSecond).Str("from", "answer").Str("request", a.call.id).Msg("")
}

// countArrival counts a request for the division of endpoints' limits between the gateways.
func (c *call) countArrival() {
	if !c.modelKnown {
		return
	}
	g := c.g
	g.mu.Lock()
	defer g.mu.Unlock()
	scope := c.scope()
	if _, known := g.arrivals[scope]; known || len(g.arrivals) < maxArrivalScopes {
		g.arrivals[scope]++
	}
}

// applyLimits applies the limits of endpoints and the permits that control sends. mu must be held.
func (g *Gateway) applyLimits(update *message.Picture, now time.Time) {
	g.dropOldPermits()
	g.applyCold(update, now)
	if update.Granting {
		g.balancer.SetGranting(now)
	}
	for _, l := range update.Limits {
		heard := balance.EndpointLimit{Endpoint: l.Incarnation(), PerSecond: l.PerSecond, HeardAt: now.Add(-l.Age)}
		if !g.balancer.SetLimit(heard, l.Permits, now) {
			continue
		}
		g.metrics.limits.Inc(1)
		event.LimitHeard.On(g.opts.Logger).Str("endpoint", l.Endpoint).Int64("started", l.StartedMs).
			Float64("per_second", l.PerSecond).Str("from", "control").Dur("age", l.Age).Msg("")
	}
}

// limitReport returns what control must know of limits. mu must be held.
func (g *Gateway) limitReport(now time.Time) message.LimitReport {
	var r message.LimitReport
	for _, l := range g.balancer.TakeLimits(g.resubscribed, now) {
		r.Limits = append(r.Limits, limitMessage(l, now))
	}
	g.coldReport(&r, g.resubscribed, now)
	g.resubscribed = false
	if g.balancer.HasLimits() || g.balancer.HasWarmUps() {
		for scope, count := range g.arrivals {
			r.Arrivals = append(r.Arrivals, message.Arrivals{Scope: scope, Count: count})
		}
	}
	clear(g.arrivals)
	return r
}

func limitMessage(l balance.EndpointLimit, now time.Time) message.EndpointLimit {
	m := message.EndpointLimit{Endpoint: l.Endpoint.ID, StartedMs: l.Endpoint.StartedMs, PerSecond: l.PerSecond, Age: now.Sub(l.HeardAt), Permits: l.Unused}
	if l.PerSecond == 0 {
		m.SentAge = now.Sub(l.SentAt)
	}
	return m
}
