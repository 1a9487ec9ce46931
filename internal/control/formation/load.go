package formation

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/routes"
)

// loadBurst is how many loads may start at one moment: the members of one replica of
// common size beside a spare or two.
const loadBurst = 6

// loadLimit keeps the starts of loads from the weight store below a rate. The zero value
// with a rate is full.
type loadLimit struct {
	// rate is loads a second.
	rate float64
	// spent is how many loads are ahead of the rate, as of at.
	spent float64
	at    time.Time
}

func (l *loadLimit) settle(now time.Time) {
	l.spent = max(0, l.spent-l.rate*now.Sub(l.at).Seconds())
	l.at = now
}

// room reports whether n loads may start now. More than the burst may start at once
// only when none has started for a while.
func (l *loadLimit) room(now time.Time, n int) bool {
	l.settle(now)
	return l.spent == 0 || l.spent+float64(n) <= loadBurst
}

// take counts n starts.
func (l *loadLimit) take(now time.Time, n int) {
	l.settle(now)
	l.spent += float64(n)
}

// fewLoads is a number of loads that may start beside others even where those take up the
// store: they slow them a little, and often complete a replica.
const fewLoads = 2

// load is one load that is under way.
type load struct {
	model string
	began time.Time
	// until is when it counts as failed.
	until time.Time
}

// mayLoad reports whether n more loads may start. While no caller has come loads are quick
// and not limited.
func (p *Planner) mayLoad(n int) bool {
	if !p.view.Started {
		return true
	}
	atOnce := p.view.Engine.LoadsAtOnce
	busy := len(p.loading)
	if n <= fewLoads {
		busy = max(0, busy-fewLoads)
	}
	return p.loads.room(p.now, n) && (atOnce <= 0 || busy == 0 || busy+n <= atOnce)
}

// load counts the start of a load.
func (p *Planner) load(h Host, m routes.Model) {
	if p.view.Started {
		p.loads.take(p.now, 1)
	}
	p.loading[h.Life()] = load{m.Name, p.now, p.now.Add(m.Load + loadingMargin)}
}

// loadLeft is how long an engine's host will take to hold a model that it does not hold yet.
func (p *Planner) loadLeft(h Host, m routes.Model) time.Duration {
	under, loading := p.loading[h.Life()]
	if !loading || under.model != m.Name {
		return m.Load
	}
	return max(0, m.Load-p.now.Sub(under.began))
}

// loaded forgets the loads that are over.
func (p *Planner) loaded() {
	for l, under := range p.loading {
		h, known := p.hosts[l.ID]
		if !known || !h.Alive || h.Born != l.Born || h.staged(under.model) || p.now.After(under.until) {
			delete(p.loading, l)
		}
	}
}

// unload forgets the load of a host whose order was lost.
func (p *Planner) unload(id string) {
	for l := range p.loading {
		if l.ID == id {
			delete(p.loading, l)
		}
	}
}
