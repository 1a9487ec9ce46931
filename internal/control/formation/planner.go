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

type phase uint8

const (
	phaseForming phase = iota + 1
	phaseServing
	// phaseClosing waits for the head to finish before a planned end.
	phaseClosing
	// phaseLeaving waits until the head is out.
	phaseLeaving
)

// unit is one replica as the planner remembers it.
type unit struct {
	Place
	model   string
	members []string
	fabric  string
	phase   phase
	// began is when the phase began, and limit when forming has taken too long.
	began  time.Time
	limit  time.Time
	reason string
	// late says that a member of an earlier leader's replica came to it after it was
	// adopted: joins come late, and one of a later replica may be on its way too.
	late bool
}

func (u *unit) head() string { return u.members[0] }

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
	loading map[life]load
	// lives are the engines' lives that are known, and arrived when the last new one came
	// to each fabric domain.
	lives   map[life]bool
	arrived map[string]time.Time
	// held is the model of each engine's last replica, by the engine's life.
	held map[life]string
	// doubts tells which places may be opened again by orders that come late, and resting
	// which heads are not used because of that.
	doubts  map[Place]doubt
	resting map[life]Place
	// joined is the highest epoch of the joins that were given to each engine.
	joined map[life]uint64
	// standby is the standby place of each spare that was given one.
	standby map[life]Place

	now    time.Time
	view   View
	hosts  map[string]Host
	orders []Order
	notes  []Note
}

// ending is how a replica was given up.
type ending struct {
	at time.Time
	// clean says that its head is out of it, so that members that still report it may be
	// used at once.
	clean bool
}

// settled is a set of engines and since when it has been the same.
type settled struct {
	names string
	since time.Time
}

type life struct {
	id   string
	born int64
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
		p.units, p.sent, p.held = map[string]*unit{}, map[string]sending{}, map[life]string{}
		p.ended, p.settled = map[string]ending{}, map[string]settled{}
		p.lives, p.arrived = map[life]bool{}, map[string]time.Time{}
		p.loading = map[life]load{}
		p.exchanged, p.looked = map[string]time.Time{}, map[string]time.Time{}
		p.standby, p.joined = map[life]Place{}, map[life]uint64{}
		p.doubts, p.resting = map[Place]doubt{}, map[life]Place{}
	}
	p.now, p.view, p.orders = now, v, nil
	p.hosts = make(map[string]Host, len(v.Hosts))
	for _, h := range v.Hosts {
		p.hosts[h.ID] = h
		if l := (life{h.ID, h.Born}); h.Alive && p.informed(h) && !p.lives[l] {
			p.lives[l] = true
			p.arrived[h.Fabric] = now
		}
		if h.Model != "" {
			p.held[life{h.ID, h.Born}] = h.Model
		}
	}
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

// adopt takes up replicas that engines report and the planner does not know: those of an
// earlier leader, or of an order that came late.
func (p *Planner) adopt() {
	for _, h := range p.view.Hosts {
		if h.Member == nil || !h.Alive {
			continue
		}
		_, known := p.units[h.Member.Replica]
		_, over := p.ended[h.Member.Replica]
		if known || over || p.placed(h) {
			continue
		}
		model, ok := p.view.Engine.Model(modelOfReplica(h.Member.Replica))
		if !ok {
			continue // Not one that a planner formed; its members are told to leave.
		}
		u := &unit{
			Place: Place{h.Member.Replica, h.Member.Epoch}, model: model.Name, fabric: h.Fabric,
			members: make([]string, model.Size), phase: phaseForming, began: p.now, limit: p.now.Add(adoptTime),
		}
		p.units[u.Replica] = u
		p.note(u, "adopted", "reported by "+h.ID)
	}
	for _, h := range p.view.Hosts {
		if h.Member == nil {
			continue
		}
		u := p.units[h.Member.Replica]
		if u != nil && h.in(u.Place) && h.Member.Rank < len(u.members) && u.members[h.Member.Rank] == "" && !p.calledAway(h, u) {
			u.members[h.Member.Rank] = h.ID
			u.late = u.late || u.began.Before(p.now)
		}
	}
}

// calledAway reports whether an engine was told to join a later replica than u. The order
// may still come to it, even if that replica was given up.
func (p *Planner) calledAway(h Host, u *unit) bool { return p.joined[life{h.ID, h.Born}] > u.Epoch }

// placed reports whether the engine belongs to a replica that the planner knows.
func (p *Planner) placed(h Host) bool {
	for _, u := range p.units {
		if u.phase != phaseLeaving && slices.Contains(u.members, h.ID) {
			return true
		}
	}
	return false
}

func (p *Planner) modelOf(h Host) string {
	if h.Model != "" {
		return h.Model
	}
	return p.held[life{h.ID, h.Born}]
}

func (p *Planner) advance(u *unit) {
	switch u.phase {
	case phaseForming:
		p.forming(u)
	case phaseServing:
		p.serving(u)
	case phaseClosing:
		p.closing(u)
	case phaseLeaving:
	}
	if u.phase == phaseLeaving {
		p.leaving(u)
	}
}

