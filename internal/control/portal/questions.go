package portal

import (
	"sync"

	"github.com/egretreach/egretreach/internal/link/message"
)

// asker is a subscription on which a gateway asks for the newest configuration. questions.mu guards the numbers.
type asker struct {
	asked  uint64
	urgent bool
	// lastConfirmed is the number of the latest question that was answered.
	lastConfirmed uint64
	// answered has a value once an urgent question was answered.
	answered chan struct{}
}

// questions are the unanswered questions of all gateways. Those of one moment share a confirmation. The zero value has none.
type questions struct {
	mu     sync.Mutex
	askers map[*asker]struct{}
	// asked and urgentlyAsked are closed at the next question, or nil.
	asked         chan struct{}
	urgentlyAsked chan struct{}
}

func (q *questions) open() *asker {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.askers == nil {
		q.askers = map[*asker]struct{}{}
	}
	a := &asker{answered: make(chan struct{}, 1)}
	q.askers[a] = struct{}{}
	return a
}

func (q *questions) close(a *asker) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.askers, a)
}

// ask records a question. One with number 0 asks nothing.
func (q *questions) ask(a *asker, m message.Question) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if m.Number <= a.asked {
		return
	}
	a.asked = m.Number
	a.urgent = a.urgent || m.Urgent
	closeAndClear(&q.asked)
	if m.Urgent {
		closeAndClear(&q.urgentlyAsked)
	}
}

func closeAndClear(c *chan struct{}) {
	if *c != nil {
		close(*c)
		*c = nil
	}
}

// confirmed returns the number of an asker's latest answered question.
func (q *questions) confirmed(a *asker) uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return a.lastConfirmed
}

// unanswered returns the numbers of the unanswered questions, or none if urgent is set and none of them is urgent. The
// channel is closed at the next question, or the next urgent one.
func (q *questions) unanswered(urgent bool) (map[*asker]uint64, <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	next := &q.asked
	if urgent {
		next = &q.urgentlyAsked
	}
	if *next == nil {
		*next = make(chan struct{})
	}
	open, wanted := map[*asker]uint64{}, !urgent
	for a := range q.askers {
		if a.asked > a.lastConfirmed {
			open[a] = a.asked
			wanted = wanted || a.urgent
		}
	}
	if !wanted {
		open = nil
	}
	return open, *next
}

// answer records that questions were answered, and wakes the subscriptions with an urgent one.
func (q *questions) answer(answered map[*asker]uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for a, number := range answered {
		a.lastConfirmed = max(a.lastConfirmed, number)
		if !a.urgent {
			continue
		}
		a.urgent = a.asked > a.lastConfirmed
		select {
		case a.answered <- struct{}{}:
		default:
		}
	}
}
