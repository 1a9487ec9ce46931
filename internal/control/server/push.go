package server

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/egretreach/egretreach/internal/control/membership"
	"github.com/egretreach/egretreach/internal/control/state"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
)

func (s *session) kick() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// end tells the daemon why its session ends. The daemon closes the stream when it
// has read that.
func (s *session) end(m message.Message) {
	s.ending.Store(true)
	go func() {
		_ = s.stream.Send(m)
		_ = s.stream.CloseSend()
	}()
}

// push sends the daemon what has changed, until ctx ends. A daemon that does not
// read holds up nobody else.
func (s *session) push(ctx context.Context) {
	for {
		if s.pushAll(ctx) != nil && !s.ending.Load() {
			s.stream.Cancel()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
	}
}

func (s *session) pushAll(ctx context.Context) error {
	if s.ending.Load() {
		return nil
	}
	s.sending.Lock()
	_, err := s.pushConfig(0)
	s.sending.Unlock()
	if err != nil {
		return err
	}
	if s.role == host.RoleEntry {
		return s.pushView(ctx)
	}
	return s.pushOrders()
}

// pushConfig sends the latest configuration if the daemon has not had it, and
// returns its revision. The caller holds sending.
func (s *session) pushConfig(confirmed view.Revision) (view.Revision, error) {
	revision, yaml := s.leader.config()
	s.held = max(s.held, confirmed)
	if revision <= s.held {
		return revision, nil
	}
	if err := s.stream.Send(&message.ConfigPush{Revision: revision, YAML: yaml}); err != nil {
		return 0, err
	}
	s.held = revision
	return revision, nil
}

// pushView sends an entry the changes of the view, at most every ViewEvery, and loads
// alone at most every LoadEvery.
func (s *session) pushView(ctx context.Context) error {
	if wait := s.leader.server.timing.ViewEvery - time.Since(s.viewAt); wait > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
	s.leader.mu.Lock()
	b := s.leader.board
	lazy := b.structure <= s.viewSent && time.Since(s.viewAt) < s.leader.server.timing.LoadEvery
	if !b.ready || b.version == s.viewSent || lazy {
		s.leader.mu.Unlock()
		return nil
	}
	push := b.since(s.viewSent)
	s.leader.mu.Unlock()
	s.viewSent = push.View.Sequence
	s.viewAt = time.Now()
	return s.stream.Send(push)
}

// pushOrders sends an agent the orders that it has not done, in the order of their
// fencing numbers.
func (s *session) pushOrders() error {
	s.leader.mu.Lock()
	wanted := s.leader.orders.wanted[s.info.ID]
	s.leader.mu.Unlock()
	now := time.Now()
	for _, order := range wanted {
		if now.Sub(s.orderAt[order.ID]) < s.leader.server.timing.OrderRetry {
			continue
		}
		if err := s.stream.Send(&order); err != nil {
			return err
		}
		s.orderAt[order.ID] = now
	}
	return nil
}

// changesOf sums up what of a daemon's renewal calls for a look at the fleet; its
// loads do not.
func changesOf(d *membership.Daemon) string {
	if d == nil {
		return ""
	}
	var b strings.Builder
	fmt.Fprint(&b, d.Alive, d.Renewed, d.EngineHealthy)
	for _, h := range d.Held {
		fmt.Fprint(&b, " ", h.Replica, h.Fence, h.Loaded, h.Serving, h.Missing)
	}
	return b.String()
}

// commandName returns the name of a command for the log.
func commandName(c state.Command) string { return strings.TrimPrefix(fmt.Sprintf("%T", c), "state.") }
