package formation

import (
	"fmt"
	"time"
)

// give gives an order, unless it was given a moment ago.
func (p *Planner) give(o Order) {
	text := textOf(o)
	if last, ok := p.sent[text]; ok && p.now.Sub(last.at) < last.pause() {
		return
	}
	p.sent[text] = sending{at: p.now}
	if join, ok := o.(Join); ok {
		l := p.hosts[join.To].Life()
		memory := p.past[l]
		memory.joined = max(memory.joined, join.Epoch)
		p.past[l] = memory
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
	text := textOf(o)
	if last, ok := p.sent[text]; ok && a == AnswerNone {
		last.unanswered = true
		p.sent[text] = last
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
