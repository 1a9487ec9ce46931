package portal

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// permitInterval is the least time between two grants of permits.
const permitInterval = 80 * time.Millisecond

// hearLimits records what a gateway reports of the limits of endpoints. mu is held.
func (p *Portal) hearLimits(gateway host.ID, r message.LimitReport, now time.Time) {
	p.hearCold(gateway, r.Cold, now)
	changes := p.permits.Report(gateway, r, p.scopeOf, now)
	for _, c := range changes {
		p.metrics.limits.Inc(1)
		event.LimitChanged.On(p.opts.Logger).Str("endpoint", c.Endpoint.ID).Int64("started", c.Endpoint.StartedMs).
			Float64("per_second", c.PerSecond).Str("gateway", string(gateway)).Dur("age", c.Heard).Msg("")
	}
	if len(changes) > 0 {
		p.notifyPermits()
	}
}

// scopeOf returns the service and model that an endpoint serves. mu is held.
func (p *Portal) scopeOf(id roster.Incarnation) string {
	e, ok := p.endpointByID(id.ID)
	if !ok {
		return ""
	}
	if !e.Engine {
		return e.Service + "/"
	}
	return e.Service + "/" + e.Model
}

// grantPermits divides the limits of endpoints between the gateways. Only a leader that has confirmed its leadership
// calls it. leaderSince is when it became the leader.
func (p *Portal) grantPermits(now, leaderSince time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.grantedAt) < permitInterval {
		return
	}
	p.grantedAt = now
	granted := p.permits.Grant(now, p.incarnationGone)
	if now.Sub(leaderSince) >= warmUpSettleTime {
		granted = p.permits.GrantCold(p.coldEndpoints(now), now) || granted
	}
	if granted {
		p.notifyPermits()
	}
}

// stopGranting drops the permits that have not been sent, while another host leads.
func (p *Portal) stopGranting(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.permits.StepDown(now)
}

// isGranting reports whether this host grants permits. mu is held.
func (p *Portal) isGranting(now time.Time) bool { return now.Sub(p.grantedAt) < leadershipValidity }

// incarnationGone reports whether an incarnation of an endpoint has ended. mu is held.
func (p *Portal) incarnationGone(id roster.Incarnation) bool {
	e, known := p.roster.Get(id.ID)
	return !known || e.StartedMs != id.StartedMs || e.State == roster.StateLeft
}

// notifyPermits wakes the goroutines that send permits. mu is held.
func (p *Portal) notifyPermits() {
	close(p.permitsReady)
	p.permitsReady = make(chan struct{})
}

func (p *Portal) permitsNotify() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.permitsReady
}

// permitUpdate returns the update that sends a gateway its permits, or nil if there is nothing to send.
func (p *Portal) permitUpdate(peer host.ID) *message.Picture {
	leader := p.leaderAddress()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	limits, warmUp := p.permits.Take(peer, false, now), p.warmUpUpdate(peer, false, now)
	if len(limits) == 0 && (warmUp == nil || len(warmUp.Cold) == 0) {
		return nil
	}
	return &message.Picture{Partial: true, Leader: leader, Limits: limits, Granting: p.isGranting(now), WarmUp: warmUp}
}
