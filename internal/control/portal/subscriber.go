package portal

import (
	"context"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/fleet/routes"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/process/pause"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	// updateInterval is the time after which a subscriber is sent an update even if nothing
	// changed.
	updateInterval = 300 * time.Millisecond
	// updateDelay is the pause after an update, so that simultaneous changes are sent together.
	updateDelay = 15 * time.Millisecond
	// reportTTL is how long a gateway's report is used.
	reportTTL = 1500 * time.Millisecond
)

// receivedReport is a gateway's last report and the time of its arrival.
type receivedReport struct {
	message.GatewayReport
	at time.Time
}

// serveSubscriber sends updates of the fleet snapshot to a gateway and receives its reports.
func (p *Portal) serveSubscriber(ctx context.Context, s *transport.Stream, m *message.Subscribe) {
	peer := s.Peer().Host
	event.SubscriberJoined.On(p.opts.Logger).Str("peer", string(peer)).Str("zone", m.FailureDomain).Msg("")
	ctx, cancel := context.WithCancel(ctx)
	stop := s.CancelOn(ctx)
	defer stop()
	asker := p.questions.open()
	defer p.questions.close(asker)
	p.questions.ask(asker, message.Question{Number: m.Question, Urgent: true})
	go func() {
		defer cancel()
		p.receiveReports(s, peer, asker)
	}()
	p.sendUpdates(ctx, s, peer, asker)
	cancel()
	event.SubscriberLeft.On(p.opts.Logger).Str("peer", string(peer)).Msg("")
}

func (p *Portal) receiveReports(s *transport.Stream, peer host.ID, asker *asker) {
	for {
		m, err := s.Receive()
		if err != nil {
			return
		}
		r, ok := m.(*message.GatewayReport)
		if !ok {
			return
		}
		p.questions.ask(asker, r.Question)
		p.mu.Lock()
		now := time.Now()
		p.reports[peer] = receivedReport{GatewayReport: *r, at: now}
		p.demand.add(p.knownModels(r.Demand), now)
		p.countCrashes(peer, r, now)
		p.hearLimits(peer, r.Limits, now)
		p.trafficStarted = p.trafficStarted || r.Requests > 0
		p.mu.Unlock()
	}
}

// knownModels returns the demand for models of the configuration. Callers may have chosen other names, and a gateway with another
// configuration may have passed them on. mu is held.
func (p *Portal) knownModels(demand []message.Demand) []message.Demand {
	if p.table == nil {
		return nil
	}
	return slices.DeleteFunc(demand, func(d message.Demand) bool {
		return !slices.ContainsFunc(p.table.Services, func(s routes.Service) bool {
			_, known := s.Engine.Model(d.Model)
			return known
		})
	})
}

// subscriberState is what has been sent to one subscriber, so that updates omit what has not
// changed.
type subscriberState struct {
	// version is the version of the document.
	version uint64
	// evacuationRevision is the revision of the evacuated failure domains.
	evacuationRevision uint64
	// watched are the keys of which the subscriber reports completed requests.
	watched []uint64
	// sent holds the state of each endpoint that the subscriber knows, by ID.
	sent map[string]sentState
}

// wants reports whether the subscriber needs a change of an endpoint. After the first update, which is complete, those are the changes of
// endpoints that get requests, or got some until now, and of their readiness. Members of replicas and spares change far more often.
func (s subscriberState) wants(e roster.Endpoint) bool {
	last, known := s.sent[e.ID]
	return takesRequests(e) || known && (last.takesRequests || last.state != e.State)
}

func (p *Portal) sendUpdates(ctx context.Context, s *transport.Stream, peer host.ID, asker *asker) {
	state := subscriberState{sent: map[string]sentState{}}
	for first := true; ; first = false {
		changed := p.changeNotify()
		confirmed := p.questions.confirmed(asker) // Before the document is read, which may be newer.
		m := p.nextUpdate(&state, peer, first)
		m.Confirmed = confirmed
		if s.Send(m) != nil {
			return
		}
		if !p.sendPermits(ctx, s, peer, asker, changed) || !pause.For(ctx, updateDelay) {
			return
		}
	}
}

