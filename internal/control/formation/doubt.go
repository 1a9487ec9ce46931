package formation

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/roster"
)

// lateTime is how long an order without an answer may still be carried out.
const lateTime = 15 * time.Second

// doubt tells when the orders that make a head serve a place last went unanswered. While
// both may still be carried out, a head that has left the place may join and open it again.
type doubt struct {
	joined, opened time.Time
}

// doubtAnswer takes note of an order that was given at a time and got no answer.
func (p *Planner) doubtAnswer(o Order, given time.Time) {
	switch o := o.(type) {
	case Join:
		if o.To == o.Members[0] {
			d := p.doubts[o.Place]
			d.joined = given
			p.doubts[o.Place] = d
		}
	case Open:
		d := p.doubts[o.Place]
		d.opened = given
		p.doubts[o.Place] = d
	case Close, Leave, Stage:
	}
}

// mayReopen reports whether a head that has left a place may still open it again.
func (p *Planner) mayReopen(at Place) bool {
	d := p.doubts[at]
	return p.now.Sub(d.joined) < lateTime && p.now.Sub(d.opened) < lateTime
}

// reopened takes note of the ended replicas whose heads serve again.
func (p *Planner) reopened() {
	for _, h := range p.view.Hosts {
		if h.Member == nil || h.Member.State != roster.MemberOpen && h.Member.State != roster.MemberClosing {
			continue
		}
		if e, over := p.ended[h.Member.Replica]; over && e.clean {
			e.clean = false
			p.ended[h.Member.Replica] = e
		}
	}
}

// forgetDoubts drops what is too old to matter.
func (p *Planner) forgetDoubts() {
	for at, d := range p.doubts {
		if p.now.Sub(d.joined) > lateTime && p.now.Sub(d.opened) > lateTime {
			delete(p.doubts, at)
		}
	}
	for l, at := range p.resting {
		if !p.mayReopen(at) {
			delete(p.resting, l)
		}
	}
}
