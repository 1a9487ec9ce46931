package portal

import (
	"context"
	"time"

	"github.com/egretreach/egretreach/internal/control/formation"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/fleet/routes"
	"github.com/egretreach/egretreach/internal/process/pause"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	// stewardEvery is the pace of the planner when nothing changes.
	stewardEvery = 50 * time.Millisecond
	// stewardGap is the least time between two steps.
	stewardGap = 10 * time.Millisecond
	// settleTime is how long a new leader listens before it plans, unless the whole
	// system is new: the time in which every endpoint announces itself.
	settleTime = 1500 * time.Millisecond
	// sureTime is how long a leader plans on its last proof that it leads: one that stood
	// still must prove it again before it gives an order.
	sureTime = 300 * time.Millisecond
	// orderTimeout bounds the wait for an engine's answer to an order.
	orderTimeout = 200 * time.Millisecond
)

// steward forms replicas while this host leads.
func (p *Portal) steward(ctx context.Context) error {
	var planners map[string]*formation.Planner
	var term uint64
	var began, sure time.Time
	for pause.For(ctx, stewardGap) {
		p.forget(time.Now())
		changed := p.change()
		l := p.current()
		if l == nil || !l.Status().IsLeader() {
			planners = nil
		} else {
			now := time.Now()
			if status := l.Status(); planners == nil || status.Term != term {
				planners, term, began = map[string]*formation.Planner{}, status.Term, now
				event.LeaderStarted.On(p.opts.Logger).Uint64("term", term).Msg("")
			}
			if now.Sub(sure) > sureTime && l.Barrier(ctx) == nil {
				sure = now
			}
			if (p.opts.FirstStart || now.Sub(began) > settleTime) && now.Sub(sure) <= sureTime {
				p.plan(ctx, lead{term, began}, planners, now)
			}
		}
		timer := time.NewTimer(stewardEvery)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
	return nil
}

// forget drops the endpoints that left or fell silent long ago, and what probes found of them.
func (p *Portal) forget(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range p.roster.Forget(now, forgetSilence) {
		delete(p.health, id)
		delete(p.direct, id)
		delete(p.spoke, id)
	}
}

// lead is one host's time as the leader.
type lead struct {
	term  uint64
	since time.Time
}

// plan lets the planner of each engine service take a step and gives its orders.
func (p *Portal) plan(ctx context.Context, led lead, planners map[string]*formation.Planner, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table == nil {
		return
	}
	sights := p.sights(now)
	p.watchServices(ctx, now)
	for _, fingerprint := range p.strikes.settle(now, p.died) {
		event.RequestHeldBack.On(p.opts.Logger).Uint64("fingerprint", fingerprint).Int("endpoints", strikesOut).Msg("")
		p.notifyLocked()
	}
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
		p.planService(ctx, led, planner, service, now, sights)
	}
}

func (p *Portal) planService(
	ctx context.Context, led lead, planner *formation.Planner, service *routes.Service, now time.Time,
	sights map[string]formation.HeadReport,
) {
	demand := p.demand.replicas(now)
	orders, notes := planner.Step(now, formation.View{
		Engine: service.Engine, Hosts: p.hosts(ctx, service.Name, now, p.suspects(sights)), Heads: sights,
		Demand:         demand,
		TrafficStarted: p.requests || !p.opts.FirstStart, Term: led.term, LeaderSince: led.since,
	})
	for _, n := range notes {
		event.ReplicaDecided.On(p.opts.Logger).Str("replica", n.Replica).Uint64("epoch", n.Epoch).Str("model", n.Model).
			Strs("members", n.Members).Str("phase", n.Phase).Float64("demand", demand[n.Model]).Str("reason", n.Reason).Msg("")
	}
	for _, o := range orders {
		to, ok := p.endpointAt(o.Host())
		if !ok {
			continue
		}
		go p.give(ctx, planner, to, o)
	}
}

// died reports whether a life of an endpoint has ended; mu is held.
func (p *Portal) died(l roster.Incarnation) bool {
	e, known := p.roster.Get(l.ID)
	return !known || e.StartedMs != l.StartedMs || p.health[l.ID].dead
}

// suspects are the members of replicas whose heads stand still; mu is held.
func (p *Portal) suspects(sights map[string]formation.HeadReport) map[string]bool {
	silent := map[string]bool{}
	for id, sight := range sights {
		if sight.Waiting == 0 || sight.SinceLastData < silentHead {
			continue
		}
		if head, ok := p.endpointAt(id); ok && head.Member != nil {
			silent[head.Member.Replica] = true
		}
	}
	if len(silent) == 0 {
		return nil
	}
	suspects := map[string]bool{}
	for _, e := range p.roster.All() {
		if e.Member != nil && silent[e.Member.Replica] {
			suspects[e.ID] = true
		}
	}
	return suspects
}

// give gives one order and tells the planner what became of it.
func (p *Portal) give(ctx context.Context, planner *formation.Planner, to roster.Endpoint, o formation.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	began := time.Now()
	answer := p.opts.Engines.SendOrder(ctx, to, o)
	p.meters.orders.Inc(1)
	if answer == formation.AnswerNone {
		p.meters.unanswered.Inc(1)
	}
	event.EngineOrdered.On(p.opts.Logger).Str("endpoint", to.ID).Any("order", o).Uint8("answer", uint8(answer)).
		Dur("took", time.Since(began)).Msg("")
	p.mu.Lock()
	defer p.mu.Unlock()
	planner.HandleAnswer(o, answer)
	p.notifyLocked()
}
