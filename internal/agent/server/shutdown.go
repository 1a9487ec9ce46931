package server

import (
	"context"
	"math"

	"github.com/egretreach/egretreach/internal/agent/gate"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/process/pause"
)

// Shutdown stops the agent gracefully. It refuses new work, waits until the work in
// progress has ended and, on a member, until the head is idle. Then it releases the
// replica at the engine and says goodbye to control. If ctx is done first, it stops
// at once and returns the error of ctx; InProgress returns the number of attempts that are
// still in progress.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.gate.Stop()
	s.mu.Unlock()
	wake(s.changed)
	s.session.Renew()
	_ = s.session.Send(&message.Goodbye{Draining: true})
	s.await(ctx, func() bool { return s.calls == 0 })
	s.awaitUnused(ctx, math.MaxUint64)
	s.releaseOwn(ctx)
	_ = s.session.Goodbye()
	s.mu.Lock()
	stop := s.stop
	s.mu.Unlock()
	if stop != nil {
		stop(nil)
	}
	return ctx.Err()
}

// InProgress returns the number of attempts in progress.
func (s *Server) InProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running)
}

// await waits until done returns true or ctx is done. Done is called with the mutex
// held, and again after each notifyLocked.
func (s *Server) await(ctx context.Context, done func() bool) {
	for {
		s.mu.Lock()
		if done() {
			s.mu.Unlock()
			return
		}
		if s.ended == nil {
			s.ended = make(chan struct{})
		}
		ended := s.ended
		s.mu.Unlock()
		select {
		case <-ended:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) notifyLocked() {
	if s.ended != nil {
		close(s.ended)
		s.ended = nil
	}
}

// awaitUnused waits until no work in progress needs this host, an order with a fence
// above newer has arrived, or ctx is done.
func (s *Server) awaitUnused(ctx context.Context, newer replica.Fence) {
	unused := false
	for !unused && ctx.Err() == nil {
		s.mu.Lock()
		unused = s.unusedLocked() || s.newest > newer
		s.mu.Unlock()
		if !unused {
			pause.For(ctx, gate.HeartbeatInterval)
		}
	}
}

// releaseOwn leaves the host's replica and orders the engine to release it, under
// the replica's fence.
func (s *Server) releaseOwn(ctx context.Context) {
	s.mu.Lock()
	place, _, ok := s.gate.AssignedReplica()
	s.gate.Leave(place)
	s.mu.Unlock()
	if !ok || s.engine == nil {
		return
	}
	if err := s.mayPass(place); err != nil {
		return
	}
	_ = s.callEngine(ctx, func(ctx context.Context) error { return s.engine.Release(ctx, place) })
}
