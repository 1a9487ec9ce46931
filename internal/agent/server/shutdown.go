package server

import (
	"context"
	"time"

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
	s.awaitIdle(ctx, 0)
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

// awaitIdle waits until nothing runs here, for at most limit if it is not 0.
func (s *Server) awaitIdle(ctx context.Context, limit time.Duration) {
	if limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	for {
		s.mu.Lock()
		if s.calls == 0 {
			s.mu.Unlock()
			return
		}
		if s.idle == nil {
			s.idle = make(chan struct{})
		}
		idle := s.idle
		s.mu.Unlock()
		select {
		case <-idle:
		case <-ctx.Done():
			return
		}
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
