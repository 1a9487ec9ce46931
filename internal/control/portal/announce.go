package portal

import (
	"context"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/process/pause"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	// gossipEvery is the time between two updates to another control host.
	gossipEvery = 40 * time.Millisecond
	// gossipRetry is the pause before a lost stream is opened again.
	gossipRetry = 300 * time.Millisecond
	// refreshEvery bounds how old a mere sign of life may grow before it is passed on.
	refreshEvery = 400 * time.Millisecond
	// forgetSilence is the silence after which an endpoint is dropped.
	forgetSilence = 3 * time.Minute
)

// Announce takes in what an endpoint says of itself. It returns ErrUnavailable while this
// host has nobody to tell it to.
func (p *Portal) Announce(e roster.Endpoint) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.founders) == 0 {
		return ErrUnavailable{Reason: "the other control hosts are not known yet"}
	}
	p.meters.announcements.Inc(1)
	p.take(e, time.Now(), true)
	return nil
}

// take takes in an announcement; mu is held.
func (p *Portal) take(e roster.Endpoint, heard time.Time, direct bool) {
	old, known := p.roster.Get(e.ID)
	change := p.roster.Announce(e, heard)
	if change == roster.ChangeNone {
		return
	}
	p.direct[e.ID] = direct
	p.revive(e.ID, heard)
	if change != roster.ChangeContent {
		return
	}
	p.spoke[e.ID] = time.Now()
	now, _ := p.roster.Get(e.ID)
	line := event.EndpointAnnounced.On(p.opts.Logger).Str("endpoint", now.ID).Str("address", now.Address).
		Uint64("sequence", now.Sequence).Int64("born", now.StartedMs).Uint8("state", uint8(now.State)).Bool("direct", direct)
	if now.Engine {
		line = line.Str("model", now.Model).Strs("staged", now.Staged)
	}
	if now.Member != nil {
		line = line.Str("replica", now.Member.Replica).Uint8("member_state", uint8(now.Member.State)).Int("rank", now.Member.Rank)
	}
	line.Bool("new", !known || old.StartedMs != now.StartedMs).Msg("")
	p.notifyLocked()
}

// takeUpdates takes in another control host's announcements until its stream ends.
func (p *Portal) takeUpdates(s *transport.Stream, first *message.RosterUpdate) {
	for update := first; ; {
		now := time.Now()
		p.mu.Lock()
		for _, h := range update.Heard {
			p.take(h.Endpoint, now.Add(-h.Age), false)
		}
		p.mu.Unlock()
		next, err := s.Receive()
		if err != nil {
			return
		}
		var ok bool
		if update, ok = next.(*message.RosterUpdate); !ok {
			return
		}
	}
}

// gossip tells another control host what endpoints announce here, until ctx ends.
func (p *Portal) gossip(ctx context.Context, peer host.ID) error {
	for ctx.Err() == nil {
		p.gossipOnce(ctx, p.addressOf(peer))
		pause.For(ctx, gossipRetry)
	}
	return nil
}

// told is what another control host was last told of an endpoint.
type told struct {
	sequence uint64
	born     int64
	state    roster.State
	at       time.Time
}

func (p *Portal) gossipOnce(ctx context.Context, address string) {
	s, err := p.opts.Pool.Open(ctx, address)
	if err != nil {
		return // The host is down or cut off; replication logs such links.
	}
	defer s.Cancel()
	stop := s.CancelOn(ctx)
	defer stop()
	all := p.everything()
	if s.Send(&message.RosterUpdate{Heard: all}) != nil {
		return
	}
	known := map[string]told{}
	for _, h := range all {
		known[h.Endpoint.ID] = told{h.Endpoint.Sequence, h.Endpoint.StartedMs, h.Endpoint.State, time.Now()}
	}
	for pause.For(ctx, gossipEvery) {
		news := p.news(known)
		if len(news) > 0 && s.Send(&message.RosterUpdate{Heard: news}) != nil {
			return
		}
	}
}

func (p *Portal) everything() []message.Heard {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []message.Heard
	for _, e := range p.roster.All() {
		all = append(all, message.Heard{Endpoint: e.Endpoint, Age: time.Since(e.LastSeen)})
	}
	return all
}

// news returns what has been announced here since known, and updates known. What says
// nothing new is passed on now and then only.
func (p *Portal) news(known map[string]told) []message.Heard {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var news []message.Heard
	for _, e := range p.roster.All() {
		if !p.direct[e.ID] {
			continue
		}
		last := known[e.ID]
		if last.sequence == e.Sequence && last.born == e.StartedMs && last.state == e.State {
			continue
		}
		if e.Unchanged && now.Sub(last.at) < refreshEvery {
			continue
		}
		known[e.ID] = told{e.Sequence, e.StartedMs, e.State, now}
		news = append(news, message.Heard{Endpoint: e.Endpoint, Age: now.Sub(e.LastSeen)})
	}
	return news
}
