// Package lateness measures how late a process runs. Timers of a process without enough processor time expire late, and
// so does all else that it does: what it takes for the silence of a peer may be its own delay. A suspension of the host counts
// as well. Times are those of clock.Now.
package lateness

import (
	"context"
	"runtime"
	"sync"
	"time"

	"github.com/egretreach/egretreach/internal/process/clock"
	"github.com/egretreach/egretreach/internal/process/pause"
)

const (
	// interval is the time between two measurements.
	interval = 100 * time.Millisecond
	// window is how long a measurement is remembered.
	window = 2 * time.Second
)

// Meter measures the lateness of its process while Run runs. The zero value has measured none.
type Meter struct {
	mu     sync.Mutex
	due    time.Time
	peak   time.Duration
	peakAt time.Time
}

// Run measures until ctx ends.
func (m *Meter) Run(ctx context.Context) error {
	for {
		m.expect(clock.Now().Add(interval))
		if !pause.For(ctx, interval) {
			return nil
		}
		runtime.Gosched() // A timer's goroutine runs first. Those that data has arrived for wait for their turn.
		now := clock.Now()
		m.Observe(now.Sub(m.due), now)
	}
}

func (m *Meter) expect(due time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.due = due
}

// Observe records that the process was late by late at now.
func (m *Meter) Observe(late time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if late >= m.peak || now.Sub(m.peakAt) > window {
		m.peak, m.peakAt = late, now
	}
}

// Recent returns the greatest lateness of the last two seconds, that of a measurement which is overdue included.
func (m *Meter) Recent(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	late := time.Duration(0)
	if !m.due.IsZero() {
		late = max(late, now.Sub(m.due))
	}
	if now.Sub(m.peakAt) <= window {
		late = max(late, m.peak)
	}
	return late
}
