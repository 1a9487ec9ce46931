package dispatch

import (
	"sync/atomic"
	"time"
)

// tokenTimeout bounds each wait for a frame after the first token of an attempt.
const tokenTimeout = 5 * time.Second

const codeStalled = "stalled"

// stallTimer cancels an attempt whose endpoint has stalled while the link to it works. It measures
// only the time in which the entry waits for the endpoint, not for the caller.
type stallTimer struct {
	timer   *time.Timer
	limit   time.Duration
	expired atomic.Bool
}

// newStallTimer returns a timer that calls cancel on expiry. With a timeout of 0 it
// never expires.
func newStallTimer(timeout time.Duration, cancel func()) *stallTimer {
	s := &stallTimer{limit: timeout}
	if timeout <= 0 {
		return s
	}
	s.timer = time.AfterFunc(timeout, func() {
		s.expired.Store(true)
		cancel()
	})
	s.timer.Stop()
	return s
}

// start starts the wait for a frame.
func (s *stallTimer) start() {
	if s.timer != nil {
		s.timer.Reset(s.limit)
	}
}

// stop ends the wait for a frame. token is true if the frame held a part of the answer;
// the later waits are then bounded by tokenTimeout.
func (s *stallTimer) stop(token bool) {
	if s.timer == nil {
		return
	}
	s.timer.Stop()
	if token {
		s.limit = tokenTimeout
	}
}
