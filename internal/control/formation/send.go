package formation

import (
	"fmt"
	"time"
)

// send adds an order to the step's orders, unless it was sent less than its resend delay ago.
func (p *Planner) send(o Order) {
	key := orderKey(o)
	if last, ok := p.sent[key]; ok && p.now.Sub(last.at) < last.resendDelay() {
		return
	}
	p.sent[key] = sentOrder{at: p.now}
	if join, ok := o.(Join); ok {
		inc := p.hosts[join.To].Incarnation()
		hist := p.history[inc]
		hist.highestJoin = max(hist.highestJoin, join.Epoch)
		p.history[inc] = hist
	}
	p.orders = append(p.orders, o)
}

// orderKey returns a text that identifies an order.
func orderKey(o Order) string { return fmt.Sprintf("%T %v", o, o) }

// sentOrder records when an order was last sent.
type sentOrder struct {
	at time.Time
	// unanswered is true if no answer came.
	unanswered bool
}

// resendDelay is the least time before the order is sent again.
func (s sentOrder) resendDelay() time.Duration {
	if s.unanswered {
		return resendIntervalUnanswered
	}
	return resendInterval
}

// HandleAnswer records the answer to an order.
func (p *Planner) HandleAnswer(o Order, a Answer) {
	key := orderKey(o)
	if last, ok := p.sent[key]; ok && a == AnswerNone {
		last.unanswered = true
		p.sent[key] = last
		p.recordUnanswered(o, last.at)
	}
	if stage, ok := o.(Stage); ok && a != AnswerDone {
		p.dropLoad(stage.To) // It is sent again.
		return
	}
	leave, ok := o.(Leave)
	if !ok || a == AnswerNone {
		return
	}
	// Whatever the answer says, the engine at the address is not in that replica now.
	r := p.replicas[leave.Replica]
	if r != nil && r.phase == phaseLeaving && r.ReplicaRef == leave.ReplicaRef && r.head() == leave.To {
		p.dropReplica(r, true)
	}
}
