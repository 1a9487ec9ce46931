package formation

import (
	"fmt"
	"time"
)

// send adds an order to the step's orders, unless it was sent less than its resend delay ago.
func (p *Planner) send(o Order) {
	text := orderKey(o)
	if last, ok := p.sent[text]; ok && p.now.Sub(last.at) < last.resendDelay() {
		return
	}
	p.sent[text] = sentOrder{at: p.now}
	if join, ok := o.(Join); ok {
		l := p.hosts[join.To].Incarnation()
		memory := p.history[l]
		memory.highestJoin = max(memory.highestJoin, join.Epoch)
		p.history[l] = memory
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
	text := orderKey(o)
	if last, ok := p.sent[text]; ok && a == AnswerNone {
		last.unanswered = true
		p.sent[text] = last
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
	u := p.replicas[leave.Replica]
	if u != nil && u.phase == phaseLeaving && u.ReplicaRef == leave.ReplicaRef && u.head() == leave.To {
		p.dropReplica(u, true)
	}
}
