package portal

import (
	"context"
	"time"

	"github.com/egretreach/egretreach/internal/control/formation"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/process/pause"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	// pictureEvery is how often a subscriber hears something even if nothing changed.
	pictureEvery = 300 * time.Millisecond
	// pictureGap gathers changes that come at the same time.
	pictureGap = 15 * time.Millisecond
	// reportLife is how long a gateway's report counts.
	reportLife = 1500 * time.Millisecond
)

// report is a gateway's last report and when it came.
type report struct {
	message.GatewayReport
	at time.Time
}

// serveSubscriber sends pictures to a gateway and takes in its reports.
func (p *Portal) serveSubscriber(ctx context.Context, s *transport.Stream, m *message.Subscribe) {
	peer := s.Peer().Host
	event.SubscriberJoined.On(p.opts.Logger).Str("peer", string(peer)).Str("zone", m.FailureDomain).Msg("")
	ctx, cancel := context.WithCancel(ctx)
	stop := s.CancelOn(ctx)
	defer stop()
	go func() {
		defer cancel()
		p.takeReports(s, peer)
	}()
	p.sendPictures(ctx, s)
	cancel()
	event.SubscriberLeft.On(p.opts.Logger).Str("peer", string(peer)).Msg("")
}

func (p *Portal) takeReports(s *transport.Stream, peer host.ID) {
	for {
		m, err := s.Receive()
		if err != nil {
			return
		}
		r, ok := m.(*message.GatewayReport)
		if !ok {
			return
		}
		p.mu.Lock()
		now := time.Now()
		p.reports[peer] = report{GatewayReport: *r, at: now}
		p.demand.take(r.Demand, now)
		p.strikes.take(r.Crashes, now)
		p.requests = p.requests || r.Requests > 0
		p.mu.Unlock()
	}
}

// painter composes the pictures of one subscriber, each without what the last one held.
type painter struct {
	version  uint64
	sequence map[string]told
}

func (p *Portal) sendPictures(ctx context.Context, s *transport.Stream) {
	pt := painter{sequence: map[string]told{}}
	for first := true; ; first = false {
		changed := p.change()
		if s.Send(p.picture(&pt, first)) != nil {
			return
		}
		timer := time.NewTimer(pictureEvery)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
		if !pause.For(ctx, pictureGap) {
			return
		}
	}
}

func (p *Portal) picture(pt *painter, complete bool) *message.Picture {
	held := p.machine.Current()
	leader := p.leader()
	p.mu.Lock()
	defer p.mu.Unlock()
	m := &message.Picture{Version: held.Version, Complete: complete, Leader: leader, Gateways: p.gateways(time.Now())}
	m.Quarantined = p.strikes.held()
	if held.Version != pt.version {
		m.Document, pt.version = held.Bytes, held.Version
	}
	for _, e := range p.roster.All() {
		last, known := pt.sequence[e.ID]
		if known && (last.born == e.StartedMs && last.state == e.State) && (last.sequence == e.Sequence || e.Unchanged && last.at.Equal(p.spoke[e.ID])) {
			continue
		}
		pt.sequence[e.ID] = told{e.Sequence, e.StartedMs, e.State, p.spoke[e.ID]}
		m.Endpoints = append(m.Endpoints, e.Endpoint)
	}
	for _, f := range p.founders {
		m.Hosts = append(m.Hosts, f.Address)
	}
	for id, h := range p.health {
		if h.dead {
			m.Lost = append(m.Lost, id)
		}
	}
	return m
}

// gateways counts the gateways that report; mu is held.
func (p *Portal) gateways(now time.Time) int {
	count := 0
	for _, r := range p.reports {
		if now.Sub(r.at) < reportLife {
			count++
		}
	}
	return count
}

// leader returns the link address of the known leader, or nothing.
func (p *Portal) leader() string {
	l := p.current()
	if l == nil {
		return ""
	}
	status := l.Status()
	if status.IsLeader() {
		return p.opts.LinkAddress
	}
	return status.LeaderAddress
}

// sights joins what the gateways have seen of heads; mu is held.
func (p *Portal) sights(now time.Time) map[string]formation.HeadReport {
	all := map[string]formation.HeadReport{}
	for _, r := range p.reports {
		age := now.Sub(r.at)
		if age > reportLife {
			continue
		}
		for _, h := range r.Heads {
			sight, known := all[h.ID]
			silence := h.SinceLastData + age
			if known {
				silence = min(silence, sight.SinceLastData)
			}
			all[h.ID] = formation.HeadReport{Waiting: sight.Waiting + h.Waiting, SinceLastData: silence}
		}
	}
	return all
}

// endpointAt returns the endpoint of an ID; mu is held.
func (p *Portal) endpointAt(id string) (roster.Endpoint, bool) {
	e, ok := p.roster.Get(id)
	return e.Endpoint, ok
}
