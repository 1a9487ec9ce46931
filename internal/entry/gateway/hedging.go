package gateway

import (
	"context"
	"time"

	"github.com/egretreach/egretreach/internal/entry/balance"
	"github.com/egretreach/egretreach/internal/entry/hedge"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	// hedgeCheckInterval is the time between two checks whether the response of a hedge has begun.
	hedgeCheckInterval = 5 * time.Millisecond
	// hedgeLogInterval is the least time between two log lines about slow requests that are not hedged.
	hedgeLogInterval = 10 * time.Second
)

// hedging is the state of a gateway's hedges. The zero value is off.
type hedging struct {
	settings hedge.Settings
	times    hedge.Times
	budgets  map[string]*hedge.Budget
	loggedAt time.Time
}

// hedgePlan says when an attempt is slow and how it is hedged. An attempt has none from its first event, or whole plain response, on.
type hedgePlan struct {
	ctx    context.Context //nolint:containedctx // That of the request, which the wait for a response has no parameter for.
	policy retryPolicy
	delay  time.Duration
}

// budget returns the hedge budget of a service.
func (h *hedging) budget(service string) *hedge.Budget {
	b := h.budgets[service]
	if b == nil {
		if h.budgets == nil {
			h.budgets = map[string]*hedge.Budget{}
		}
		b = &hedge.Budget{}
		h.budgets[service] = b
	}
	return b
}

// earnHedges adds a request to the hedge budget of its service. mu must be held.
func (g *Gateway) earnHedges(service string) {
	if g.hedging.settings.IsOn() {
		g.hedging.budget(service).AddRequest(g.hedging.settings.Share, g.balancer.Gateways)
	}
}

// hedgeKey returns the key of the attempt's response times.
func (a *attempt) hedgeKey() hedge.Key {
	return hedge.Key{Endpoint: a.endpoint.ID, Service: a.call.service, Model: a.call.model}
}

// hedgeForecast returns the forecast against which the attempt's time to the first event is measured. A plain service has none.
func (a *attempt) hedgeForecast() time.Duration {
	if a.call.model == "" {
		return 0
	}
	return a.decision.Forecast
}

// planHedge sets when the attempt is slow, if the request may be hedged.
func (c *call) planHedge(ctx context.Context, a *attempt, p retryPolicy) {
	g := c.g
	if !g.hedging.settings.IsOn() || !c.route.Retryable() || c.hedgeDecided || a.balanceRequest.Resumed {
		return
	}
	g.mu.Lock()
	delay, reason := g.hedging.settings.Delay(&g.hedging.times, hedge.Attempt{
		Key: a.hedgeKey(), Forecast: a.hedgeForecast(), Remaining: time.Until(c.deadline),
	})
	g.mu.Unlock()
	if reason == hedge.ReasonNone {
		a.hedge = &hedgePlan{ctx: ctx, policy: p, delay: delay}
	}
}

// nextHedgeCheck returns the time until the attempt is slow or, while there is a standby, until the next check of its response.
func (a *attempt) nextHedgeCheck() time.Duration {
	switch {
	case a.hedge == nil:
		return waitCheckInterval
	case a.call.standby != nil:
		return hedgeCheckInterval
	case a.call.hedgeDecided:
		return waitCheckInterval
	}
	return max(time.Millisecond, time.Until(a.startedAt.Add(a.hedge.delay)))
}

// checkHedge reports whether the response of a standby has begun before that of the attempt. If the attempt is slow and there is no
// standby it starts a hedge, if that is allowed.
func (a *attempt) checkHedge(now time.Time) bool {
	c := a.call
	if c.standby != nil {
		return c.standbyBegun(a.hedge.ctx)
	}
	if !c.hedgeDecided && now.Sub(a.startedAt) >= a.hedge.delay {
		c.hedgeDecided = true
		c.startHedge(a, now)
	}
	return false
}

