package dispatch

import (
	"sync/atomic"
	"time"
)

// tokenSilence is how long an attempt that has begun to answer may give no token.
const tokenSilence = 5 * time.Second

const codeStalled = "stalled"

// silence breaks an attempt off whose endpoint hangs, though its link lives. It
// counts only the time in which the entry waits for the endpoint, not for the caller.
type silence struct {
	timer  *time.Timer
	limit  time.Duration
	broken atomic.Bool
}

// newSilence returns a watch that calls breakOff; with no patience it never does.
func newSilence(patience time.Duration, breakOff func()) *silence {
	s := &silence{limit: patience}
	if patience <= 0 {
		return s
	}
	s.timer = time.AfterFunc(patience, func() {
		s.broken.Store(true)
		breakOff()
	})
	s.timer.Stop()
	return s
}

// listen starts the wait for a frame.
func (s *silence) listen() {
	if s.timer != nil {
		s.timer.Reset(s.limit)
	}
}

// heard ends it; token says that the frame brought some of the answer.
func (s *silence) heard(token bool) {
	if s.timer == nil {
		return
	}
	s.timer.Stop()
	if token {
		s.limit = tokenSilence
	}
}
