package portal

import (
	"context"
	"time"

	"github.com/egretreach/egretreach/internal/control/formation"
	"github.com/egretreach/egretreach/internal/control/replication"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/fleet/routes"
	"github.com/egretreach/egretreach/internal/process/clock"
	"github.com/egretreach/egretreach/internal/process/pause"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	// planInterval is the time between two planning steps when nothing changes.
	planInterval = 50 * time.Millisecond
	// planMinInterval is the least time between two steps.
	planMinInterval = 10 * time.Millisecond
	// leaderSettleTime is how long a new leader collects announcements before it plans: the time
	// in which every endpoint announces itself. A process that was started at the first start of
	// the system plans at once, also in later terms.
	leaderSettleTime = 1500 * time.Millisecond
	// leadershipValidity is how long a leader may plan after it last confirmed its leadership. A
	// process that was suspended must confirm it again before it sends an order or grants permits.
	leadershipValidity = 300 * time.Millisecond
	// orderTimeout bounds the wait for an engine's answer to an order.
	orderTimeout = 200 * time.Millisecond
)

// confirmer confirms the leadership of this host: Barrier returns nil if it led at some time since the call.
type confirmer interface {
	Barrier(ctx context.Context) error
}

// planning is the state of planning over the steps of one term.
type planning struct {
	planners map[string]*formation.Planner
	leadership
	// confirmedAt is when the latest confirmation of the leadership was asked for, by clock.Now. The zero value has none.
	confirmedAt time.Time
}

// confirmed reports whether the leadership is confirmed. It asks for a confirmation if the latest is too old.
func (s *planning) confirmed(ctx context.Context, l confirmer) bool {
	if asked := clock.Now(); asked.Sub(s.confirmedAt) > leadershipValidity && l.Barrier(ctx) == nil {
		s.confirmedAt = asked
	}
	return clock.Since(s.confirmedAt) <= leadershipValidity
}

// runPlanning forms replicas while this host is the leader.
func (p *Portal) runPlanning(ctx context.Context) error {
	var state planning
	for pause.For(ctx, planMinInterval) {
		p.forgetEndpoints(time.Now())
		changed := p.changeNotify()
		if l := p.currentLog(); l != nil && l.Status().IsLeader() {
			p.planAsLeader(ctx, l, &state)
		} else {
			state = planning{}
			p.followHolds(time.Now())
			p.stopGranting(time.Now())
		}
		timer := time.NewTimer(planInterval)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
	return nil
}

// planAsLeader runs one step of planning. Without a confirmed leadership it orders and grants nothing.
func (p *Portal) planAsLeader(ctx context.Context, l *replication.Log, state *planning) {
	now := time.Now()
	if term := l.Status().Term; state.planners == nil || term != state.term {
		*state = planning{planners: map[string]*formation.Planner{}, leadership: leadership{term, now}}
		event.LeaderStarted.On(p.opts.Logger).Uint64("term", term).Msg("")
	}
	if !state.confirmed(ctx, l) {
		return
	}
	p.judgeHolds(ctx, now)
	p.grantPermits(now, state.since)
	if p.opts.FirstStart || now.Sub(state.since) > leaderSettleTime {
		p.plan(ctx, state.leadership, state.planners, now)
	}
}

// forgetEndpoints drops the endpoints that left, or last announced themselves, long ago, with their
// health.
func (p *Portal) forgetEndpoints(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.Step(now)
	p.unlisted.Forget(now, forgetAfter)
	for _, id := range p.roster.Forget(now, forgetAfter) {
		delete(p.health, id)
		delete(p.direct, id)
		p.tracker.Forget(id)
		delete(p.contentChanged, id)
	}
}

// leadership is a term of this host as the leader.
type leadership struct {
	term  uint64
	since time.Time
}

// plan runs a step of the planner of each engine service and sends its orders.
func (p *Portal) plan(ctx context.Context, lead leadership, planners map[string]*formation.Planner, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table == nil {
		return
	}
	reports := p.headReports(now)
	p.probeServices(ctx, now)
	for i := range p.table.Services {
		service := &p.table.Services[i]
		if service.Engine == nil || len(service.Engine.Models) == 0 {
			continue
		}
		planner := planners[service.Name]
		if planner == nil {
			planner = &formation.Planner{}
			planners[service.Name] = planner
		}
		p.planService(ctx, lead, planner, service, now, reports)
	}
}

func (p *Portal) planService(
	ctx context.Context, lead leadership, planner *formation.Planner, service *routes.Service, now time.Time,
	reports map[string]formation.HeadReport,
) {
	demand := p.demand.replicas(now)
	orders, decisions := planner.Step(now, formation.View{
		Engine: service.Engine, Hosts: p.plannerHosts(ctx, service.Name, now, p.suspectMembers(reports)), Heads: reports,
		Demand: demand, Evacuated: p.machine.Evacuations().Domains,
		TrafficStarted: p.trafficStarted || !p.opts.FirstStart, Term: lead.term, LeaderSince: lead.since,
	})
	for _, d := range decisions {
		event.ReplicaDecided.On(p.opts.Logger).Str("replica", d.Replica).Uint64("epoch", d.Epoch).Str("model", d.Model).
			Strs("members", d.Members).Str("phase", d.Phase).Float64("demand", demand[d.Model]).Str("reason", d.Reason).Msg("")
	}
	for _, o := range orders {
		to, ok := p.endpointByID(o.Host())
		if !ok {
			continue
		}
		go p.sendOrder(ctx, planner, to, o)
	}
}

// suspectMembers returns the members of replicas whose heads make no progress. mu is held.
func (p *Portal) suspectMembers(reports map[string]formation.HeadReport) map[string]bool {
	stalled := map[string]bool{}
	for id, report := range reports {
		if report.Waiting == 0 || report.SinceLastData < headStallThreshold {
			continue
		}
		if head, ok := p.endpointByID(id); ok && head.Member != nil {
			stalled[head.Member.Replica] = true
		}
	}
	if len(stalled) == 0 {
		return nil
	}
	suspects := map[string]bool{}
	for _, e := range p.roster.All() {
		if e.Member != nil && stalled[e.Member.Replica] {
			suspects[e.ID] = true
		}
	}
	return suspects
}

// sendOrder sends an order and passes the answer to the planner.
func (p *Portal) sendOrder(ctx context.Context, planner *formation.Planner, to roster.Endpoint, o formation.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	began := time.Now()
	answer := p.opts.Engines.SendOrder(ctx, to, o)
	p.metrics.orders.Inc(1)
	if answer == formation.AnswerNone {
		p.metrics.unanswered.Inc(1)
	}
	event.EngineOrdered.On(p.opts.Logger).Str("endpoint", to.ID).Any("order", o).Uint8("answer", uint8(answer)).
		Dur("took", time.Since(began)).Msg("")
	p.mu.Lock()
	defer p.mu.Unlock()
	planner.HandleAnswer(o, answer)
	p.notifyLocked()
}
