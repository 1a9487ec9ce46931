package portal

import (
	"context"
	"time"

	"github.com/egretreach/egretreach/internal/control/formation"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	// probeTimeout bounds one probe. It is many times the latency between two failure domains.
	probeTimeout = 120 * time.Millisecond
	// probeRetryInterval is the least time between two probes of an endpoint that does not
	// answer.
	probeRetryInterval = 10 * time.Millisecond
	// probeValidity is how long a successful probe counts as a sign of life.
	probeValidity = 800 * time.Millisecond
	// maxUnreachableProbes is the number of probes in a row without a connection after which an
	// endpoint counts as dead.
	maxUnreachableProbes = 2
	// maxSilence is how long an endpoint may accept probes without answering them before it counts as
	// dead. A sound endpoint may be silent for about a second.
	maxSilence = 1400 * time.Millisecond
	// unprobedTimeout is the time in addition to probeAfter after which an endpoint without a
	// sign of life counts as dead even if it was not probed. A new leader has not probed any
	// endpoint yet.
	unprobedTimeout = 1500 * time.Millisecond
	// headStallThreshold is the time without data from a head with work after which the members
	// of its replica are probed.
	headStallThreshold = 200 * time.Millisecond
)

// endpointHealth is the result of the probes of one endpoint.
type endpointHealth struct {
	// probing is true while a probe is under way.
	probing bool
	// missed counts the probes without an answer since the last one with an answer, and unreachable
	// those of them in a row for which no connection could be opened.
	missed, unreachable int
	// silent is for how long the missed probes have seen no answer. Of the time before each of them
	// it counts no more than twice probeTimeout, since this process may have stood still.
	silent      time.Duration
	dead        bool
	connRefused bool
	// stoppedListening says that connections are refused by an endpoint that drains: it may still be at work, also as the head of a
	// replica, so it is neither dead nor gone.
	stoppedListening bool
	// lastProbe is when the last probe ended, and lastSuccess when one last succeeded.
	lastProbe   time.Time
	lastSuccess time.Time
}

// lastSeen returns when the endpoint last gave a sign of life.
func (h endpointHealth) lastSeen(e roster.Entry) time.Time {
	if h.lastSuccess.After(e.LastSeen) {
		return h.lastSuccess
	}
	return e.LastSeen
}

// clearHealth drops the results of failed probes if the endpoint has announced itself since the
// last one. mu is held.
func (p *Portal) clearHealth(id string, seenAt time.Time) {
	h, known := p.health[id]
	if !known || seenAt.Before(h.lastProbe) {
		return
	}
	if h.dead {
		event.EndpointFound.On(p.opts.Logger).Str("endpoint", id).Msg("")
	}
	delete(p.health, id)
}

// probeAfter is the time without a sign of life after which an endpoint is probed: the interval
// of one announcement and two thirds of the next.
func (p *Portal) probeAfter() time.Duration { return p.opts.Heartbeat * 5 / 3 }

// plannerHosts returns the engines of a service as input of the planner, and starts the probes
// that are due. mu is held.
func (p *Portal) plannerHosts(ctx context.Context, service string, now time.Time, suspects map[string]bool) []formation.Host {
	var hosts []formation.Host
	for _, e := range p.roster.All() {
		if e.Service != service || !e.Engine {
			continue
		}
		h := p.health[e.ID]
		lastSeen := h.lastSeen(e)
		if e.State != roster.StateLeft {
			p.probeIfDue(ctx, e, h, now, now.Sub(lastSeen) > p.probeAfter() || suspects[e.ID])
		}
		hosts = append(hosts, formation.Host{
			Endpoint: e.Endpoint, LastReport: e.LastSeen,
			Cold:  p.coldRemaining(e.Endpoint, now),
			Alive: !h.dead && e.State != roster.StateLeft && now.Sub(lastSeen) < p.probeAfter()+unprobedTimeout,
		})
	}
	return hosts
}

// probeServices starts the probes that are due of endpoints that are not engines. mu is held.
func (p *Portal) probeServices(ctx context.Context, now time.Time) {
	for _, e := range p.roster.All() {
		if e.Engine || e.State == roster.StateLeft {
			continue
		}
		h := p.health[e.ID]
		lastSeen := h.lastSeen(e)
		p.probeIfDue(ctx, e, h, now, now.Sub(lastSeen) > p.probeAfter())
	}
}

func (p *Portal) probeIfDue(ctx context.Context, e roster.Entry, h endpointHealth, now time.Time, suspect bool) {
	if !suspect || h.probing || now.Sub(h.lastProbe) < probeRetryInterval {
		return
	}
	if now.Sub(h.lastSuccess) < probeValidity {
		return
	}
	if (h.dead || h.stoppedListening) && now.Sub(h.lastProbe) < p.opts.Heartbeat {
		return // It announces itself when it is back. Rare probes find an endpoint that can be reached again but whose announcements do not arrive.
	}
	h.probing = true
	p.health[e.ID] = h
	go p.probe(ctx, e.Endpoint)
}

func (p *Portal) probe(ctx context.Context, e roster.Endpoint) {
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	result := p.opts.Engines.Probe(ctx, e)
	p.metrics.probes.Inc(1)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	h, known := p.health[e.ID]
	if !known {
		return // It has announced itself meanwhile.
	}
	wasDead := h.dead
	current, _ := p.roster.Get(e.ID)
	h = h.withProbe(result, current.State, sentAt, now)
	p.health[e.ID] = h
	switch {
	case wasDead && !h.dead:
		p.judgeReturn(current.Endpoint, now)
		event.EndpointFound.On(p.opts.Logger).Str("endpoint", e.ID).Msg("")
	case !wasDead && h.dead:
		p.metrics.lost.Inc(1)
		event.EndpointLost.On(p.opts.Logger).Str("endpoint", e.ID).Int("missed", h.missed).Int("unreachable", h.unreachable).
			Dur("silent", h.silent).Bool("refuses", h.connRefused).Msg("")
	}
}

// withProbe returns the health after a probe that was sent at sentAt and ended now. A probe that has
// taken much longer than its limit tells nothing: then this process itself stood still.
func (h endpointHealth) withProbe(result ProbeResult, state roster.State, sentAt, now time.Time) endpointHealth {
	previous := h.lastProbe
	h.probing, h.lastProbe = false, now
	timedOut := result == ProbeUnreachable || result == ProbeSilent
	if timedOut && now.Sub(sentAt) > 2*probeTimeout {
		return h
	}
	h.stoppedListening = result == ProbeRefused && state == roster.StateDraining
	if h.stoppedListening {
		return h
	}
	h.connRefused = result == ProbeRefused
	if result == ProbeAlive {
		h.missed, h.unreachable, h.silent, h.dead, h.lastSuccess = 0, 0, 0, false, now
		return h
	}
	since := sentAt
	if h.missed > 0 {
		since = previous
	}
	h.silent += min(now.Sub(since), 2*probeTimeout)
	h.missed++
	h.unreachable++
	if result != ProbeUnreachable {
		h.unreachable = 0
	}
	h.dead = h.dead || h.connRefused || h.unreachable >= maxUnreachableProbes || h.silent >= maxSilence
	return h
}
