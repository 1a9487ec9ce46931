package portal

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/control/portalstate"
	"github.com/egretreach/egretreach/internal/control/replication"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/process/pause"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	// departureTimeout bounds how long an endpoint that drains or leaves waits until that is kept. Endpoints try the next host after a second.
	departureTimeout = 700 * time.Millisecond
	// departureRetryDelay is the pause after an attempt that has failed.
	departureRetryDelay = 40 * time.Millisecond
	// maxDepartureBatch bounds the announcements of one entry of the log.
	maxDepartureBatch = 256
)

// keepDeparture returns nil once a majority of the control hosts has on its disks that an endpoint drains or has left.
func (p *Portal) keepDeparture(ctx context.Context, e roster.Endpoint) error {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	w := p.departures.add(e, time.Now().Add(departureTimeout))
	select {
	case <-w.kept:
		return w.err
	case <-ctx.Done():
		return ErrUnavailable{Reason: "no majority has confirmed it in time"}
	}
}

// keepDepartures keeps the departures that arrive at this host until ctx ends.
func (p *Portal) keepDepartures(ctx context.Context) error {
	for ctx.Err() == nil {
		batch, added := p.departures.take()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
			case <-added:
			}
			continue
		}
		endpoints := make([]roster.Endpoint, 0, len(batch))
		for _, w := range batch {
			endpoints = append(endpoints, w.endpoint)
		}
		if err := p.commitDepartures(ctx, endpoints); err != nil {
			event.DeparturesUnsure.On(p.opts.Logger).Str("first", endpoints[0].ID).Int("endpoints", len(endpoints)).Err(err).Msg("")
			p.departures.putBack(batch, time.Now(), err)
			pause.For(ctx, departureRetryDelay)
			continue
		}
		for _, w := range batch {
			w.finish(nil)
		}
	}
	return nil
}

// commitDepartures writes departures to the replicated log, through the leader if another host leads.
func (p *Portal) commitDepartures(ctx context.Context, endpoints []roster.Endpoint) error {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	l := p.currentLog()
	if l == nil {
		return errors.New("the replicated log does not run here")
	}
	status := l.Status()
	if status.IsLeader() {
		return p.proposeDepartures(ctx, l, endpoints)
	}
	if status.LeaderAddress == "" {
		return replication.ErrNotLeader{}
	}
	m, err := p.callLeader(ctx, status.LeaderAddress, &message.Depart{Endpoints: endpoints})
	if err != nil {
		return err
	}
	if answer, ok := m.(*message.DepartAnswer); !ok || !answer.Kept {
		return errors.New("the leader has not kept it")
	}
	return nil
}

// proposeDepartures writes departures to the log of this host, which leads. The incarnation of an endpoint that has not said its own is that
// which this host knows.
func (p *Portal) proposeDepartures(ctx context.Context, l *replication.Log, endpoints []roster.Endpoint) error {
	command, err := portalstate.EncodeDepartures(p.withIncarnations(endpoints))
	if err != nil {
		return err
	}
	result, err := l.Propose(ctx, command)
	if err != nil {
		return err
	}
	outcome, ok := result.(portalstate.Result)
	if !ok {
		return errors.New("the log could not read the departures")
	}
	event.DeparturesKept.On(p.opts.Logger).Str("first", endpoints[0].ID).Int("endpoints", len(endpoints)).Uint64("index", outcome.Index).Msg("")
	return nil
}

// withIncarnations returns the valid ones of some announcements, with the start time that is known here for those that have none.
func (p *Portal) withIncarnations(endpoints []roster.Endpoint) []roster.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	var known []roster.Endpoint
	for _, e := range endpoints {
		if err := e.Validate(); err != nil {
			p.skipAnnouncement(e, false, err)
			continue
		}
		if current, ok := p.endpointByID(e.ID); ok && e.StartedMs == 0 {
			e.StartedMs = current.StartedMs
		}
		known = append(known, e)
	}
	return known
}

// serveDepart keeps departures for another control host.
func (p *Portal) serveDepart(ctx context.Context, s *transport.Stream, m *message.Depart) {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	answer := &message.DepartAnswer{}
	if l := p.currentLog(); l != nil && len(m.Endpoints) > 0 {
		err := p.proposeDepartures(ctx, l, m.Endpoints)
		answer.Kept = err == nil
	}
	_ = s.Answer(answer) // The host asks again.
}

// applyDepartures records the departures of the log after the entry at index applied. It returns the index of the last one.
func (p *Portal) applyDepartures(applied uint64) uint64 {
	endpoints, last := p.machine.DeparturesAfter(applied)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range endpoints {
		p.applyAnnouncement(e, now, false)
	}
	return last
}
