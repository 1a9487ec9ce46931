package server

import (
	"context"
	"time"

	"github.com/egretreach/egretreach/internal/agent/gate"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// The longest and shortest time between two checks of the gate.
const (
	idleWatch = 5 * time.Second
	minWatch  = time.Millisecond
)

// watch checks the gate whenever a lease or a heartbeat may have expired and after
// each change. When the gate closes, it ends the generations in progress. It tells
// control each time the gate opens or closes.
func (s *Server) watch(ctx context.Context) error {
	for ctx.Err() == nil {
		due := s.check()
		timer := time.NewTimer(due)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-s.changed:
		}
		timer.Stop()
	}
	return nil
}

// check checks the gate once and returns the time to wait until the next check.
func (s *Server) check() time.Duration {
	at := s.reading()
	s.mu.Lock()
	place, _, _ := s.gate.AssignedReplica()
	err := s.gate.CheckRun(at)
	accepts := s.gate.CheckAccept(at, place.ID, place.Fence)
	due := idleWatch
	if expiry := s.gate.HeartbeatExpiry(); err == nil && !expiry.IsZero() {
		due = min(due, expiry.Sub(at.Now))
	}
	if until := s.session.LeaseExpiry(); at.Leased {
		due = min(due, until.Sub(at.Now))
	}
	was := s.open
	s.open = accepts == nil
	changed := was != s.open
	s.mu.Unlock()
	s.failOver(err)
	if changed {
		s.session.Renew()
		s.logGate(accepts)
	}
	return max(due, minWatch)
}

func (s *Server) logGate(err error) {
	s.mu.Lock()
	place, _, _ := s.gate.AssignedReplica()
	s.mu.Unlock()
	if err == nil {
		event.GateOpened.On(s.opts.Logger).Str("replica", string(place.ID)).Uint64("fence", uint64(place.Fence)).Msg("")
		return
	}
	var closed gate.ErrClosed
	closed, _ = err.(gate.ErrClosed) //nolint:errorlint // CheckAccept returns it unwrapped.
	event.GateClosed.On(s.opts.Logger).Str("replica", string(place.ID)).Uint64("fence", uint64(place.Fence)).
		Str("code", closed.Code).Str("reason", closed.Reason).Msg("")
}
