package formation

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/routes"
)

// loadBurst is how many loads may start at once: the members of a replica of common size and one
// or two spares.
const loadBurst = 6

// loadLimiter is a leaky bucket that limits the rate at which loads from the weight store start.
// The zero value with a rate allows a full burst.
type loadLimiter struct {
	// rate is in loads per second.
	rate float64
	// level is the number of loads that were started ahead of the rate, as of at.
	level float64
	at    time.Time
}

func (l *loadLimiter) decay(now time.Time) {
	l.level = max(0, l.level-l.rate*now.Sub(l.at).Seconds())
	l.at = now
}

// allow reports whether n loads may start now. More than loadBurst may start at once only if the
// bucket is empty.
func (l *loadLimiter) allow(now time.Time, n int) bool {
	l.decay(now)
	return l.level == 0 || l.level+float64(n) <= loadBurst
}

// add counts n started loads.
func (l *loadLimiter) add(now time.Time, n int) {
	l.decay(now)
	l.level += float64(n)
}

// extraLoads is the number of loads that may start even if other loads use up the capacity of the
// weight store. They slow the others down a little, and often complete a replica.
const extraLoads = 2

// runningLoad is a load from the weight store that is under way.
type runningLoad struct {
	model     string
	startedAt time.Time
	// deadline is when the load counts as failed.
	deadline time.Time
}

// mayLoad reports whether n more loads may start. Before the first caller's request loads are
// quick and not limited.
func (p *Planner) mayLoad(n int) bool {
	if !p.view.TrafficStarted {
		return true
	}
	limit := p.view.Engine.MaxConcurrentLoads
	busy := len(p.loading)
	if n <= extraLoads {
		busy = max(0, busy-extraLoads)
	}
	return p.limiter.allow(p.now, n) && (limit <= 0 || busy == 0 || busy+n <= limit)
}

// recordLoad records the start of a load.
func (p *Planner) recordLoad(h Host, m routes.Model) {
	if p.view.TrafficStarted {
		p.limiter.add(p.now, 1)
	}
	p.loading[h.Incarnation()] = runningLoad{m.Name, p.now, p.now.Add(m.LoadTime + loadingMargin)}
}

// remainingLoad returns how long an engine's host will take to hold a model that it does not hold
// yet.
func (p *Planner) remainingLoad(h Host, m routes.Model) time.Duration {
	running, loading := p.loading[h.Incarnation()]
	if !loading || running.model != m.Name {
		return m.LoadTime
	}
	return max(0, m.LoadTime-p.now.Sub(running.startedAt))
}

// dropFinishedLoads forgets the loads that have ended, have timed out, or whose engine has died
// or restarted.
func (p *Planner) dropFinishedLoads() {
	for inc, running := range p.loading {
		h, known := p.hosts[inc.ID]
		if !known || !h.Alive || h.StartedMs != inc.StartedMs || h.hasStaged(running.model) || p.now.After(running.deadline) {
			delete(p.loading, inc)
		}
	}
}

// dropLoad forgets the load of a host whose order failed.
func (p *Planner) dropLoad(id string) {
	for inc := range p.loading {
		if inc.ID == id {
			delete(p.loading, inc)
		}
	}
}
