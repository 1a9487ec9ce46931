package formation

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/roster"
)

// lateOrderWindow is how long an engine may still carry out an order that it did not answer.
const lateOrderWindow = 15 * time.Second

// unansweredOrders holds the times at which the last unanswered join and open of a replica were
// sent to its head. While the head may still carry out both, it may join and open the replica
// again after it has left it.
type unansweredOrders struct {
	joinSent, openSent time.Time
}

// recordUnanswered records that an order sent at the given time got no answer. Only joins and
// opens of a head matter.
func (p *Planner) recordUnanswered(o Order, sentAt time.Time) {
	switch o := o.(type) {
	case Join:
		if o.To == o.Members[0] {
			times := p.unanswered[o.ReplicaRef]
			times.joinSent = sentAt
			p.unanswered[o.ReplicaRef] = times
		}
	case Open:
		times := p.unanswered[o.ReplicaRef]
		times.openSent = sentAt
		p.unanswered[o.ReplicaRef] = times
	case Close, Leave, Stage:
	}
}

// mayReopen reports whether a head that has left the replica may still join and open it again.
func (p *Planner) mayReopen(ref ReplicaRef) bool {
	times := p.unanswered[ref]
	return p.now.Sub(times.joinSent) < lateOrderWindow && p.now.Sub(times.openSent) < lateOrderWindow
}

// markReopened clears headLeft of ended replicas whose heads report that they serve again.
func (p *Planner) markReopened() {
	for _, h := range p.view.Hosts {
		if h.Member == nil || h.Member.State != roster.MemberOpen && h.Member.State != roster.MemberClosing {
			continue
		}
		if e, ended := p.ended[h.Member.Replica]; ended && e.headLeft {
			e.headLeft = false
			p.ended[h.Member.Replica] = e
		}
	}
}

// expireUnanswered drops unanswered orders that can't be carried out any more, and unblocks their
// heads.
func (p *Planner) expireUnanswered() {
	for ref, times := range p.unanswered {
		if p.now.Sub(times.joinSent) > lateOrderWindow && p.now.Sub(times.openSent) > lateOrderWindow {
			delete(p.unanswered, ref)
		}
	}
	for inc, ref := range p.blockedHeads {
		if !p.mayReopen(ref) {
			delete(p.blockedHeads, inc)
		}
	}
}
