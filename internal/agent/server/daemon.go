package server

import (
	"context"

	"github.com/egretreach/egretreach/internal/agent/gate"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/session"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

var _ session.Daemon = (*Server)(nil)

// Announce implements session.Daemon.
func (s *Server) Announce() message.Announce {
	return message.Announce{Role: host.RoleAgent, Info: s.opts.Info, Held: s.held()}
}

// Renewal implements session.Daemon.
func (s *Server) Renewal() message.Renewal {
	held := s.held()
	s.mu.Lock()
	defer s.mu.Unlock()
	return message.Renewal{EngineHealthy: s.engine == nil || s.gate.EngineHealthy(), Held: held}
}

func (s *Server) held() []message.HeldReplica {
	at := s.reading()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.HeldReplicas(at, s.load)
}

// ApplyConfig implements session.Daemon.
func (s *Server) ApplyConfig(_ view.Revision, yaml []byte) error {
	if s.opts.CheckConfig == nil {
		return nil
	}
	return s.opts.CheckConfig(yaml)
}

// OnGrant implements session.Daemon.
func (s *Server) OnGrant(message.LeaseGrant) {
	wake(s.changed)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyLocked()
}

// OnWelcome implements session.Daemon.
func (s *Server) OnWelcome(w message.Welcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.SetFenceFloor(w.FenceFloor)
}

// OnMessage implements session.Daemon.
func (s *Server) OnMessage(_ context.Context, m message.Message) {
	switch m := m.(type) {
	case *message.Order:
		s.queue(m)
	case *message.Failure:
		if m.Code == codeSuperseded {
			s.superseded(m.Reason)
		}
	}
}

// queue adds an order to the queue. It must not block the session, so it drops the
// order if the queue is full. Control sends a dropped order again.
func (s *Server) queue(o *message.Order) {
	s.mu.Lock()
	s.newest = max(s.newest, o.Replica.Fence)
	s.notifyLocked()
	s.mu.Unlock()
	select {
	case s.orders <- o:
	default:
		event.OrderDropped.On(s.opts.Logger).Uint64("order", o.ID).Str("reason", "too many orders wait").Msg("")
	}
}

// superseded stops serving at once, because another agent process has taken over
// the host. Calls in progress have supersededWait to end.
func (s *Server) superseded(reason string) {
	event.AgentSuperseded.On(s.opts.Logger).Str("reason", reason).Msg("")
	s.mu.Lock()
	s.gate.Stop()
	stop := s.stop
	s.mu.Unlock()
	s.failOver(gate.ErrClosed{Code: codeSuperseded, Reason: reason})
	go func() {
		ctx, cancel := context.WithTimeout(s.context(), supersededWait)
		defer cancel()
		s.await(ctx, func() bool { return s.calls == 0 })
		stop(ErrSuperseded{Reason: reason})
	}()
}
