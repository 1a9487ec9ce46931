package formation

import (
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/roster"
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

// ending is how a replica was given up.
type ending struct {
	at time.Time
	// clean says that its head is out of it, so that members that still report it may be
	// used at once.
	clean bool
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
		p.resting[p.hosts[u.head()].Life()] = u.Place
	}
	p.ended[u.Replica] = ending{p.now, clean && !reopens}
	p.note(u, "dropped", u.reason)
}

func (p *Planner) note(u *unit, what, reason string) {
	p.notes = append(p.notes, Note{Place: u.Place, Model: u.model, Members: u.members, What: what, Reason: reason})
}
