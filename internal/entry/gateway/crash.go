package gateway

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/egretreach/egretreach/internal/entry/balance"
	"github.com/egretreach/egretreach/internal/entry/suspicion"
	"github.com/egretreach/egretreach/internal/entry/upstream"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	// minHeldRetryAfter is the least Retry-After of a request that matches a held key.
	minHeldRetryAfter = 2 * time.Second
	// crashConfirmTime is how long after an interrupted request control may still report that its
	// endpoint has ended.
	crashConfirmTime = 4 * time.Second
	// maxUnconfirmed bounds the interrupted requests whose endpoints are not known to have ended.
	maxUnconfirmed = 64
	// maxLoggedParts and maxLoggedPart bound the parts of a prompt in one log line, and each of them in bytes.
	maxLoggedParts = 16
	maxLoggedPart  = 40
)

// maxCrashCount is the number of endpoints that may crash while they process a request. After that the request is
// likely the cause and is not sent to another endpoint.
const maxCrashCount = 2

const reasonHeld = "held back: endpoints have crashed under requests like it"

// brokenRequest is a request that was interrupted by its endpoint.
type brokenRequest struct {
	suspicion.Broken
	endpoint roster.Endpoint
	at       time.Time
}

// scope returns the service and model of the request.
func (c *call) scope() string { return c.service + "/" + c.model }

// crashScopes returns the scopes within which the request may crash the same endpoints as others: its model and, if there is one, all
// models of its service.
func (c *call) crashScopes() []string {
	if c.model == "" {
		return []string{c.scope()}
	}
	return []string{c.scope(), c.service}
}

// setKeys sets the keys by which the request is refused if it crashes endpoints.
func (c *call) setKeys() {
	id := suspicion.Identity{Scopes: c.crashScopes(), Method: c.request.Method, Target: c.request.Target, Body: c.request.Body, Parts: c.parts}
	if c.team != nil {
		id.Team = c.team.Name
	}
	c.keys = id.Keys()
}

// refuseHeld refuses the request and returns true if control holds one of its keys.
func (c *call) refuseHeld() bool {
	c.g.mu.Lock()
	held, ok := c.g.observer.Refuse(c.keys.All())
	c.onTrial = !ok && c.g.observer.IsHeld(c.keys.All())
	c.g.mu.Unlock()
	if !ok {
		return false
	}
	c.g.metrics.heldBack.Inc(1)
	c.stats.heldKey = strconv.FormatUint(held.Key, 16)
	c.refuse(max(held.For, minHeldRetryAfter), reasonHeld)
	return true
}

// isHeldMeanwhile reports whether control has held one of the request's keys since the gateway accepted it.
func (c *call) isHeldMeanwhile() bool {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	return !c.onTrial && c.g.observer.IsHeld(c.keys.All())
}

// mustNotRepeat reports whether the request must not be sent again because control holds one of its keys.
func (c *call) mustNotRepeat() bool { return c.onTrial || c.isHeldMeanwhile() }

// releaseHeld ends an unsent attempt if control has held one of the request's keys in the meantime. It then
// returns the refusal and true.
func (c *call) releaseHeld(a *attempt) (balance.Decision, bool) {
	if !c.isHeldMeanwhile() {
		return balance.Decision{}, false
	}
	a.end(balance.ResultCanceled)
	return balance.Decision{Refused: true, RetryAfter: minHeldRetryAfter, Reason: reasonHeld}, true
}

// mayHaveCrashed reports whether the request may have crashed its endpoint: the attempt was interrupted
// before an event had arrived, and the endpoint has ended. Such a request must not be retried, unless a part
// of the response has been sent to the caller already.
func (c *call) mayHaveCrashed(ctx context.Context, a *attempt) bool {
	return c.hasCrashed(ctx, a) && !a.streamed
}

