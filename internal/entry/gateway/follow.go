package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/entry/balance"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/process/pause"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	// pictureSilence is the silence after which a control host is left for another: three
	// of its regular pictures.
	pictureSilence = time.Second
	// leaderlessTime is how long a control host may know no leader before it is left: it
	// may be cut off from the others.
	leaderlessTime = 350 * time.Millisecond
	// leaderAgain is how long a leader that could not be reached is not tried again.
	leaderAgain = 2 * time.Second
	// followPause is the time between two attempts to reach control.
	followPause = 100 * time.Millisecond
	// followTimeout bounds the opening of a link to control.
	followTimeout = 600 * time.Millisecond
	// reportEvery is the pace of reports to control.
	reportEvery = 100 * time.Millisecond
)

// source chooses the control host to follow.
type source struct {
	seeds  []string
	next   int
	leader string
	// hosts are all control hosts, once one has named them.
	hosts []string
	// shunned is until when each address is not tried.
	shunned map[string]time.Time
}

// choose returns the leader if it is known and not shunned, or the next seed.
func (s *source) choose(now time.Time) string {
	if s.leader != "" && now.After(s.shunned[s.leader]) {
		return s.leader
	}
	known := s.known()
	oldest := known[0]
	for range known {
		address := known[s.next%len(known)]
		s.next++
		if now.After(s.shunned[address]) {
			return address
		}
		if s.shunned[address].Before(s.shunned[oldest]) {
			oldest = address
		}
	}
	return oldest
}

// known returns the control hosts that other control hosts and the settings name.
func (s *source) known() []string {
	known := slices.Clone(s.hosts)
	for _, seed := range s.seeds {
		if !slices.Contains(known, seed) {
			known = append(known, seed)
		}
	}
	return known
}

// follow keeps the gateway's picture of the fleet up to date until ctx ends.
func (g *Gateway) follow(ctx context.Context) error {
	s := &source{shunned: map[string]time.Time{}}
	for ctx.Err() == nil {
		s.seeds = g.knownSeeds()
		address := s.choose(time.Now())
		reason := g.followOne(ctx, s, address)
		event.ControlLost.On(g.opts.Logger).Str("address", address).Str("reason", reason).Msg("")
		pause.For(ctx, followPause)
	}
	return nil
}

// followOne follows one control host, and returns why it was left.
func (g *Gateway) followOne(ctx context.Context, s *source, address string) string {
	opening, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	stream, err := g.opts.Pool.Open(opening, address)
	if err != nil {
		s.shunned[address] = time.Now().Add(leaderAgain)
		return err.Error()
	}
	defer stream.Cancel()
	stop := stream.CancelOn(ctx)
	defer stop()
	if err := stream.Send(&message.Subscribe{FailureDomain: string(g.opts.FailureDomain)}); err != nil {
		return err.Error()
	}
	event.ControlFollowed.On(g.opts.Logger).Str("address", address).Msg("")
	ended := make(chan struct{})
	defer close(ended)
	go g.report(stream, ended)
	return g.takePictures(s, address, stream)
}

func (g *Gateway) takePictures(s *source, address string, stream *transport.Stream) string {
	sure := time.Now()
	for {
		if err := stream.SetReadDeadline(time.Now().Add(pictureSilence)); err != nil {
			return err.Error()
		}
		m, err := stream.Receive()
		if err != nil {
			s.shunned[address] = time.Now().Add(leaderAgain)
			g.opts.Pool.Drop(address)
			return err.Error()
		}
		picture, ok := m.(*message.Picture)
		if !ok {
			return "unexpected frame"
		}
		g.take(picture)
		now := time.Now()
		if len(picture.Hosts) > 0 {
			s.hosts = picture.Hosts
		}
		if picture.Leader != "" {
			sure, s.leader = now, picture.Leader
		}
		if now.Sub(sure) > leaderlessTime {
			s.leader, s.shunned[address] = "", now.Add(leaderAgain)
			return "it knows no leader"
		}
		if s.leader != address && s.leader != "" && now.After(s.shunned[s.leader]) {
			return "another host leads"
		}
	}
}

// take takes in a picture. A version that is not above the one in force is ignored.
func (g *Gateway) take(p *message.Picture) {
	if held := g.table.Load(); len(p.Document) > 0 && (held == nil || p.Version > held.Version) {
		table, err := g.opts.Dialect.ParseTable(p.Document)
		if err != nil {
			event.ConfigRefused.On(g.opts.Logger).Uint64("revision", p.Version).Err(err).Msg("")
		} else {
			g.table.Store(table)
			event.ConfigInForce.On(g.opts.Logger).Uint64("revision", p.Version).Msg("")
		}
	}
	now := time.Now()
	g.told.Store(now.UnixNano())
	g.mu.Lock()
	defer g.mu.Unlock()
	if table := g.table.Load(); table != nil {
		g.balancer.SetServices(table.Services)
	}
	var news []roster.Endpoint
	for _, e := range p.Endpoints {
		if g.roster.Announce(e, now) == roster.ChangeContent {
			news = append(news, e)
		}
	}
	g.dropOld(news)
	g.balancer.UpdateEndpoints(news)
	g.balancer.MarkLost(p.Lost, now)
	g.heldBack = map[uint64]bool{}
	for _, fingerprint := range p.Quarantined {
		g.heldBack[fingerprint] = true
	}
	if p.Gateways > 0 {
		g.balancer.Gateways = p.Gateways
	}
	g.balancer.ProcessQueue(now)
}

// dropOld lets go of endpoints that a later life at their address has replaced; mu is held.
func (g *Gateway) dropOld(news []roster.Endpoint) {
	if len(news) == 0 {
		return // Only something new replaces another endpoint.
	}
	for _, e := range news {
		if e.State == roster.StateLeft {
			g.upstream.CloseIdle(e.Address)
		}
	}
	var replaced []roster.Endpoint
	for _, e := range g.roster.All() {
		if e.State == roster.StateLeft {
			replaced = append(replaced, e.Endpoint)
		}
	}
	g.balancer.UpdateEndpoints(replaced)
}

// report tells control what the gateway sees, until ended.
func (g *Gateway) report(stream *transport.Stream, ended <-chan struct{}) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
		}
		if stream.Send(g.composeReport(time.Now())) != nil {
			return // The receiving side notices too and follows another host.
		}
	}
}

func (g *Gateway) composeReport(now time.Time) *message.GatewayReport {
	r := &message.GatewayReport{Requests: g.requests.Load()}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.balancer.HeadReports(now) {
		r.Heads = append(r.Heads, message.HeadReport{ID: s.ID, Waiting: s.InFlight, SinceLastData: s.SinceLastData})
	}
	for model, d := range g.demand {
		r.Demand = append(r.Demand, message.Demand{Model: model, Work: balance.EngineTime(d.engine, model, d.size)})
	}
	clear(g.demand)
	for _, c := range g.crashes {
		r.Crashes = append(r.Crashes, message.Crash{
			Endpoint: c.endpoint, StartedMs: c.born, Fingerprint: c.fingerprint, Age: now.Sub(c.at),
		})
	}
	g.crashes = nil
	return r
}
