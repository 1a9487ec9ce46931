package gateway

import (
	"context"
	"time"

	"github.com/egretreach/egretreach/internal/entry/balance"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// The reasons why a placed request is not sent, besides reasonUnconfirmed.
const (
	reasonMovedAway     = "the endpoint's failure domain was evacuated meanwhile"
	reasonPermitExpired = "the permit for the cold endpoint has expired"
)

// errWithheld is the failure of an attempt that was placed and is not sent.
type errWithheld struct{ reason string }

func (e errWithheld) Error() string { return e.reason }

// applyEvacuations applies the evacuated failure domains of an update whose revision is above the one in force, and reports whether
// the gateway has those of the update's revision or later ones.
func (g *Gateway) applyEvacuations(update *message.Picture) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if update.Evacuated != nil && update.EvacuationRevision > g.evacuationRevision {
		g.evacuationRevision = update.EvacuationRevision
		for _, change := range g.balancer.SetEvacuated(update.Evacuated.Domains, time.Now()) {
			g.logEvacuation(change)
		}
	}
	return g.evacuationRevision >= update.EvacuationRevision
}

// logEvacuation logs that the gateway stops or resumes sending to a failure domain. mu must be held.
func (g *Gateway) logEvacuation(change balance.EvacuationChange) {
	g.metrics.evacuations.Inc(1)
	if change.Active {
		g.evidence().log(event.DomainStopped.On(g.opts.Logger)).Str("zone", change.Domain).Uint64("revision", g.evacuationRevision).Msg("")
		return
	}
	g.evidence().log(event.DomainResumed.On(g.opts.Logger)).Str("zone", change.Domain).Uint64("revision", g.evacuationRevision).
		Dur("lasted", change.Lasted).Msg("")
}

// checkSend returns an error if the request must not be sent to the endpoint although it was placed there: it waited for a connection, or
// the process was paused, and the endpoint's failure domain is evacuated, or may be as far as the gateway knows.
func (a *attempt) checkSend(ctx context.Context) error {
	c := a.call
	if a.withheld = a.withholdReason(ctx); a.withheld == "" {
		return nil
	}
	c.g.metrics.withheld.Inc(1)
	c.g.evidence().log(event.AttemptWithheld.On(c.g.opts.Logger)).Str("request", c.id).Str("endpoint", a.endpoint.ID).
		Str("zone", a.endpoint.FailureDomain).Str("reason", a.withheld).Dur("after", time.Since(a.startedAt)).Msg("")
	return errWithheld{a.withheld}
}

// withholdReason returns why the request must not be sent, or an empty string.
func (a *attempt) withholdReason(ctx context.Context) string {
	g := a.call.g
	if !g.confirmedToSend(ctx) {
		return reasonUnconfirmed
	}
	g.mu.Lock()
	barred := g.balancer.Bars(a.endpoint, a.balanceRequest)
	g.mu.Unlock()
	switch {
	case barred != balance.ExclusionNone:
		return reasonMovedAway
	case a.permitExpired():
		return reasonPermitExpired
	}
	return ""
}

// confirmedToSend reports whether requests may be sent with the evacuations that the gateway has. If these may be outdated control is
// asked first.
func (g *Gateway) confirmedToSend(ctx context.Context) bool {
	if g.evidence().allowsService(g.configAge()) {
		return true
	}
	return g.confirmFrom(ctx, g.freshness.Next()) || g.evidence().allowsService(g.configAge()) // Control may have been lost meanwhile.
}
