package attempt

import (
	"time"

	"github.com/egretreach/egretreach/internal/link/message"
)

// queue is a FIFO queue of attempts. The zero value is empty.
type queue struct {
	refs []message.Ref
	head int
}

func (q *queue) push(ref message.Ref) { q.refs = append(q.refs, ref) }

func (q *queue) len() int { return len(q.refs) - q.head }

func (q *queue) oldest() message.Ref { return q.refs[q.head] }

func (q *queue) pop() message.Ref {
	ref := q.refs[q.head]
	q.head++
	if q.head*2 >= len(q.refs) {
		q.refs = append(q.refs[:0:0], q.refs[q.head:]...)
		q.head = 0
	}
	return ref
}

// Expire drops answers that are too old or exceed the total size, and then the
// oldest records over the limits. Dropped records of at-most-once attempts and of
// tombstones leave a trace in the Bloom filter.
func (t *Table) Expire(now time.Time) {
	for t.answerQueue.len() > 0 {
		r := t.records[t.answerQueue.oldest()]
		if r != nil && t.keptBytes <= t.limits.TotalBytes && now.Sub(r.endedAt) < t.limits.AnswerAge {
			break
		}
		t.answerQueue.pop()
		t.dropAnswer(r)
	}
	t.trimRecords()
}

func (t *Table) dropAnswer(r *record) {
	if r == nil || r.answer == nil {
		return
	}
	t.keptBytes -= answerBytes(r.answer)
	r.answer = &message.Answer{Status: r.answer.Status, BodyDropped: true}
	t.keptBytes += answerBytes(r.answer)
}

// fieldOverhead is about what a field of a header takes in memory besides its text, in bytes.
const fieldOverhead = 128

// answerBytes returns about what an answer's body and header take in memory, in bytes.
func answerBytes(a *message.Answer) int {
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v) + fieldOverhead
		}
	}
	return n
}

func (t *Table) trimRecords() {
	for t.atMostOnceQueue.len() > t.limits.AtMostOnceRecords {
		ref := t.atMostOnceQueue.pop()
		t.dropAnswer(t.records[ref])
		delete(t.records, ref)
		t.droppedRecords.add(ref)
	}
	for t.idempotentQueue.len() > t.limits.IdempotentRecords {
		delete(t.records, t.idempotentQueue.pop())
		t.forgotIdempotent = true
	}
}