// sendPermits sends permits as they are granted until the next update is due. It returns false if the stream has
// failed or ctx has ended.
func (p *Portal) sendPermits(ctx context.Context, s *transport.Stream, peer host.ID, asker *asker, changed <-chan struct{}) bool {
	timer := time.NewTimer(updateInterval)
	defer timer.Stop()
	for {
		ready := p.permitsNotify()
		select {
		case <-ctx.Done():
			return false
		case <-changed:
			return true
		case <-asker.answered:
			return true
		case <-timer.C:
			return true
		case <-ready:
		}
		if m := p.permitUpdate(peer); m != nil && s.Send(m) != nil {
			return false
		}
	}
}

func (p *Portal) nextUpdate(state *subscriberState, peer host.ID, complete bool) *message.Picture {
	document, evacuations := p.machine.Current(), p.machine.Evacuations()
	leader := p.leaderAddress()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	m := &message.Picture{Version: document.Version, Complete: complete, Leader: leader, Gateways: p.gatewayCount(now)}
	p.holds.Sync(p.machine.Holds(), now)
	m.Holds.Held = p.holds.View(peer, now)
	if watched := p.holds.Watched(); complete || !slices.Equal(watched, state.watched) {
		m.Holds.Watching, state.watched = &message.Watching{Keys: watched}, watched
	}
	m.EvacuationRevision = evacuations.Revision
	if complete || evacuations.Revision != state.evacuationRevision {
		m.Evacuated, state.evacuationRevision = &message.Evacuated{Domains: evacuations.Domains}, evacuations.Revision
	}
	if document.Version != state.version {
		m.Document, state.version = document.Bytes, document.Version
	}
	m.Limits, m.Granting = p.permits.Take(peer, complete, now), p.isGranting(now)
	m.WarmUp = p.warmUpUpdate(peer, true, now)
	for _, e := range p.roster.All() {
		if !complete && !state.wants(e.Endpoint) {
			continue
		}
		last, known := state.sent[e.ID]
		if known && (last.startedMs == e.StartedMs && last.state == e.State) && (last.sequence == e.Sequence || e.Unchanged && last.at.Equal(p.contentChanged[e.ID])) {
			continue
		}
		state.sent[e.ID] = sentState{e.Sequence, e.StartedMs, e.State, p.contentChanged[e.ID], takesRequests(e.Endpoint)}
		m.Endpoints = append(m.Endpoints, e.Endpoint)
	}
	if p.voterID != "" {
		for _, v := range p.voters.Votes() {
			m.Hosts = append(m.Hosts, v.Address)
		}
	}
	for id, h := range p.health {
		if last := state.sent[id]; h.dead && last.takesRequests {
			m.Lost = append(m.Lost, id)
		}
	}
	return m
}

// gatewayCount returns the number of gateways with a recent report. mu is held.
func (p *Portal) gatewayCount(now time.Time) int {
	count := 0
	for _, r := range p.reports {
		if now.Sub(r.at) < reportTTL {
			count++
		}
	}
	return count
}

// leaderAddress returns the link address of the leader, or "" if none is known.
func (p *Portal) leaderAddress() string {
	l := p.currentLog()
	if l == nil {
		return ""
	}
	status := l.Status()
	if status.IsLeader() {
		return p.opts.LinkAddress
	}
	return status.LeaderAddress
}

// endpointByID returns the endpoint with an ID. mu is held.
func (p *Portal) endpointByID(id string) (roster.Endpoint, bool) {
	e, ok := p.roster.Get(id)
	return e.Endpoint, ok
}

// takesRequests reports whether gateways may send requests to an endpoint: to plain ones, and to the serving heads of replicas.
func takesRequests(e roster.Endpoint) bool { return !e.Engine || e.IsServingHead() }
