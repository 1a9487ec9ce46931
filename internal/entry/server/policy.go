package server

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/egretreach/egretreach/internal/entry/admission"
	"github.com/egretreach/egretreach/internal/entry/retry"
	"github.com/egretreach/egretreach/internal/entry/routing"
	"github.com/egretreach/egretreach/internal/entry/suspicion"
	"github.com/egretreach/egretreach/internal/fleet/config"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/fleet/team"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
)

// policy holds the entry's decision state under one mutex: the decisions take
// microseconds, so that sharing it is cheaper than keeping its parts in step.
type policy struct {
	mu       sync.Mutex
	fleet    *config.Fleet
	view     view.View
	rng      *rand.Rand
	router   *routing.Router
	services *routing.Services
	budget   *retry.Budget
	tracker  *suspicion.Tracker
	quota    *admission.Quota
	lanes    map[string]*lane
	limiters map[replica.ID]*admission.Limiter
	// revocable are the attempts in flight that may be broken off.
	revocable map[routing.AttemptID]revocable
	flights   int
	renewed   time.Time
}

func newPolicy(rng *rand.Rand) *policy {
	return &policy{
		rng: rng, router: routing.New(rng, routing.Policy{}), services: routing.NewServices(rng),
		budget: retry.New(rng, retry.Policy{}), tracker: suspicion.New(), quota: admission.NewQuota(),
		lanes: map[string]*lane{}, limiters: map[replica.ID]*admission.Limiter{},
		revocable: map[routing.AttemptID]revocable{},
	}
}

// Decide implements execution.Retrier.
func (p *policy) Decide(now time.Time, f retry.Failure) retry.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Decide(now, f)
}

func (p *policy) config() *config.Fleet {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fleet
}

func (p *policy) setFleet(_ view.Revision, fleet *config.Fleet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fleet == nil || p.fleet.Defaults.Retry != fleet.Defaults.Retry {
		p.budget = retry.New(p.rng, retryPolicy(fleet.Defaults.Retry))
	}
	p.fleet = fleet
	limits := map[team.ID]admission.Limits{}
	for _, t := range fleet.Teams {
		l := fleet.ForTeam(t.Name).Limits
		limits[t.Name] = admission.Limits{
			RequestsPerSecond: l.RequestsPerSecond, TokensPerSecond: l.TokensPerSecond, Concurrency: l.Concurrency,
		}
	}
	p.quota.SetLimits(limits)
	for _, l := range p.lanes {
		l.queue.SetWeights(weights(fleet))
	}
}

func retryPolicy(r config.Retry) retry.Policy {
	return retry.Policy{
		TokenRatio: r.Budget, BaseBackoff: r.MinBackoff, MaxBackoff: r.MaxBackoff, MaxAttempts: request.Attempt(r.MaxAttempts),
	}
}

func weights(fleet *config.Fleet) admission.Weights {
	w := admission.Weights{Teams: map[team.ID]float64{}, Classes: map[team.Class]float64{}}
	for _, t := range fleet.Teams {
		w.Teams[t.Name] = t.Weight
	}
	for _, c := range fleet.Classes {
		w.Classes[c.Name] = float64(max(c.Priority, 1))
	}
	return w
}

func (p *policy) setShares(now time.Time, shares map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.quota.SetShares(now, shares)
}

// holdsShares reports whether this entry may use any part of the teams' limits.
func (p *policy) holdsShares() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fleet != nil && (len(p.fleet.Teams) == 0 || len(p.quota.Shares()) > 0)
}

func (p *policy) dropShares() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.quota.DropShares()
}

func (p *policy) renewal(now time.Time) message.Renewal {
	p.mu.Lock()
	defer p.mu.Unlock()
	elapsed := now.Sub(p.renewed)
	p.renewed = now
	return message.Renewal{EngineHealthy: true, Demand: p.quota.Demand(elapsed), Shares: p.quota.Shares()}
}

// push takes a view, unless a newer one is here already.
func (p *policy) push(now time.Time, m *message.ViewPush) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !m.View.Newer(p.view) {
		return
	}
	if m.Delta {
		p.view = p.view.Merge(m.View, m.Removed)
	} else {
		p.view = m.View
	}
	p.router.SetView(now, p.view)
	p.services.SetView(p.view)
	p.tracker.SetView(now, p.view.Quarantine)
	p.revokeSuspects(now)
	p.setSlots(now)
}

// setSlots gives each lane the concurrency that its serving replicas allow.
func (p *policy) setSlots(now time.Time) {
	slots := map[string]int{}
	live := map[replica.ID]bool{}
	for _, route := range p.view.Routes {
		if route.Replica.State != replica.StateServing {
			continue
		}
		live[route.Replica.ID] = true
		limit := p.limiter(route).Limit()
		p.router.SetLimit(route.Replica.ID, limit)
		slots[route.Replica.Spec.Model] += limit
	}
	for id := range p.limiters {
		if !live[id] {
			delete(p.limiters, id)
		}
	}
	for model, l := range p.lanes {
		l.queue.SetSlots(slots[model])
		l.settle(now)
	}
}

func (p *policy) limiter(route view.Route) *admission.Limiter {
	l := p.limiters[route.Replica.ID]
	if l == nil {
		l = admission.NewLimiter(max(route.Load.Capacity, 1))
		p.limiters[route.Replica.ID] = l
	}
	return l
}

func (p *policy) running() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.flights
}

func (p *policy) waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, l := range p.lanes {
		n += l.queue.Waiting()
	}
	return n
}
