package server

import (
	"context"
	"math"

	"github.com/egretreach/egretreach/internal/agent/gate"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/process/pause"
)

// Shutdown stops in good order: new work is refused, work in flight ends, a member
// waits until its head is idle, the replica is released and control told. It ends
// early when ctx ends; what then still runs is cut off, and Cut tells how much.
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

// Cut returns the number of attempts in progress.
func (s *Server) Cut() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running)
}

// await waits until done holds, which is asked under the lock, or ctx ends.
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

// awaitUnused keeps the host in its replica until nothing there needs it, or an
// order with a fence above newer has come.
func (s *Server) awaitUnused(ctx context.Context, newer replica.Fence) {
	unused := false
	for !unused && ctx.Err() == nil {
		s.mu.Lock()
		unused = s.unusedLocked() || s.newest > newer
		s.mu.Unlock()
		if !unused {
			pause.For(ctx, gate.BeatInterval)
		}
	}
}

// releaseOwn frees the engine under the fence that the host holds.
func (s *Server) releaseOwn(ctx context.Context) {
	s.mu.Lock()
	place, _, ok := s.gate.Place()
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
