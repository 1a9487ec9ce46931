package portal

import (
	"sync"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/roster"
)

// departures are the announcements of endpoints that drain or leave which wait until they are kept in the log. Those that arrive while others
// are written share the next entry. The zero value has none.
type departures struct {
	mu      sync.Mutex
	waiting []*waitingDeparture
	// added is closed when a departure is added, or nil.
	added chan struct{}
}

// waitingDeparture is an announcement whose endpoint waits. err is set when kept is closed.
type waitingDeparture struct {
	endpoint roster.Endpoint
	deadline time.Time
	kept     chan struct{}
	err      error
}

func (w *waitingDeparture) finish(err error) {
	w.err = err
	close(w.kept)
}

func (d *departures) add(e roster.Endpoint, deadline time.Time) *waitingDeparture {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := &waitingDeparture{endpoint: e, deadline: deadline, kept: make(chan struct{})}
	d.waiting = append(d.waiting, w)
	closeAndClear(&d.added)
	return w
}

// take removes and returns departures, at most maxDepartureBatch. If there are none the channel is closed when one is added.
func (d *departures) take() ([]*waitingDeparture, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.waiting) == 0 {
		if d.added == nil {
			d.added = make(chan struct{})
		}
		return nil, d.added
	}
	n := min(len(d.waiting), maxDepartureBatch)
	batch := d.waiting[:n:n]
	d.waiting = d.waiting[n:]
	return batch, nil
}

// putBack returns the departures of a failed attempt, but for those whose time is over. These end with cause.
func (d *departures) putBack(batch []*waitingDeparture, now time.Time, cause error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var waiting []*waitingDeparture
	for _, w := range batch {
		if now.After(w.deadline) {
			w.finish(ErrUnavailable{Reason: cause.Error()})
			continue
		}
		waiting = append(waiting, w)
	}
	d.waiting = append(waiting, d.waiting...)
}