// hasCrashed reports whether the attempt was interrupted and its endpoint's address now refuses connections.
// It records that for the next report to control.
func (c *call) hasCrashed(ctx context.Context, a *attempt) bool {
	if a.result != balance.ResultInvalidResponse || ctx.Err() != nil {
		return false
	}
	if !a.crashChecked {
		a.crashChecked = true
		a.crashed = c.g.knowsCrash(a.endpoint) || c.g.upstream.Probe(ctx, a.endpoint.Address) == upstream.ReactionRefuses
		c.recordBroken(a)
		c.g.markEnded(a)
	}
	return a.crashed
}

// knowsCrash reports whether an endpoint is known to have ended in a crash.
func (g *Gateway) knowsCrash(e roster.Endpoint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.observer.HasEnded(e.Incarnation())
}

// recordBroken records an interrupted attempt if its endpoint has crashed or may have crashed.
func (c *call) recordBroken(a *attempt) {
	now := time.Now()
	b := a.broken(now)
	c.logCrash(a, b.Lasted)
	if a.crashed {
		c.crashCount++
	}
	g := c.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.crashed {
		g.observer.Crashed(b.endpoint.Incarnation(), b.Broken, now)
		return
	}
	g.addUnconfirmed(b)
}

// addUnconfirmed keeps a request until control confirms or does not confirm that its endpoint has ended. mu must be held.
func (g *Gateway) addUnconfirmed(b brokenRequest) {
	if len(g.unconfirmed) < maxUnconfirmed {
		g.unconfirmed = append(g.unconfirmed, b)
	}
}

// broken returns the attempt as a request that was interrupted by its endpoint.
func (a *attempt) broken(now time.Time) brokenRequest {
	b := suspicion.Broken{Keys: a.call.keys, SentAt: a.startedAt}
	if a.streamed {
		b.Lasted = now.Sub(a.firstEventAt)
	}
	return brokenRequest{Broken: b, endpoint: a.endpoint, at: now}
}

// confirmCrashes records the crashes of endpoints that control reports as lost or that have restarted. mu
// must be held.
func (g *Gateway) confirmCrashes(lost []string, now time.Time) {
	g.unconfirmed = slices.DeleteFunc(g.unconfirmed, func(b brokenRequest) bool {
		known, ok := g.roster.At(b.endpoint.Address)
		restarted := ok && known.StartedMs > b.endpoint.StartedMs
		if restarted || slices.Contains(lost, b.endpoint.ID) {
			g.observer.Crashed(b.endpoint.Incarnation(), b.Broken, b.at)
			return true
		}
		return now.Sub(b.at) > crashConfirmTime
	})
}

// logCrash logs that an attempt was interrupted after its response had lasted for a time, with the data needed to find the cause.
func (c *call) logCrash(a *attempt, lasted time.Duration) {
	parts := make([]string, 0, maxLoggedParts)
	for _, part := range c.parts[:min(len(c.parts), maxLoggedParts)] {
		parts = append(parts, part[:min(len(part), maxLoggedPart)])
	}
	event.CrashSeen.On(c.g.opts.Logger).Str("request", c.id).Str("endpoint", a.endpoint.ID).Int64("started", a.endpoint.StartedMs).
		Bool("streamed", a.streamed).Dur("lasted", lasted).Bool("refuses", a.crashed).Str("scope", c.scope()).Strs("parts", parts).Strs("keys", formatKeys(c.keys.All())).Msg("")
}

// formatKeys formats keys as all logs have them, at most that of the whole request and of maxLoggedParts parts.
func formatKeys(keys []suspicion.Key) []string {
	texts := make([]string, 0, maxLoggedParts+1)
	for _, key := range keys[:min(len(keys), maxLoggedParts+1)] {
		texts = append(texts, strconv.FormatUint(key.Hash, 16))
	}
	return texts
}

// applyHolds applies control's held and watched keys. mu must be held.
func (g *Gateway) applyHolds(update *message.Picture, now time.Time) {
	g.observer.SetHolds(update.Holds)
	g.confirmCrashes(update.Lost, now)
}
