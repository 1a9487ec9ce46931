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

// requestPush makes runPushes send the latest changes soon. It does not block.
func (s *session) requestPush() {
	select {
	case s.pushRequested <- struct{}{}:
	default:
	}
}

// endWith ends the session and sends the daemon the reason. The daemon closes the stream when it
// has read the message.
func (s *session) endWith(m message.Message) {
	s.ending.Store(true)
	go func() {
		_ = s.stream.Send(m)
		_ = s.stream.CloseSend()
	}()
}

// runPushes sends changes to the daemon until ctx ends. Each session has its own goroutine, so that
// a daemon that does not read blocks no other.
func (s *session) runPushes(ctx context.Context) {
	for {
		if s.pushAll(ctx) != nil && !s.ending.Load() {
			s.stream.Cancel()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-s.pushRequested:
		}
	}
}

// pushAll sends the configuration and then, by role, the view or the orders.
func (s *session) pushAll(ctx context.Context) error {
	if s.ending.Load() {
		return nil
	}
	s.configMu.Lock()
	_, err := s.pushConfig(0)
	s.configMu.Unlock()
	if err != nil {
		return err
	}
	if s.role == host.RoleEntry {
		return s.pushView(ctx)
	}
	return s.pushOrders()
}

// pushConfig sends the latest configuration unless the daemon has it, and returns its revision.
// confirmed is the revision that the daemon has reported, or 0. The caller holds configMu.
func (s *session) pushConfig(confirmed view.Revision) (view.Revision, error) {
	revision, yaml := s.leader.latestConfig()
	s.sentRevision = max(s.sentRevision, confirmed)
	if revision <= s.sentRevision {
		return revision, nil
	}
	if err := s.stream.Send(&message.ConfigPush{Revision: revision, YAML: yaml}); err != nil {
		return 0, err
	}
	s.sentRevision = revision
	return revision, nil
}

// pushView sends the changes of the view to an entry. Two pushes are at least MinViewInterval
// apart, and at least MinLoadInterval if only loads have changed.
func (s *session) pushView(ctx context.Context) error {
	if wait := s.leader.server.timing.MinViewInterval - time.Since(s.viewSentAt); wait > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
	s.leader.mu.Lock()
	current := s.leader.view
	tooSoonForLoads := current.structureVersion <= s.sentViewVersion && time.Since(s.viewSentAt) < s.leader.server.timing.MinLoadInterval
	if !current.ready || current.version == s.sentViewVersion || tooSoonForLoads {
		s.leader.mu.Unlock()
		return nil
	}
	push := current.changesSince(s.sentViewVersion)
	s.leader.mu.Unlock()
	s.sentViewVersion = push.View.Sequence
	s.viewSentAt = time.Now()
	return s.stream.Send(push)
}

// pushOrders sends an agent its pending orders in the order of their fencing numbers. An order that
// was sent is sent again after OrderRetryInterval.
func (s *session) pushOrders() error {
	s.leader.mu.Lock()
	pending := s.leader.orders.pending[s.info.ID]
	s.leader.mu.Unlock()
	now := time.Now()
	for _, order := range pending {
		if now.Sub(s.orderSentAt[order.ID]) < s.leader.server.timing.OrderRetryInterval {
			continue
		}
		if err := s.stream.Send(&order); err != nil {
			return err
		}
		s.orderSentAt[order.ID] = now
	}
	return nil
}

// significantState returns the part of a daemon's state whose change requires a run of reconcile,
// as text for comparison. Loads are left out.
func significantState(d *membership.Daemon) string {
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

// commandName returns the name of a command for log fields.
func commandName(c state.Command) string { return strings.TrimPrefix(fmt.Sprintf("%T", c), "state.") }