func (p *Planner) forming(u *unit) {
	if slices.Contains(u.members, "") {
		if p.now.After(u.limit) {
			p.leave(u, "incomplete")
		}
		return
	}
	ready, joining := 0, 0
	for _, id := range u.members {
		h, known := p.hosts[id]
		switch {
		case !known || !h.usable():
			p.leave(u, "lost "+id)
			return
		case h.Member != nil && h.Member.Epoch > u.Epoch:
			p.leave(u, id+" is in a later replica")
			return
		case !h.in(u.Place):
			p.give(Join{id, u.Place, u.model, u.members})
		case h.Member.State == roster.MemberBroken:
			p.leave(u, "broken")
			return
		case h.Member.State != roster.MemberJoining && h.Member.State != roster.MemberUnknown:
			ready++
		default:
			joining++
		}
	}
	switch {
	case p.hosts[u.head()].Heads() && ready == len(u.members):
		p.enter(u, phaseServing, "open")
	case ready == len(u.members) && u.late:
		p.leave(u, "a member joined late")
	case ready == len(u.members):
		p.give(Open{u.head(), u.Place})
	case p.now.After(u.limit) && (joining == 0 || p.now.After(u.limit.Add(loadingMargin))):
		p.leave(u, "took too long to form")
	}
}

func (p *Planner) serving(u *unit) {
	head, known := p.hosts[u.head()]
	sight := p.view.Heads[u.head()]
	if known && head.Alive && (!head.in(u.Place) || head.Member.State == roster.MemberBroken) {
		p.leave(u, "the head serves no more")
		return
	}
	for _, id := range u.members {
		h, known := p.hosts[id]
		if known && h.Alive && h.State == roster.StateReady {
			continue
		}
		if known && h.State != roster.StateReady && h.Alive {
			p.enter(u, phaseClosing, id+" drains")
			return
		}
		if !sight.moving() {
			p.leave(u, "lost "+id)
			return
		}
	}
	if sight.stuck() {
		p.leave(u, "stands still")
	}
}

func (p *Planner) closing(u *unit) {
	head, known := p.hosts[u.head()]
	if !known || !head.Alive || !head.in(u.Place) || p.now.Sub(u.began) > drainTime {
		p.leave(u, "closed")
		return
	}
	switch head.Member.State {
	case roster.MemberOpen:
		p.give(Close{u.head(), u.Place})
	case roster.MemberClosing:
	default:
		p.leave(u, "closed")
	}
}

// leaving keeps a replica's members from other use until its head is out of it, or until
// they have left a head that can't be reached.
func (p *Planner) leaving(u *unit) {
	h, known := p.hosts[u.head()]
	switch {
	case u.head() != "" && (!known || h.Refuses):
		p.drop(u, true)
	case known && h.Alive && !h.in(u.Place) && h.State != roster.StateLeft:
		p.drop(u, true)
	case known && h.Alive:
		p.give(Leave{u.head(), u.Place})
	case p.membersLeft(u):
		p.drop(u, false)
	}
}

// membersLeft lets the members leave a replica whose head can't be reached, and reports
// whether all that can be reached are out. The head then stands still.
func (p *Planner) membersLeft(u *unit) bool {
	out := true
	for _, id := range u.members[1:] {
		h, known := p.hosts[id]
		if known && h.Alive && h.in(u.Place) {
			p.give(Leave{id, u.Place})
			out = false
		}
	}
	return out
}

// leave begins the end of a replica.
func (p *Planner) leave(u *unit, reason string) {
	p.enter(u, phaseLeaving, reason)
}

func (p *Planner) enter(u *unit, next phase, reason string) {
	u.phase, u.began, u.reason = next, p.now, reason
	p.note(u, next.String(), reason)
}

func (p phase) String() string {
	switch p {
	case phaseForming:
		return "forming"
	case phaseServing:
		return "serving"
	case phaseClosing:
		return "closing"
	case phaseLeaving:
		return "leaving"
	}
	return "unknown"
}

func (p *Planner) drop(u *unit, clean bool) {
	delete(p.units, u.Replica)
	reopens := p.mayReopen(u.Place)
	if reopens {
		p.resting[life{u.head(), p.hosts[u.head()].Born}] = u.Place
	}
	p.ended[u.Replica] = ending{p.now, clean && !reopens}
	p.note(u, "dropped", u.reason)
}

func (p *Planner) note(u *unit, what, reason string) {
	p.notes = append(p.notes, Note{Place: u.Place, Model: u.model, Members: u.members, What: what, Reason: reason})
}

// give gives an order, unless it was given a moment ago.
func (p *Planner) give(o Order) {
	text := textOf(o)
	if last, ok := p.sent[text]; ok && p.now.Sub(last.at) < last.pause() {
		return
	}
	p.sent[text] = sending{at: p.now}
	if join, ok := o.(Join); ok {
		l := life{join.To, p.hosts[join.To].Born}
		p.joined[l] = max(p.joined[l], join.Epoch)
	}
	p.orders = append(p.orders, o)
}

// textOf identifies an order.
func textOf(o Order) string { return fmt.Sprintf("%T %v", o, o) }

// sending is one time that an order was given.
type sending struct {
	at time.Time
	// unanswered says that no answer came.
	unanswered bool
}

// pause is how long the order is not given again.
func (s sending) pause() time.Duration {
	if s.unanswered {
		return resendUnanswered
	}
	return resendAfter
}

// Answered takes in what became of an order.
func (p *Planner) Answered(o Order, a Answer) {
	if last, ok := p.sent[textOf(o)]; ok && a == AnswerNone {
		last.unanswered = true
		p.sent[textOf(o)] = last
		p.doubtAnswer(o, last.at)
	}
	if stage, ok := o.(Stage); ok && a != AnswerDone {
		p.unload(stage.To) // It is given again.
		return
	}
	leave, ok := o.(Leave)
	if !ok || a == AnswerNone {
		return
	}
	// Whatever the answer says, the engine at the address is not in that replica now.
	u := p.units[leave.Replica]
	if u != nil && u.phase == phaseLeaving && u.Place == leave.Place && u.head() == leave.To {
		p.drop(u, true)
	}
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
