package portal

import (
	"time"

	"github.com/egretreach/egretreach/internal/control/permit"
	"github.com/egretreach/egretreach/internal/control/warmup"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/fleet/routes"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// warmUpSettleTime is how long a new leader grants no permits for cold endpoints: the time for which the leader before it may still
// grant some, leadershipValidity, and a second, in which those are used up. The bucket of each endpoint is empty then.
const warmUpSettleTime = leadershipValidity + time.Second

// warmUpOf returns the warm-up limit of a service. mu is held.
func (p *Portal) warmUpOf(service string) routes.WarmUp { return p.warmUps[service] }

// setTable puts a decoded configuration in force, and uses the endpoints of the services that it is the first to list. mu is held.
func (p *Portal) setTable(table *routes.Table) {
	p.table, p.warmUps, p.coldAt = table, nil, time.Time{}
	for _, s := range table.Services {
		if !s.WarmUp.IsSet() {
			continue
		}
		if p.warmUps == nil {
			p.warmUps = map[string]routes.WarmUp{}
		}
		p.warmUps[s.Name] = s.WarmUp
	}
	p.takeListed()
}

// judgeAnnouncement lets the tracker judge an announcement that is not outdated. old is the entry before
// it. mu is held.
func (p *Portal) judgeAnnouncement(old, current roster.Entry, direct bool, seenAt time.Time) {
	h := p.health[current.ID]
	colder := p.tracker.Announce(warmup.Announcement{
		Endpoint: current.Endpoint, WarmUp: p.warmUpOf(current.Service), Traffic: p.hasTraffic(), Direct: direct,
		LastSeen: h.lastSeen(old), WasDead: h.dead && !seenAt.Before(h.lastProbe),
	}, seenAt, time.Now())
	if colder {
		p.logCold(current.Endpoint, "announcement", "", time.Now())
		p.notifyLocked()
	}
}

// judgeReturn makes an endpoint cold that answers probes again after control had taken it for dead. mu is held.
func (p *Portal) judgeReturn(e roster.Endpoint, now time.Time) {
	w := p.warmUpOf(e.Service)
	if !w.IsSet() || !p.hasTraffic() || !p.tracker.MarkCold(e.Incarnation(), w.Time, now) {
		return
	}
	p.logCold(e, "probe", "", now)
	p.notifyLocked()
}

// takeOverCold records how much longer an endpoint is cold by the control host that forwards its announcement. mu is held.
func (p *Portal) takeOverCold(h message.Heard, now time.Time) {
	if h.Cold > 0 && p.warmUpOf(h.Endpoint.Service).IsSet() && p.tracker.MarkCold(h.Endpoint.Incarnation(), min(h.Cold, maxColdTime), now) {
		p.logCold(h.Endpoint, "portal", "", now)
		p.notifyLocked()
	}
}

// logCold logs that an endpoint has become cold. mu is held.
func (p *Portal) logCold(e roster.Endpoint, from string, gateway host.ID, now time.Time) {
	p.metrics.cold.Inc(1)
	p.coldAt = time.Time{}
	line := event.EndpointCold.On(p.opts.Logger).Str("endpoint", e.ID).Int64("started", e.StartedMs).Str("service", e.Service).Str("from", from).
		Dur("remaining", p.tracker.Remaining(e.Incarnation(), now)).Int64("announced_ms", e.ColdMs)
	if gateway != "" {
		line = line.Str("gateway", string(gateway))
	}
	line.Msg("")
}

// hearCold records the endpoints that a gateway has found to be cold. mu is held.
func (p *Portal) hearCold(gateway host.ID, cold []message.ColdEndpoint, now time.Time) {
	for _, c := range cold {
		e, known := p.roster.Get(c.Endpoint)
		if !known || !p.warmUpOf(e.Service).IsSet() || !p.tracker.Report(gateway, c.Incarnation(), min(c.Remaining, maxColdTime), now) {
			continue
		}
		p.logCold(e.Endpoint, "gateway", gateway, now)
		p.notifyPermits()
	}
}

// maxColdTime bounds the time for which a gateway may report an endpoint as cold.
const maxColdTime = 10 * time.Minute

// HearCold records that an incarnation of an endpoint has said in a response that it stays cold for some time.
func (p *Portal) HearCold(id roster.Incarnation, remaining time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	e, known := p.roster.Get(id.ID)
	if remaining <= 0 || !known || !p.warmUpOf(e.Service).IsSet() || !p.hasTraffic() || !p.tracker.MarkCold(id, min(remaining, maxColdTime), now) {
		return
	}
	p.logCold(e.Endpoint, "response", "", now)
	p.notifyLocked()
}

// hasTraffic reports whether callers' requests have begun. Gateways report them to the leader, and control hosts tell each other. mu is
// held.
func (p *Portal) hasTraffic() bool { return p.trafficStarted || p.peerTraffic || !p.opts.FirstStart }

// tellsTraffic reports whether other control hosts must hear that callers' requests have begun.
func (p *Portal) tellsTraffic() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.warmUps) > 0 && p.hasTraffic()
}

