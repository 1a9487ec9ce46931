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

// reloadOrder is the ID of an order that the agent gives itself, to load its replica
// again. Its result is not reported to control.
const reloadOrder = math.MaxUint64

// carryOut executes the queued orders one at a time, in the order of arrival.
func (s *Server) carryOut(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case o := <-s.orders:
			s.execute(ctx, o)
		}
	}
}

// execute executes one order. The first orders of a session may arrive before the
// first lease grant, so it first waits up to leaseWait for a valid lease.
func (s *Server) execute(ctx context.Context, o *message.Order) {
	waiting, cancel := context.WithTimeout(ctx, leaseWait)
	s.await(waiting, func() bool { return s.reading().Leased })
	cancel()
	switch o.Action {
	case message.OrderLoad:
		s.executeLoad(ctx, o)
	case message.OrderRelease:
		s.executeRelease(ctx, o)
	case message.OrderDrain:
		s.executeDrain(ctx, o)
	default:
		s.done(o.ID, "unknown action")
	}
}

// executeLoad joins the replica before it calls the engine, so that work and
// heartbeats for the previous replica end first.
func (s *Server) executeLoad(ctx context.Context, o *message.Order) {
	at := s.reading()
	s.mu.Lock()
	err := s.gate.CheckLoad(at, o.Replica)
	if err == nil {
		s.gate.Join(o.Replica, o.Addresses)
		s.loading = o.ID
		s.notifyLocked()
	}
	s.mu.Unlock()
	if err != nil {
		s.dropOrder(o, err)
		return
	}
	wake(s.changed)
	head := o.Replica.Head() == s.opts.Info.ID
	err = s.pass(ctx, o, func(ctx context.Context) error { return s.engine.Load(ctx, o.Replica, head) })
	if err == nil {
		wake(s.polled)
	}
}

func (s *Server) executeRelease(ctx context.Context, o *message.Order) {
	if err := s.mayPass(o.Replica); err != nil {
		s.dropOrder(o, err)
		return
	}
	s.drainPlace(o.Replica)
	waiting, cancel := context.WithTimeout(ctx, releaseWait)
	s.awaitUnused(waiting, o.Replica.Fence)
	cancel()
	// The lease or the fence may have changed during the wait.
	at := s.reading()
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
	wake(s.changed)
	err = s.pass(ctx, o, func(ctx context.Context) error { return s.engine.Release(ctx, o.Replica) })
	if err == nil {
		s.done(o.ID, "")
		s.session.Renew()
	}
}

func (s *Server) executeDrain(ctx context.Context, o *message.Order) {
	if err := s.mayPass(o.Replica); err != nil {
		s.dropOrder(o, err)
		return
	}
	s.drainPlace(o.Replica)
	s.session.Renew()
	go func() {
		s.await(ctx, func() bool { return s.generationsLocked() == 0 })
		s.done(o.ID, "")
	}()
}

func (s *Server) drainPlace(r replica.Replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if place, _, ok := s.gate.AssignedReplica(); ok && place.ID == r.ID {
		s.gate.Drain()
	}
}

func (s *Server) mayPass(r replica.Replica) error {
	at := s.reading()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.CheckOrder(at, r)
}

// pass calls the engine for an order, up to orderTries times. It checks the order
// again just before each try, since the process may have been paused after the last
// check.
func (s *Server) pass(ctx context.Context, o *message.Order, call func(context.Context) error) error {
	var err error
	for range orderTries {
		if err = s.mayPass(o.Replica); err != nil {
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
	s.done(o.ID, err.Error())
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
	s.done(o.ID, err.Error())
}

// done reports the result of an order to control. An empty reason means success. If
// the report is lost, control learns the result from renewals.
func (s *Server) done(id uint64, reason string) {
	s.mu.Lock()
	if s.loading == id {
		s.loading = 0
	}
	s.mu.Unlock()
	if id == reloadOrder {
		return
	}
	_ = s.session.Send(&message.OrderDone{ID: id, OK: reason == "", Error: reason})
}
