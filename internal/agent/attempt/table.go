// Package attempt records the attempts that an agent received: which are running,
// which have ended and how, and which the agent has promised never to run. The
// table uses bounded memory, reads no clock and starts no goroutine. It never
// reports "not run" for an attempt that it may have forgotten.
package attempt

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/link/message"
)

// Limits bound a Table. Zero values take the defaults.
type Limits struct {
	// Running is the largest number of attempts in progress.
	Running int
	// AtMostOnceRecords is the largest number of records of ended at-most-once
	// attempts and of tombstones, which are attempts of either kind that were
	// reported as not run. Dropped ones remain in a Bloom filter.
	AtMostOnceRecords int
	// IdempotentRecords is the largest number of records of ended idempotent
	// attempts.
	IdempotentRecords int
	// MaxAnswerBytes limits the body of one kept answer and TotalBytes the bodies and
	// headers of all of them.
	MaxAnswerBytes int
	TotalBytes     int
	// AnswerAge is the time after which a kept answer is dropped.
	AnswerAge time.Duration
}

// Defaults of Limits.
const (
	DefaultRunning           = 1024
	DefaultAtMostOnceRecords = 1 << 16
	DefaultIdempotentRecords = 1 << 12
	DefaultMaxAnswerBytes    = 1 << 20
	DefaultTotalBytes        = 16 << 20
	DefaultAnswerAge         = 15 * time.Minute
)

