package server

import (
	"context"
	"math"

	"github.com/egretreach/egretreach/internal/agent/engine"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/process/pause"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// reloadOrderID is the ID of an order that the agent gives itself, to load its
// replica again. Its result is not reported to control.
const reloadOrderID = math.MaxUint64

// processOrders executes the queued orders one at a time, in the order of arrival.
func (s *Server) processOrders(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case o := <-s.orders:
			s.executeOrder(ctx, o)
		}
	}
}

// executeOrder executes one order. The first orders of a session may arrive before
// the first lease grant, so it first waits up to firstLeaseTimeout for a valid
// lease.
func (s *Server) executeOrder(ctx context.Context, o *message.Order) {
	waitCtx, cancel := context.WithTimeout(ctx, firstLeaseTimeout)
	s.await(waitCtx, func() bool { return s.leaseStatus().Leased })
	cancel()
	switch o.Action {
	case message.OrderLoad:
		s.executeLoad(ctx, o)
	case message.OrderRelease:
		s.executeRelease(ctx, o)
	case message.OrderDrain:
		s.executeDrain(ctx, o)
	default:
		s.finishOrder(o.ID, "unknown action")
	}
}

// executeLoad joins the replica before it calls the engine, so that work and
// heartbeats for the previous replica end first.
func (s *Server) executeLoad(ctx context.Context, o *message.Order) {
	at := s.leaseStatus()
	s.mu.Lock()
	err := s.gate.CheckLoad(at, o.Replica)
	if err == nil {
		s.gate.Join(o.Replica, o.Addresses)
		s.loadingOrder = o.ID
		s.broadcastLocked()
	}
	s.mu.Unlock()
	if err != nil {
		s.dropOrder(o, err)
		return
	}
	signal(s.gateChanged)
	head := o.Replica.Head() == s.opts.Info.ID
	err = s.sendOrder(ctx, o, func(ctx context.Context) error { return s.engine.Load(ctx, o.Replica, head) })
	if err == nil {
		signal(s.pollRequested)
	}
}

func (s *Server) executeRelease(ctx context.Context, o *message.Order) {
	if err := s.checkOrder(o.Replica); err != nil {
		s.dropOrder(o, err)
		return
	}
	s.drainReplica(o.Replica)
	waitCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	s.awaitUnused(waitCtx, o.Replica.Fence)
	cancel()
	// The lease or the fence may have changed during the wait.
	at := s.leaseStatus()
	s.mu.Lock()
	err := s.gate.CheckOrder(at, o.Replica)
	if err == nil {
		s.gate.Leave(o.Replica)
	}
	s.mu.Unlock()
	if err != nil {
		s.dropOrder(o, err)
		return
	}
	signal(s.gateChanged)
	err = s.sendOrder(ctx, o, func(ctx context.Context) error { return s.engine.Release(ctx, o.Replica) })
	if err == nil {
		s.finishOrder(o.ID, "")
		s.session.Renew()
	}
}

func (s *Server) executeDrain(ctx context.Context, o *message.Order) {
	if err := s.checkOrder(o.Replica); err != nil {
		s.dropOrder(o, err)
		return
	}
	s.drainReplica(o.Replica)
	s.session.Renew()
	go func() {
		s.await(ctx, func() bool { return s.generationsLocked() == 0 })
		s.finishOrder(o.ID, "")
	}()
}

func (s *Server) drainReplica(r replica.Replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if assigned, _, ok := s.gate.AssignedReplica(); ok && assigned.ID == r.ID {
		s.gate.Drain()
	}
}

func (s *Server) checkOrder(r replica.Replica) error {
	at := s.leaseStatus()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.CheckOrder(at, r)
}

// sendOrder calls the engine for an order, up to orderTries times. It checks the
// order again just before each try, since the process may have been paused after
// the last check.
func (s *Server) sendOrder(ctx context.Context, o *message.Order, call func(context.Context) error) error {
	var err error
	for range orderTries {
		if err = s.checkOrder(o.Replica); err != nil {
			s.dropOrder(o, err)
			return err
		}
		if err = s.callEngine(ctx, call); err == nil {
			event.OrderPassed.On(s.opts.Logger).Uint64("order", o.ID).Str("action", string(o.Action)).
				Str("replica", string(o.Replica.ID)).Uint64("fence", uint64(o.Replica.Fence)).Msg("")
			return nil
		}
		if engine.IsErrRefused(err) || !pause.For(ctx, orderRetryDelay) {
			break
		}
	}
	event.EngineOrderFailed.On(s.opts.Logger).Uint64("order", o.ID).Str("action", string(o.Action)).
		Str("replica", string(o.Replica.ID)).Uint64("fence", uint64(o.Replica.Fence)).Str("reason", err.Error()).Msg("")
	s.finishOrder(o.ID, err.Error())
	return err
}

func (s *Server) callEngine(ctx context.Context, call func(context.Context) error) error {
	if s.engine == nil {
		return engine.ErrRefused{Code: "no_engine", Reason: "this host has no engine"}
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return call(ctx)
}

func (s *Server) dropOrder(o *message.Order, err error) {
	event.OrderDropped.On(s.opts.Logger).Uint64("order", o.ID).Str("action", string(o.Action)).
		Str("replica", string(o.Replica.ID)).Uint64("fence", uint64(o.Replica.Fence)).Str("reason", err.Error()).Msg("")
	s.finishOrder(o.ID, err.Error())
}

// finishOrder reports the result of an order to control. An empty reason means
// success. If the report is lost, control learns the result from renewals.
func (s *Server) finishOrder(id uint64, reason string) {
	s.mu.Lock()
	if s.loadingOrder == id {
		s.loadingOrder = 0
	}
	s.mu.Unlock()
	if id == reloadOrderID {
		return
	}
	_ = s.session.Send(&message.OrderDone{ID: id, OK: reason == "", Error: reason})
}
