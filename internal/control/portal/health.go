package portal

import (
	"context"
	"time"

	"github.com/egretreach/egretreach/internal/control/formation"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	// probeTimeout bounds one probe: many times the way between two failure domains.
	probeTimeout = 120 * time.Millisecond
	// probeAgain is the time between two probes of an endpoint that does not answer.
	probeAgain = 10 * time.Millisecond
	// probeFresh is how long a good probe counts as a sign of life.
	probeFresh = 800 * time.Millisecond
	// missedProbes make an endpoint count as dead.
	missedProbes = 2
	// longSilence is how much longer an endpoint may be silent before it counts as dead
	// without a probe: a new leader has not probed anyone yet.
	longSilence = 1500 * time.Millisecond
	// silentHead is the silence of a head with work after which its members are probed.
	silentHead = 200 * time.Millisecond
)

// health is what probes have found of one endpoint.
type health struct {
	// probing says that a probe is under way.
	probing bool
	missed  int
	dead    bool
	refuses bool
	// probed is when the last probe ended, and alive when one last succeeded.
	probed time.Time
	alive  time.Time
}

// lastSign is when an endpoint last gave a sign of life.
func (h health) lastSign(e roster.Entry) time.Time {
	if h.alive.After(e.LastSeen) {
		return h.alive
	}
	return e.LastSeen
}

// revive forgets bad probes when an endpoint has announced itself since; mu is held.
func (p *Portal) revive(id string, heard time.Time) {
	h, known := p.health[id]
	if !known || heard.Before(h.probed) {
		return
	}
	if h.dead {
		event.EndpointFound.On(p.opts.Logger).Str("endpoint", id).Msg("")
	}
	delete(p.health, id)
}

// silent is how long an endpoint may be silent before it is probed: an announcement and
// two thirds of the next.
func (p *Portal) silent() time.Duration { return p.opts.Heartbeat * 5 / 3 }

// hosts returns the engines of a service as the planner sees them, and starts the
// probes that are due; mu is held.
func (p *Portal) hosts(ctx context.Context, service string, now time.Time, suspects map[string]bool) []formation.Host {
	var hosts []formation.Host
	for _, e := range p.roster.All() {
		if e.Service != service || !e.Engine {
			continue
		}
		h := p.health[e.ID]
		heard := h.lastSign(e)
		if e.State != roster.StateLeft {
			p.probeIfDue(ctx, e, h, now, now.Sub(heard) > p.silent() || suspects[e.ID])
		}
		hosts = append(hosts, formation.Host{
			Endpoint: e.Endpoint, LastReport: e.LastSeen, ConnRefused: h.refuses,
			Alive: !h.dead && e.State != roster.StateLeft && now.Sub(heard) < p.silent()+longSilence,
		})
	}
	return hosts
}

// watchServices starts the probes that are due of endpoints that are no engines; mu is held.
func (p *Portal) watchServices(ctx context.Context, now time.Time) {
	for _, e := range p.roster.All() {
		if e.Engine || e.State == roster.StateLeft {
			continue
		}
		h := p.health[e.ID]
		heard := h.lastSign(e)
		p.probeIfDue(ctx, e, h, now, now.Sub(heard) > p.silent())
	}
}

func (p *Portal) probeIfDue(ctx context.Context, e roster.Entry, h health, now time.Time, doubt bool) {
	if !doubt || h.probing || now.Sub(h.probed) < probeAgain {
		return
	}
	if now.Sub(h.alive) < probeFresh {
		return
	}
	if h.dead && now.Sub(h.probed) < p.opts.Heartbeat {
		return // It announces itself when it is back; a probe now and then finds one that is cut off.
	}
	h.probing = true
	p.health[e.ID] = h
	go p.probe(ctx, e.Endpoint)
}

func (p *Portal) probe(ctx context.Context, e roster.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	pulse := p.opts.Engines.Probe(ctx, e)
	p.meters.probes.Inc(1)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	h, known := p.health[e.ID]
	if !known {
		return // It has announced itself meanwhile.
	}
	h.probing, h.probed = false, now
	if pulse == ProbeAlive {
		if h.dead {
			event.EndpointFound.On(p.opts.Logger).Str("endpoint", e.ID).Msg("")
		}
		h.missed, h.dead, h.refuses, h.alive = 0, false, false, now
		p.health[e.ID] = h
		return
	}
	h.missed++
	h.refuses = pulse == ProbeRefused
	if !h.dead && (h.refuses || h.missed >= missedProbes) {
		h.dead = true
		p.meters.lost.Inc(1)
		event.EndpointLost.On(p.opts.Logger).Str("endpoint", e.ID).Int("missed", h.missed).Bool("refuses", h.refuses).Msg("")
	}
	p.health[e.ID] = h
}