// markDomainCold makes all endpoints of a failure domain cold whose service has a warm-up limit, for its time from now. mu is held.
func (p *Portal) markDomainCold(domain string, now time.Time) {
	if !p.hasTraffic() {
		return
	}
	for _, e := range p.roster.All() {
		w := p.warmUpOf(e.Service)
		if e.FailureDomain != domain || e.State == roster.StateLeft || !w.IsSet() || !p.tracker.MarkCold(e.Incarnation(), w.Time, now) {
			continue
		}
		p.logCold(e.Endpoint, "withdrawal", "", now)
	}
}

// coldRemaining returns how much longer an endpoint is cold, 0 if it isn't or its service has no warm-up limit. mu is held.
func (p *Portal) coldRemaining(e roster.Endpoint, now time.Time) time.Duration {
	if !p.warmUpOf(e.Service).IsSet() {
		return 0
	}
	return p.tracker.Remaining(e.Incarnation(), now)
}

// coldListTime is how long the list of cold endpoints is used while nothing changes. It is made for each update of each gateway otherwise.
const coldListTime = 40 * time.Millisecond

// coldEndpoints returns the endpoints that are cold and get requests. mu is held.
func (p *Portal) coldEndpoints(now time.Time) []permit.Cold {
	if len(p.warmUps) == 0 || !p.tracker.AnyCold(now) {
		return nil
	}
	if now.Sub(p.coldAt) < coldListTime {
		return p.cold
	}
	var cold []permit.Cold
	for _, e := range p.roster.All() {
		if e.State == roster.StateReady && takesRequests(e.Endpoint) && p.coldRemaining(e.Endpoint, now) > 0 {
			cold = append(cold, permit.Cold{Endpoint: e.Incarnation(), Scope: p.scopeOf(e.Incarnation()), PerSecond: p.warmUpOf(e.Service).PerSecond})
		}
	}
	p.cold, p.coldAt = cold, now
	return cold
}

// warmUpUpdate returns what a gateway must know of cold endpoints, or nil if no service has a warm-up limit. Without all set it
// names the cold endpoints only if there are permits for them. mu is held.
func (p *Portal) warmUpUpdate(peer host.ID, all bool, now time.Time) *message.WarmUp {
	if len(p.warmUps) == 0 {
		return nil
	}
	m := &message.WarmUp{Judged: p.tracker.Judges(now)}
	permits := map[roster.Incarnation]int{}
	if p.isGranting(now) {
		var granted []message.ColdEndpoint
		granted, m.Report, m.Serial = p.permits.TakeCold(peer)
		for _, g := range granted {
			permits[g.Incarnation()] = g.Permits
		}
	}
	for _, c := range p.coldEndpoints(now) {
		if count := permits[c.Endpoint]; all || count > 0 {
			m.Cold = append(m.Cold, message.ColdEndpoint{
				Endpoint: c.Endpoint.ID, StartedMs: c.Endpoint.StartedMs, Remaining: p.tracker.Remaining(c.Endpoint, now), Permits: count,
			})
		}
	}
	return m
}
