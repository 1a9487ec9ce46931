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

// scheduler holds the state by which admission, routing, retries and quotas are decided. One mutex
// guards all of it: decisions take microseconds, so one mutex is cheaper than keeping separately
// locked parts consistent.
type scheduler struct {
	mu       sync.Mutex
	fleet    *config.Fleet
	view     view.View
	rng      *rand.Rand
	router   *routing.Router
	services *routing.Services
	budget   *retry.Budget
	suspects *suspicion.Tracker
	observer suspicion.Observer
	quota    *admission.Quota
	queues   map[string]*modelQueue
	limiters map[replica.ID]*admission.Limiter
	// evacuated returns the evacuated failure domains that this entry knows of. Nil is none.
	evacuated func() view.Evacuated
	// loggedEvacuation is the revision of the set that was logged last.
	loggedEvacuation uint64
	// revocableAttempts are the attempts in flight that may be revoked.
	revocableAttempts map[routing.AttemptID]revocableAttempt
	attemptsInFlight  int
	// demand is the latest measurement of the teams' demand, and demandSince when the next one began.
	demand      map[string]float64
	demandSince time.Time
}

// minDemandInterval is the shortest time over which demand is measured. Renewals may follow each other at once, for example after a
// change of the configuration, and one request in a millisecond is not a demand of a thousand a second.
const minDemandInterval = 250 * time.Millisecond

func newScheduler(rng *rand.Rand) *scheduler {
	return &scheduler{
		rng: rng, router: routing.New(rng, routing.Policy{}), services: routing.NewServices(rng),
		budget: retry.New(rng, retry.Policy{}), suspects: suspicion.New(), quota: admission.NewQuota(),
		queues: map[string]*modelQueue{}, limiters: map[replica.ID]*admission.Limiter{},
		revocableAttempts: map[routing.AttemptID]revocableAttempt{},
	}
}

// Decide implements execution.Retrier.
func (sched *scheduler) Decide(now time.Time, f retry.Failure) retry.Decision {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	return sched.budget.Decide(now, f)
}

func (sched *scheduler) fleetConfig() *config.Fleet {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	return sched.fleet
}

func (sched *scheduler) setFleet(_ view.Revision, fleet *config.Fleet) {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	if sched.fleet == nil || sched.fleet.Defaults.Retry != fleet.Defaults.Retry {
		sched.budget = retry.New(sched.rng, retryPolicy(fleet.Defaults.Retry))
	}
	sched.fleet = fleet
	limits := map[team.ID]admission.Limits{}
	for _, t := range fleet.Teams {
		l := fleet.ForTeam(t.Name).Limits
		limits[t.Name] = admission.Limits{
			RequestsPerSecond: l.RequestsPerSecond, TokensPerSecond: l.TokensPerSecond, Concurrency: l.Concurrency,
		}
	}
	sched.quota.SetLimits(limits)
	for _, q := range sched.queues {
		q.queue.SetWeights(weights(fleet))
	}
	sched.refuseRestricted()
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

func (sched *scheduler) setShares(now time.Time, shares map[string]float64) {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	sched.quota.SetShares(now, shares)
}

// holdsShares reports whether this entry may use any part of the teams' limits.
func (sched *scheduler) holdsShares() bool {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	return sched.fleet != nil && (len(sched.fleet.Teams) == 0 || len(sched.quota.Shares()) > 0)
}

func (sched *scheduler) dropShares() {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	sched.quota.DropShares()
}

func (sched *scheduler) renewal(now time.Time) message.Renewal {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	if elapsed := now.Sub(sched.demandSince); elapsed >= minDemandInterval {
		sched.demand, sched.demandSince = sched.quota.Demand(elapsed), now
	}
	r := message.Renewal{EngineHealthy: true, Demand: sched.demand, Shares: sched.quota.Shares()}
	if evidence := sched.observer.Report(now); !evidence.IsEmpty() {
		r.Evidence = &evidence
	}
	return r
}

// applyView applies a view, unless the current one is at least as new.
func (sched *scheduler) applyView(now time.Time, m *message.ViewPush) {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	if !m.View.Newer(sched.view) {
		return
	}
	if m.Delta {
		sched.view = sched.view.Merge(m.View, m.Removed)
	} else {
		sched.view = m.View
	}
	sched.router.SetView(now, sched.view)
	sched.services.SetView(sched.view)
	sched.suspects.SetView(now, sched.view.Quarantine)
	sched.revokeSuspects(now)
	sched.setSlots(now)
	sched.refuseRestricted()
}

// setSlots sets the slots of each queue to the sum of the concurrency limits of the
// replicas that serve its model.
func (sched *scheduler) setSlots(now time.Time) {
	slots := map[string]int{}
	restriction := routing.Restriction{Evacuated: sched.evacuatedDomains()}
	live := map[replica.ID]bool{}
	for _, route := range sched.view.Routes {
		if route.Replica.State != replica.StateServing {
			continue
		}
		live[route.Replica.ID] = true
		if !restriction.AllowsRoute(&route) {
			continue
		}
		limit := sched.limiter(route).Limit()
		sched.router.SetLimit(route.Replica.ID, limit)
		slots[route.Replica.Spec.Model] += limit
	}
	for id := range sched.limiters {
		if !live[id] {
			delete(sched.limiters, id)
		}
	}
	for model, q := range sched.queues {
		q.queue.SetSlots(slots[model])
		q.processQueue(now)
	}
}

func (sched *scheduler) limiter(route view.Route) *admission.Limiter {
	l := sched.limiters[route.Replica.ID]
	if l == nil {
		l = admission.NewLimiter(max(route.Load.Capacity, 1))
		sched.limiters[route.Replica.ID] = l
	}
	return l
}

func (sched *scheduler) countAttemptsInFlight() int {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	return sched.attemptsInFlight
}

func (sched *scheduler) countWaiting() int {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	n := 0
	for _, q := range sched.queues {
		n += q.queue.Waiting()
	}
	return n
}