func (l Limits) withDefaults() Limits {
	if l.Running == 0 {
		l.Running = DefaultRunning
	}
	if l.AtMostOnceRecords == 0 {
		l.AtMostOnceRecords = DefaultAtMostOnceRecords
	}
	if l.IdempotentRecords == 0 {
		l.IdempotentRecords = DefaultIdempotentRecords
	}
	if l.MaxAnswerBytes == 0 {
		l.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if l.TotalBytes == 0 {
		l.TotalBytes = DefaultTotalBytes
	}
	if l.AnswerAge == 0 {
		l.AnswerAge = DefaultAnswerAge
	}
	return l
}

// WaiterID identifies an Ask that waits for an attempt to end.
type WaiterID uint64

// Delivery is the result to send to one waiter.
type Delivery struct {
	Waiter WaiterID
	Result message.AskResult
}

type state uint8

// The states of an attempt. Those of an attempt in progress, up to stateRunning, come
// first.
const (
	stateAccepted state = iota
	stateRunning
	stateComplete
	stateNotRun
	stateUnknown
)

type record struct {
	state      state
	atMostOnce bool
	answer     *message.Answer
	endedAt    time.Time
	waiters    []WaiterID
}

// Table holds the attempts of one incarnation of an agent. It is not safe for
// concurrent use. Use New.
type Table struct {
	incarnation host.Incarnation
	limits      Limits

	records map[message.Ref]*record
	running int
	// atMostOnceQueue also has the tombstones of idempotent attempts.
	atMostOnceQueue queue
	idempotentQueue queue
	answerQueue     queue
	keptBytes       int
	droppedRecords  bloomFilter
	// forgotIdempotent is true once a record of an ended idempotent attempt was
	// dropped. Such records leave no trace in droppedRecords.
	forgotIdempotent bool
}

// New returns an empty table.
func New(incarnation host.Incarnation, limits Limits) *Table {
	return &Table{incarnation: incarnation, limits: limits.withDefaults(), records: map[message.Ref]*record{}}
}

// Accept records a new attempt as accepted. The attempt must not be passed to its
// endpoint before Start succeeds.
func (t *Table) Accept(ref message.Ref, atMostOnce bool) error {
	if known := t.records[ref]; known != nil {
		if known.state == stateNotRun {
			return ErrTombstone{Ref: ref}
		}
		return ErrDuplicate{Ref: ref}
	}
	if t.droppedRecords.mayContain(ref) {
		return ErrDuplicate{Ref: ref}
	}
	if t.running >= t.limits.Running {
		return ErrFull{Limit: t.limits.Running}
	}
	t.records[ref] = &record{atMostOnce: atMostOnce}
	t.running++
	return nil
}

// Start records that an accepted attempt is about to be passed to its endpoint. It
// returns ErrTombstone if the attempt is no longer in the accepted state, as after
// an Ask with a tombstone.
func (t *Table) Start(ref message.Ref) error {
	r := t.records[ref]
	if r == nil || r.state != stateAccepted {
		return ErrTombstone{Ref: ref}
	}
	r.state = stateRunning
	return nil
}

// End records how an accepted attempt ended and returns the results to send to its
// waiters. The answer of a complete at-most-once attempt is kept. An idempotent
// attempt that did not run is recorded as unknown if records of its kind were
// dropped before, since an earlier copy of it may have run.
func (t *Table) End(ref message.Ref, outcome request.Outcome, answer *message.Answer, now time.Time) []Delivery {
	r := t.records[ref]
	if r == nil {
		return nil
	}
	if r.state <= stateRunning {
		t.running--
		r.endedAt = now
		r.state = stateFor(outcome)
		if r.state == stateNotRun && t.mayHaveForgotten(r.atMostOnce) {
			r.state = stateUnknown
		}
		t.retain(ref, r, answer)
		t.Expire(now)
	}
	waiters := r.waiters
	r.waiters = nil
	deliveries := make([]Delivery, 0, len(waiters))
	for _, w := range waiters {
		deliveries = append(deliveries, Delivery{Waiter: w, Result: r.result(ref)})
	}
	return deliveries
}

func stateFor(outcome request.Outcome) state {
	switch outcome {
	case request.OutcomeComplete:
		return stateComplete
	case request.OutcomeNotRun:
		return stateNotRun
	default:
		return stateUnknown
	}
}

// retain queues an ended record for expiry and keeps its answer. An answer whose body
// is larger than MaxAnswerBytes keeps only its status and header.
func (t *Table) retain(ref message.Ref, r *record, answer *message.Answer) {
	if !r.atMostOnce && r.state != stateNotRun {
		t.idempotentQueue.push(ref)
		return
	}
	t.atMostOnceQueue.push(ref)
	if !r.atMostOnce || answer == nil || r.state != stateComplete {
		return
	}
	kept := *answer
	if len(kept.Body) > t.limits.MaxAnswerBytes {
		kept.Body = nil
		kept.BodyDropped = true
	}
	r.answer = &kept
	t.keptBytes += answerBytes(r.answer)
	t.answerQueue.push(ref)
}

// Ask returns the state of an attempt. If ask carries a tombstone, an attempt that
// has not started is recorded as never to run, unless an earlier record of it may
// have been dropped. If pending is true, the attempt is still in progress and End
// returns a Delivery for the waiter.
func (t *Table) Ask(ask *message.Ask, waiter WaiterID) (result message.AskResult, pending bool) {
	if ask.Incarnation != t.incarnation {
		return message.AskResult{Ref: ask.Ref, State: message.AskUnknown}, false
	}
	r := t.records[ask.Ref]
	if r == nil {
		return t.resultWithoutRecord(ask), false
	}
	if r.state == stateAccepted && ask.Tombstone && !t.mayHaveForgotten(r.atMostOnce) {
		// Start then fails for the goroutine that serves the attempt, which ends it.
		r.state = stateNotRun
		t.running--
		t.atMostOnceQueue.push(ask.Ref)
		t.trimRecords()
	}
	if r.state <= stateRunning && ask.Wait {
		r.waiters = append(r.waiters, waiter)
		return r.result(ask.Ref), true
	}
	return r.result(ask.Ref), false
}

// resultWithoutRecord returns the result for an attempt without a record. If ask
// carries a tombstone, the attempt is recorded as never to run, unless an earlier
// record of it may have been dropped.
func (t *Table) resultWithoutRecord(ask *message.Ask) message.AskResult {
	unknown := message.AskResult{Ref: ask.Ref, State: message.AskUnknown}
	if t.droppedRecords.mayContain(ask.Ref) || t.mayHaveForgotten(ask.AtMostOnce) || !ask.Tombstone {
		return unknown
	}
	r := &record{state: stateNotRun, atMostOnce: ask.AtMostOnce}
	t.records[ask.Ref] = r
	t.atMostOnceQueue.push(ask.Ref)
	t.trimRecords()
	return r.result(ask.Ref)
}

// mayHaveForgotten reports whether an attempt of that kind may have been received
// before and its record dropped without a trace.
func (t *Table) mayHaveForgotten(atMostOnce bool) bool { return !atMostOnce && t.forgotIdempotent }

// RemoveWaiter removes a waiter from an attempt, if it still waits.
func (t *Table) RemoveWaiter(ref message.Ref, waiter WaiterID) {
	r := t.records[ref]
	if r == nil {
		return
	}
	for i, w := range r.waiters {
		if w == waiter {
			r.waiters = append(r.waiters[:i], r.waiters[i+1:]...)
			return
		}
	}
}

// Running returns the number of attempts in progress.
func (t *Table) Running() int { return t.running }

func (r *record) result(ref message.Ref) message.AskResult {
	result := message.AskResult{Ref: ref, Answer: r.answer}
	switch r.state {
	case stateAccepted, stateRunning:
		result.State = message.AskRunning
	case stateComplete:
		result.State = message.AskComplete
	case stateNotRun:
		result.State = message.AskNotRun
	default:
		result.State = message.AskUnknown
	}
	return result
}

// MaxAnswerBytes returns the largest body size of a kept answer, in bytes.
func (t *Table) MaxAnswerBytes() int { return t.limits.MaxAnswerBytes }
