// Package formation decides which engines form which replicas of which model.
//
// The planner does no I/O: each step takes the time, what engines report and what gateways
// observe, and returns orders. Reports from engines are authoritative. An order that got no
// answer may still be carried out seconds later. An epoch consists of the leader's term and a
// counter, so that epochs rise and an engine can refuse an order that is older than one that it
// has seen.
//
// A member of a replica is used elsewhere only once the replica's head has left the replica or is
// known to be gone. If the head can't be reached, the other members are used once all of them that
// can be reached have left: without them the head makes no progress.
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
	// resendInterval is how long the planner waits for a report of an order's effect before it
	// sends the order again. Engines report a change at once.
	resendInterval = 700 * time.Millisecond
	// resendIntervalUnanswered applies instead to an order that got no answer. Engines answer
	// within milliseconds, and orders are idempotent.
	resendIntervalUnanswered = 150 * time.Millisecond
	// adoptTimeout is how long a new leader waits for the reports of a replica's members before
	// it gives up an incomplete replica: the time of two announcements.
	adoptTimeout = 2500 * time.Millisecond
	// formingMargin is the time that a replica may take to form in addition to its loads.
	formingMargin = 5 * time.Second
	// loadingMargin is a further margin while members are loading: concurrent loads slow each
	// other down.
	loadingMargin = 20 * time.Second
	// drainTimeout bounds the wait until a closing head has finished its requests.
	drainTimeout = 2500 * time.Millisecond
	// endedRetention is how long a replica is remembered after it was dropped. A late order may
	// cause a report of it.
	endedRetention = 2 * time.Minute
	// joinTime is how long an engine takes to join a replica of a model that it holds.
	joinTime = 200 * time.Millisecond
	// epochCounterBits is the number of low bits of an epoch that count the replicas of a term.
	epochCounterBits = 20
)

// Planner forms replicas. The zero value is ready to use. It is not safe for concurrent use.
type Planner struct {
	replicas map[string]*replica
	counter  uint64
	limiter  loadLimiter
	// sent holds the last sending of each order, by orderKey.
	sent map[string]sentOrder
	// ended holds the replicas that are no longer tracked, by name.
	ended map[string]endedReplica
	// freeSets holds the free engines of each fabric domain and when they last changed.
	freeSets map[string]freeSet
	// lastRegroup is when replicas of each fabric domain were last closed for a regrouping.
	lastRegroup map[string]time.Time
	// lastRegroupCheck is when a regrouping was last considered in each fabric domain.
	lastRegroupCheck map[string]time.Time
	// loading holds the loads that are under way.
	loading map[roster.Incarnation]runningLoad
	// history holds what is remembered of each incarnation of an engine.
	history map[roster.Incarnation]engineHistory
	// lastArrival is when the last new engine arrived in each fabric domain.
	lastArrival map[string]time.Time
	// unanswered holds the replicas that late orders may open again. blockedHeads holds the heads
	// that are not used because of that.
	unanswered   map[ReplicaRef]unansweredOrders
	blockedHeads map[roster.Incarnation]ReplicaRef
	// evacuated holds the fabric domains with engines in evacuated failure domains. withdrawnAt is when the last evacuation in a fabric
	// domain was withdrawn.
	evacuated   map[string]bool
	withdrawnAt map[string]time.Time

	now       time.Time
	view      View
	hosts     map[string]Host
	orders    []Order
	decisions []Decision
}

// engineHistory is what the planner remembers of one incarnation of an engine.
type engineHistory struct {
	// arrivalSeen is true once the engine has been counted as an arrival in its fabric domain.
	arrivalSeen bool
	// lastModel is the model that the engine last reported to hold.
	lastModel string
	// highestJoin is the highest epoch of the joins that were sent to it.
	highestJoin uint64
	// standby is the standby replica that it was assigned. An epoch of 0 means none.
	standby ReplicaRef
}

// freeSet is a set of free engines and the time since when it has been unchanged.
type freeSet struct {
	ids   string
	since time.Time
}

// Decision is a decision that is worth logging.
type Decision struct {
	ReplicaRef
	Model   string
	Members []string
	Phase   string
	Reason  string
}

// Step returns the orders to send now, and the decisions behind them. Decisions made while the
// answers to orders came in are included.
func (p *Planner) Step(now time.Time, v View) ([]Order, []Decision) {
	p.beginStep(now, v)
	p.adoptReported()
	for _, name := range slices.Sorted(maps.Keys(p.replicas)) {
		p.advance(p.replicas[name])
	}
	p.formReplicas()
	p.stageModels()
	decisions := p.decisions
	p.decisions = nil // Answers to the orders add decisions for the next step.
	return p.orders, decisions
}

func (p *Planner) beginStep(now time.Time, v View) {
	if p.replicas == nil {
		p.replicas, p.sent, p.history = map[string]*replica{}, map[string]sentOrder{}, map[roster.Incarnation]engineHistory{}
		p.ended, p.freeSets = map[string]endedReplica{}, map[string]freeSet{}
		p.loading, p.lastArrival = map[roster.Incarnation]runningLoad{}, map[string]time.Time{}
		p.lastRegroup, p.lastRegroupCheck = map[string]time.Time{}, map[string]time.Time{}
		p.withdrawnAt = map[string]time.Time{}
		p.unanswered, p.blockedHeads = map[ReplicaRef]unansweredOrders{}, map[roster.Incarnation]ReplicaRef{}
	}
	p.now, p.view, p.orders = now, v, nil
	p.hosts = make(map[string]Host, len(v.Hosts))
	for _, h := range v.Hosts {
		p.hosts[h.ID] = h
	}
	p.updateHistory()
	p.trackEvacuations()
	p.limiter.rate = v.Engine.LoadRate
	p.dropFinishedLoads()
	p.markReopened()
	p.expireUnanswered()
	for name, e := range p.ended {
		if now.Sub(e.at) > endedRetention {
			delete(p.ended, name)
		}
	}
	for text, last := range p.sent {
		if now.Sub(last.at) > time.Minute {
			delete(p.sent, text)
		}
	}
}

// updateHistory updates the history of the engines' current incarnations and forgets the others.
func (p *Planner) updateHistory() {
	for _, h := range p.view.Hosts {
		hist := p.history[h.Incarnation()]
		if h.Alive && p.reportedSinceLead(h) && !hist.arrivalSeen {
			hist.arrivalSeen = true
			p.lastArrival[h.Fabric] = p.now
		}
		if h.Model != "" {
			hist.lastModel = h.Model
		}
		p.history[h.Incarnation()] = hist
	}
	for inc := range p.history {
		if p.hosts[inc.ID].Incarnation() != inc {
			delete(p.history, inc)
		}
	}
}

func (p *Planner) modelOf(h Host) string {
	if h.Model != "" {
		return h.Model
	}
	return p.history[h.Incarnation()].lastModel
}

// nextRef names a new replica MODEL.TERM.COUNT, so that a later leader can tell the model from
// the name that the members report.
func (p *Planner) nextRef(model string) ReplicaRef {
	p.counter++
	epoch := p.view.Term<<epochCounterBits | p.counter
	return ReplicaRef{Replica: fmt.Sprintf("%s.%d.%d", model, p.view.Term, p.counter), Epoch: epoch}
}

// modelOfReplica returns the model of a replica name made by nextRef, or "" for other names.
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
