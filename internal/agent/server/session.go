package server

import (
	"context"
	"time"

	"github.com/egretreach/egretreach/internal/agent/gate"
	"github.com/egretreach/egretreach/internal/fleet/config"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/session"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

var _ session.Daemon = (*Server)(nil)

// Announce implements session.Daemon.
func (s *Server) Announce() message.Announce {
	return message.Announce{Role: host.RoleAgent, Info: s.opts.Info, Held: s.heldReplicas()}
}

// Renewal implements session.Daemon.
func (s *Server) Renewal() message.Renewal {
	held := s.heldReplicas()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stoppingRenewed = s.gate.Stopping()
	return message.Renewal{EngineHealthy: s.engine == nil || s.gate.EngineHealthy(), Held: held, Stopping: s.stoppingRenewed}
}

func (s *Server) heldReplicas() []message.HeldReplica {
	at := s.leaseStatus()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.HeldReplicas(at, s.engineLoad)
}

// ApplyConfig implements session.Daemon.
func (s *Server) ApplyConfig(_ view.Revision, yaml []byte) error {
	if s.opts.CheckConfig != nil {
		if err := s.opts.CheckConfig(yaml); err != nil {
			return err
		}
	}
	fleet, err := config.Parse("accepted configuration", yaml)
	if err != nil {
		event.ConfigUnreadable.On(s.opts.Logger).Err(err).Msg("")
		return nil // CheckConfig decides which configurations are accepted.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet = fleet
	return nil
}

// OnGrant implements session.Daemon.
func (s *Server) OnGrant(message.LeaseGrant) {
	signal(s.gateChanged)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkWithdrawalLocked(time.Now())
	if s.stoppingRenewed {
		s.stoppingGrants++
		s.stopKnownAt = time.Now()
	}
	s.broadcastLocked()
}

// OnWelcome implements session.Daemon.
func (s *Server) OnWelcome(w message.Welcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stoppingGrants = 0
	s.gate.SetFenceFloor(w.FenceFloor)
}

// OnMessage implements session.Daemon.
func (s *Server) OnMessage(_ context.Context, m message.Message) {
	switch m := m.(type) {
	case *message.Order:
		s.enqueueOrder(m)
	case *message.Failure:
		if m.Code == codeSuperseded {
			s.handleSuperseded(m.Reason)
		}
	}
}

// enqueueOrder adds an order to the queue. It must not block the session, so it drops
// the order if the queue is full. Control sends a dropped order again.
func (s *Server) enqueueOrder(o *message.Order) {
	s.mu.Lock()
	s.newestFence = max(s.newestFence, o.Replica.Fence)
	s.broadcastLocked()
	s.mu.Unlock()
	select {
	case s.orders <- o:
	default:
		event.OrderDropped.On(s.opts.Logger).Uint64("order", o.ID).Str("reason", "too many orders wait").Msg("")
	}
}

// handleSuperseded stops serving at once, because another agent process has taken
// over the host. It cancels the generations in progress at once. Service calls have
// supersededTimeout to end before Run returns.
func (s *Server) handleSuperseded(reason string) {
	event.AgentSuperseded.On(s.opts.Logger).Str("reason", reason).Msg("")
	s.mu.Lock()
	s.gate.Stop()
	stop := s.stop
	s.mu.Unlock()
	s.cancelGenerations(gate.ErrClosed{Code: codeSuperseded, Reason: reason})
	go func() {
		ctx, cancel := context.WithTimeout(s.runContext(), supersededTimeout)
		defer cancel()
		s.await(ctx, func() bool { return s.dispatchCount == 0 })
		_ = s.opts.Socket.Drain(ctx)
		stop(ErrSuperseded{Reason: reason})
	}()
}
