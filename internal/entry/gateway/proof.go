package gateway

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/entry/suspicion"
	"github.com/egretreach/egretreach/internal/entry/upstream"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// errEndedWithEndpoint is a response that ended with its connection when its endpoint crashed, so that it may be cut short.
var errEndedWithEndpoint = errors.New("the endpoint has ended with the response")

// checkEnd returns an error if the end of a response without length and chunks may be due to the end of the endpoint, which closes its
// connections as well. The end of a leaving endpoint can't be detected, since a successor may listen at once, so the request is repeated
// if it may be.
func (a *attempt) checkEnd() error {
	c := a.call
	if c.route.Retryable() && c.g.isLeaving(a.endpoint) {
		return errEndedWithEndpoint
	}
	reaction := upstream.ReactionRefuses
	if !c.g.knowsCrash(a.endpoint) {
		reaction = c.g.upstream.Probe(c.r.Context(), a.endpoint.Address)
	}
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	switch reaction {
	case upstream.ReactionAccepts:
		a.survived = true
	case upstream.ReactionRefuses:
		return errEndedWithEndpoint
	case upstream.ReactionNone:
		c.g.addUnconfirmed(a.broken(time.Now()))
	}
	return nil
}

// isLeaving reports whether an endpoint has said that it leaves.
func (g *Gateway) isLeaving(e roster.Endpoint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	known, ok := g.roster.Get(e.ID)
	announced := ok && known.StartedMs == e.StartedMs && known.State != roster.StateReady
	return announced || g.balancer.IsLeaving(e.ID, e.StartedMs)
}

// provesHarmless reports whether a response that has ended proves that the endpoint processed the request and kept running.
// A status other than success may precede the processing, and a crash also ends a response without length and chunks.
func (a *attempt) provesHarmless() bool {
	status := a.exchange.Response.StatusCode
	isSuccess := status >= http.StatusOK && status < http.StatusMultipleChoices
	return isSuccess && (a.exchange.Framing() != upstream.FramingClose || a.survived)
}

// lastingInterval is the minimum time between two records of a continuing response.
const lastingInterval = 200 * time.Millisecond

// recordLasting records that the endpoint continues the response of a stream. mu must be held.
func (a *attempt) recordLasting(now time.Time) {
	lasted := now.Sub(a.firstEventAt)
	if lasted <= message.SuspectTime || now.Sub(a.lastingAt) < lastingInterval {
		return
	}
	a.lastingAt = now
	a.call.g.observer.Lasts(a.call.keys, lasted, now)
}

// recordHarmless records that the endpoint has answered the request and keeps running.
func (a *attempt) recordHarmless(now time.Time) {
	if a.harmless {
		return
	}
	a.harmless = true
	if watched := a.call.g.observer.Completed(a.call.keys, now); len(watched) > 0 {
		a.logSuspectCompleted(watched, now)
	}
}

// logSuspectCompleted logs that a request with watched keys completed, with the evidence.
func (a *attempt) logSuspectCompleted(watched []suspicion.Key, now time.Time) {
	entry := event.SuspectCompleted.On(a.call.g.opts.Logger).Str("request", a.call.id).Str("endpoint", a.endpoint.ID).
		Int64("started", a.endpoint.StartedMs).Str("scope", a.call.scope()).Bool("streamed", a.streamed)
	if a.exchange != nil {
		entry = entry.Int("status", a.exchange.Response.StatusCode).Str("framing", a.exchange.Framing().String())
	}
	if a.streamed {
		entry = entry.Dur("lasted", now.Sub(a.firstEventAt))
	}
	entry.Strs("keys", formatKeys(watched)).Msg("")
}
