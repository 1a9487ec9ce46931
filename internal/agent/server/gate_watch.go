package server

import (
	"context"
	"time"

	"github.com/egretreach/egretreach/internal/agent/gate"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// The longest and shortest time between two checks of the gate.
const (
	maxCheckInterval = 5 * time.Second
	minCheckInterval = time.Millisecond
)

// watchGate checks the gate whenever the lease or a heartbeat may have expired and
// after each change. It cancels the generations in progress as soon as they must not
// continue to run. It notifies control each time the gate opens or closes for new work.
func (s *Server) watchGate(ctx context.Context) error {
	for ctx.Err() == nil {
		delay := s.checkGate()
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-s.gateChanged:
		}
		timer.Stop()
	}
	return nil
}

// checkGate checks the gate once and returns the time to wait until the next check.
func (s *Server) checkGate() time.Duration {
	at := s.leaseStatus()
	s.mu.Lock()
	assigned, _, _ := s.gate.AssignedReplica()
	err := s.gate.CheckRun(at)
	acceptErr := s.gate.CheckAccept(at, assigned.ID, assigned.Fence)
	delay := maxCheckInterval
	if expiry := s.gate.HeartbeatExpiry(); err == nil && !expiry.IsZero() {
		delay = min(delay, expiry.Sub(at.Now))
	}
	if at.Leased {
		delay = min(delay, s.session.LeaseRemaining())
	}
	wasOpen := s.gateOpen
	s.gateOpen = acceptErr == nil
	changed := wasOpen != s.gateOpen
	s.mu.Unlock()
	s.cancelGenerations(err)
	if changed {
		s.session.Renew()
		s.logGateChange(acceptErr)
	}
	return max(delay, minCheckInterval)
}

func (s *Server) logGateChange(err error) {
	s.mu.Lock()
	assigned, _, _ := s.gate.AssignedReplica()
	s.mu.Unlock()
	if err == nil {
		event.GateOpened.On(s.opts.Logger).Str("replica", string(assigned.ID)).Uint64("fence", uint64(assigned.Fence)).Msg("")
		return
	}
	var closed gate.ErrClosed
	closed, _ = err.(gate.ErrClosed) //nolint:errorlint // CheckAccept returns it unwrapped.
	event.GateClosed.On(s.opts.Logger).Str("replica", string(assigned.ID)).Uint64("fence", uint64(assigned.Fence)).
		Str("code", closed.Code).Str("reason", closed.Reason).Msg("")
}
