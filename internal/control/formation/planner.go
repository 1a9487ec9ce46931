// Package formation decides which engines form which replicas of which model.
//
// The planner is pure: what engines report and gateways see goes in with the time, and
// orders come out. What engines report is the truth; an order that got no answer may
// still be carried out seconds later. Epochs rise with the leader's term and a counter,
// so an engine refuses what is older than what it has seen.
//
// A member of a replica is used elsewhere only once the replica's head has left it, is
// known to be gone, or has had the time to break.
package formation

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/roster"
)

// Timing of orders.
const (
	// resendAfter is how long an order may go unanswered by a report before it is given
	// again. Reports follow a change at once.
	resendAfter = 700 * time.Millisecond
	// resendUnanswered is the same for an order without an answer: engines answer within
	// milliseconds, and repeating an order is harmless.
	resendUnanswered = 150 * time.Millisecond
	// adoptTime is how long a new leader waits for the reports of a replica's members
	// before it takes an incomplete one apart: two announcements.
	adoptTime = 2500 * time.Millisecond
	// formingMargin is what a replica may take to form beyond the time of its loads.
	formingMargin = 5 * time.Second
	// loadingMargin is what it may take beyond that while members are loading: loads that
	// run at the same time slow each other down.
	loadingMargin = 20 * time.Second
	// drainTime bounds the wait for a closing head's last answers.
	drainTime = 2500 * time.Millisecond
	// endedLife is how long a replica that was given up is remembered: an order that came
	// late may bring a report of it.
	endedLife = 2 * time.Minute
	// joinTime is how long an engine takes to join a replica of the model that it holds.
	joinTime = 200 * time.Millisecond
	// counterBits is the part of an epoch that counts within a term.
	counterBits = 20
)

// Planner forms replicas. The zero value is ready. It is not safe for concurrent use.
type Planner struct {
	units   map[string]*unit
	counter uint64
	loads   loadLimit
	// sent tells of the last time that each order was given, by its text.
	sent map[string]sending
	// ended holds the replicas that were given up.
	ended map[string]ending
	// settled tells when the free engines of each fabric domain last changed.
	settled map[string]settled
	// exchanged is when a replica of each fabric domain was last closed for an exchange.
	exchanged map[string]time.Time
	// looked is when such a closing was last considered.
	looked map[string]time.Time
	// loading are the loads that are under way.
	loading map[roster.Life]load
	// past is what is remembered of each engine's life.
	past map[roster.Life]past
	// arrived is when the last new engine came to each fabric domain.
	arrived map[string]time.Time
	// doubts tells which places may be opened again by orders that come late, and resting
	// which heads are not used because of that.
	doubts  map[Place]doubt
	resting map[roster.Life]Place

	now    time.Time
	view   View
	hosts  map[string]Host
	orders []Order
	notes  []Note
}

// past is what the planner remembers of an engine's life.
type past struct {
	// arrived says that the engine has counted as new in its fabric domain.
	arrived bool
	// held is the model of its last replica.
	held string
	// joined is the highest epoch of the joins that it was given.
	joined uint64
	// standby is the standby place that it was given, if its epoch is set.
	standby Place
}

// settled is a set of engines and since when it has been the same.
type settled struct {
	names string
	since time.Time
}

// Note is a decision worth a log line.
type Note struct {
	Place
	Model   string
	Members []string
	What    string
	Reason  string
}

// Step returns the orders to give now, and the decisions behind them.
func (p *Planner) Step(now time.Time, v View) ([]Order, []Note) {
	p.begin(now, v)
	p.adopt()
	for _, name := range slices.Sorted(maps.Keys(p.units)) {
		p.advance(p.units[name])
	}
	p.form()
	p.stage()
	notes := p.notes
	p.notes = nil // Answers to orders add to the next step's.
	return p.orders, notes
}

func (p *Planner) begin(now time.Time, v View) {
	if p.units == nil {
		p.units, p.sent, p.past = map[string]*unit{}, map[string]sending{}, map[roster.Life]past{}
		p.ended, p.settled = map[string]ending{}, map[string]settled{}
		p.loading, p.arrived = map[roster.Life]load{}, map[string]time.Time{}
		p.exchanged, p.looked = map[string]time.Time{}, map[string]time.Time{}
		p.doubts, p.resting = map[Place]doubt{}, map[roster.Life]Place{}
	}
	p.now, p.view, p.orders = now, v, nil
	p.hosts = make(map[string]Host, len(v.Hosts))
	for _, h := range v.Hosts {
		p.hosts[h.ID] = h
	}
	p.remember()
	p.loads.rate = v.Engine.LoadRate
	p.loaded()
	p.reopened()
	p.forgetDoubts()
	for name, e := range p.ended {
		if now.Sub(e.at) > endedLife {
			delete(p.ended, name)
		}
	}
	for text, last := range p.sent {
		if now.Sub(last.at) > time.Minute {
			delete(p.sent, text)
		}
	}
}

// remember takes note of the engines' present lives and forgets the others.
func (p *Planner) remember() {
	for _, h := range p.view.Hosts {
		memory := p.past[h.Life()]
		if h.Alive && p.informed(h) && !memory.arrived {
			memory.arrived = true
			p.arrived[h.Fabric] = p.now
		}
		if h.Model != "" {
			memory.held = h.Model
		}
		p.past[h.Life()] = memory
	}
	for l := range p.past {
		if p.hosts[l.ID].Life() != l {
			delete(p.past, l)
		}
	}
}

func (p *Planner) modelOf(h Host) string {
	if h.Model != "" {
		return h.Model
	}
	return p.past[h.Life()].held
}

// nextPlace names a new replica: MODEL.TERM.COUNT, so that a later leader knows the model
// from the name that the members report.
func (p *Planner) nextPlace(model string) Place {
	p.counter++
	epoch := p.view.Term<<counterBits | p.counter
	return Place{Replica: fmt.Sprintf("%s.%d.%d", model, p.view.Term, p.counter), Epoch: epoch}
}

// modelOfReplica returns the model in a name of nextPlace, or nothing.
func modelOfReplica(name string) string {
	for range 2 {
		at := strings.LastIndexByte(name, '.')
		if at < 0 {
			return ""
		}
		name = name[:at]
	}
	return name
}

func byID(a, b Host) int { return strings.Compare(a.ID, b.ID) }
