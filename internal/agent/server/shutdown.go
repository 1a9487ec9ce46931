package server

import (
	"context"

	"github.com/egretreach/egretreach/internal/agent/gate"
	"github.com/egretreach/egretreach/internal/link/message"
)

// Shutdown stops in good order: new work is refused, work in flight ends, a member
// waits until its head is idle, the replica is released and control told. It ends
// early when ctx ends; what then still runs is cut off, and Cut tells how much.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.gate.Stop()
	s.left = false
	s.mu.Unlock()
	wake(s.changed)
	s.session.Renew()
	_ = s.session.Send(&message.Goodbye{Draining: true})
	s.await(ctx, func() bool { return s.calls == 0 })
	s.awaitHead(ctx)
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

// awaitHead keeps a leaving member present until the head of its replica is idle
// or gone.
func (s *Server) awaitHead(ctx context.Context) {
	for ctx.Err() == nil {
		at := s.reading()
		s.mu.Lock()
		done := !s.gate.MayBeat(at) || s.left || at.Now.Sub(s.beatAck) > 2*gate.BeatTimeout
		s.mu.Unlock()
		if done {
			return
		}
		sleep(ctx, gate.BeatInterval)
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