// startHedge starts a hedge of a slow attempt, or counts why there is none.
func (c *call) startHedge(a *attempt, now time.Time) {
	g := c.g
	reason := a.hedge.policy.noRetryReason(a.hedge.ctx)
	plan := a.hedge.policy.plan().without(a.endpoint.ID)
	plan.request.Hedge, plan.request.AvoidDomain, plan.request.WaitUntil = true, a.endpoint.FailureDomain, now
	g.mu.Lock()
	placed, decision := g.placeHedge(c, a, plan.request, reason == "", now)
	logs := placed == nil && now.Sub(g.hedging.loggedAt) >= hedgeLogInterval
	if logs {
		g.hedging.loggedAt = now
	}
	g.mu.Unlock()
	if placed != nil {
		event.StandbyStarted.On(g.opts.Logger).Str("request", c.id).Str("slow_endpoint", a.endpoint.ID).Str("endpoint", placed.endpoint.ID).
			Dur("after", now.Sub(a.startedAt)).Dur("delay", a.hedge.delay).Msg("")
		c.startStandby(a.hedge.ctx, plan, placed)
		return
	}
	if counter := g.metrics.hedgesRefused[decision.Reason]; counter != nil {
		counter.Inc(1)
	}
	if logs {
		event.HedgeRefused.On(g.opts.Logger).Str("request", c.id).Str("slow_endpoint", a.endpoint.ID).
			Dur("after", now.Sub(a.startedAt)).Str("reason", decision.Reason.String()).Str("no_retry", reason).Msg("")
	}
}

// placeHedge places a hedge and takes it from both budgets, or returns why not. mu must be held.
func (g *Gateway) placeHedge(c *call, a *attempt, req balance.Request, allowed bool, now time.Time) (*attempt, hedge.Decision) {
	g.dropOldPermits()
	retries, hedges := g.retryBudget(c.service), g.hedging.budget(c.service)
	decision := hedge.Decide(hedge.State{
		Allowed: allowed && !g.stopping.Load() && !g.isCutting(), Elapsed: now.Sub(a.startedAt), Delay: a.hedge.delay,
		Short: g.balancer.Short(req, now), Budget: hedges.Allows() && retries.Allows(now), Room: g.balancer.HasRoomForHedge(req, now),
	})
	if !decision.Now {
		return nil, decision
	}
	d, _ := g.balancer.Submit(req, now)
	if d.Endpoint.ID == "" {
		return nil, hedge.Decision{Reason: hedge.ReasonNoRoom}
	}
	hedges.Take()
	retries.TryRetry(now)
	g.metrics.retries.Inc(1)
	g.metrics.hedges.Inc(1)
	placed := &attempt{call: c, attemptPlacement: attemptPlacement{balanceRequest: req, endpoint: d.Endpoint, startedAt: now, decision: d}}
	placed.setSendBy(now)
	return placed, decision
}

// countHedge counts the end of a standby if it is a hedge.
func (c *call) countHedge(s *standby, won bool) {
	switch {
	case s.hedge == nil:
	case won:
		c.g.metrics.hedgesWon.Inc(1)
	default:
		c.g.metrics.hedgesLost.Inc(1)
	}
}

// endSilenceStandby ends a standby whose reason was that the endpoint was silent. A hedge continues until either attempt has its
// first event.
func (c *call) endSilenceStandby() {
	if c.standby != nil && c.standby.hedge == nil {
		c.endStandby()
	}
}

// answered records that the response of a plain attempt is the caller's.
func (a *attempt) answered(now time.Time) {
	a.hedge = nil
	a.call.g.mu.Lock()
	defer a.call.g.mu.Unlock()
	a.observeAnswer(now)
}

// observeAnswer adds the time of the attempt's response to those of its endpoint. mu must be held.
func (a *attempt) observeAnswer(now time.Time) {
	h := &a.call.g.hedging
	if h.settings.IsOn() && a.result == 0 {
		h.times.Observe(a.hedgeKey(), a.hedgeForecast(), now.Sub(a.startedAt), now)
	}
}

// observeEnd adds the time of an attempt that was cancelled without a response. It would have taken longer. mu must be held.
func (a *attempt) observeEnd(r balance.Result, now time.Time) {
	h := &a.call.g.hedging
	if h.settings.IsOn() && (r == balance.ResultCanceled || a.overtaken) && !a.streamed && a.withheld == "" {
		h.times.ObserveAtLeast(a.hedgeKey(), a.hedgeForecast(), now.Sub(a.startedAt), now)
	}
}
