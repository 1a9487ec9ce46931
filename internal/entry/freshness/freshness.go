// Package freshness tracks how old a copy of replicated state can be. Its evidence is that control has answered a question:
// the copy was the newest state at some time after the question was asked. Answers are distinguished by the numbers of the
// questions, not by times.
package freshness

import (
	"context"
	"sync"
	"time"
)

// maxOpen bounds the unanswered questions whose times are stored.
const maxOpen = 256

// Tracker numbers the questions and records the answers. The zero value has asked nothing. It is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// asked is the number of the latest question, and askedAt has the times of those that are unanswered.
	asked   uint64
	askedAt map[uint64]time.Time
	// confirmed is the number of the latest answered question, and confirmedAt when it was asked.
	confirmed   uint64
	confirmedAt time.Time
	// changed is closed at the next answer, or nil.
	changed chan struct{}
}

// Ask returns the number of a question that is asked at now.
func (t *Tracker) Ask(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked++
	if t.askedAt == nil || len(t.askedAt) >= maxOpen {
		t.askedAt = map[uint64]time.Time{}
	}
	t.askedAt[t.asked] = now
	return t.asked
}

// Next returns the number of the next question.
func (t *Tracker) Next() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.asked + 1
}

// Confirm records that the question with a number was answered, and with it all before.
func (t *Tracker) Confirm(number uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if number <= t.confirmed || number > t.asked {
		return
	}
	t.confirmed = number
	if at, known := t.askedAt[number]; known {
		t.confirmedAt = at
	}
	for open := range t.askedAt {
		if open <= number {
			delete(t.askedAt, open)
		}
	}
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}

// Age returns the time since the latest answered question was asked: the copy can't be older. It returns false if none was
// answered yet.
func (t *Tracker) Age(now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.confirmedAt), !t.confirmedAt.IsZero()
}

// Wait waits until the question with a number, or a later one, is answered, and returns false if ctx ends before.
func (t *Tracker) Wait(ctx context.Context, number uint64) bool {
	for {
		t.mu.Lock()
		if t.confirmed >= number {
			t.mu.Unlock()
			return true
		}
		if t.changed == nil {
			t.changed = make(chan struct{})
		}
		changed := t.changed
		t.mu.Unlock()
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}
