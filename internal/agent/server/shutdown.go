package server

import (
	"context"
	"math"
	"time"

	"github.com/egretreach/egretreach/internal/agent/gate"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/process/pause"
)

// Shutdown stops the agent gracefully. It refuses new work, waits until the work in
// progress has ended and, on a member, until the head is idle. Then it releases the
// replica at the engine and says goodbye to control. It continues to refuse work until
// lateDispatchTime has passed, and until entries have received all answers. If ctx is done first, it waits no longer, so the
// attempts still in progress are cut off, and returns the error of ctx. InProgress returns their
// number.
func (s *Server) Shutdown(ctx context.Context) error {
	refusesUntil := time.Now().Add(lateDispatchTime)
	s.mu.Lock()
	s.gate.Stop()
	s.mu.Unlock()
	signal(s.gateChanged)
	s.session.Renew()
	_ = s.session.Send(&message.Goodbye{Draining: true})
	s.await(ctx, func() bool { return s.dispatchCount == 0 })
	s.awaitUnused(ctx, math.MaxUint64)
	refusesUntil = s.awaitStopKnown(ctx, refusesUntil)
	s.releaseReplica(ctx)
	_ = s.session.Goodbye()
	pause.For(ctx, time.Until(refusesUntil))
	err := s.opts.Socket.Drain(ctx)
	s.mu.Lock()
	stop := s.stop
	s.mu.Unlock()
	if stop != nil {
		stop(nil)
	}
	if err != nil {
		return err
	}
	return ctx.Err()
}

// awaitStopKnown waits until a leader knows of the planned stop, but not longer than stopKnownTimeout, and returns until
// when dispatches may arrive. A leader that is elected meanwhile hasn't got the first notice.
func (s *Server) awaitStopKnown(ctx context.Context, refusesUntil time.Time) time.Time {
	ctx, cancel := context.WithTimeout(ctx, stopKnownTimeout)
	defer cancel()
	var knownAt time.Time
	s.await(ctx, func() bool {
		knownAt = s.stopKnownAt
		return s.stoppingGrants > 1
	})
	if late := knownAt.Add(viewPushTime); late.After(refusesUntil) {
		return late
	}
	return refusesUntil
}

// InProgress returns the number of attempts in progress.
func (s *Server) InProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running)
}

// await waits until done returns true or ctx is done. The mutex is held while done is
// called, which happens again after each broadcastLocked.
func (s *Server) await(ctx context.Context, done func() bool) {
	for {
		s.mu.Lock()
		if done() {
			s.mu.Unlock()
			return
		}
		if s.stateChanged == nil {
			s.stateChanged = make(chan struct{})
		}
		changed := s.stateChanged
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// broadcastLocked makes all callers of await check their condition again.
func (s *Server) broadcastLocked() {
	if s.stateChanged != nil {
		close(s.stateChanged)
		s.stateChanged = nil
	}
}

// awaitUnused waits until no work in progress needs this host, an order with a fence
// above fence has arrived, or ctx is done.
func (s *Server) awaitUnused(ctx context.Context, fence replica.Fence) {
	unused := false
	for !unused && ctx.Err() == nil {
		s.mu.Lock()
		unused = s.unusedLocked() || s.newestFence > fence
		s.mu.Unlock()
		if !unused {
			pause.For(ctx, gate.HeartbeatInterval)
		}
	}
}

// releaseReplica leaves the host's replica and orders the engine to release it, under
// the replica's fence.
func (s *Server) releaseReplica(ctx context.Context) {
	s.mu.Lock()
	assigned, _, ok := s.gate.AssignedReplica()
	s.gate.Leave(assigned)
	s.mu.Unlock()
	if !ok || s.engine == nil {
		return
	}
	if err := s.checkOrder(assigned); err != nil {
		return
	}
	_ = s.callEngine(ctx, func(ctx context.Context) error { return s.engine.Release(ctx, assigned) })
}
