package session

import (
	"context"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/process/clock"
)

func (s *Session) forgetPendingRenewals() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease.ForgetPending()
}

func (s *Session) renewPeriodically(ctx context.Context, stream *transport.Stream, every time.Duration) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		if s.sendRenewal(stream) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.renewNow:
		}
	}
}

func (s *Session) sendRenewal(stream *transport.Stream) error {
	if s.isStopping() {
		return nil
	}
	renewal := s.newRenewal(s.opts.Daemon.Announce().Info)
	return stream.Send(&message.Renew{Renewals: []message.Renewal{renewal}})
}

// newRenewal returns a renewal of the lease that is sent now.
func (s *Session) newRenewal(self host.Info) message.Renewal {
	renewal := s.opts.Daemon.Renewal()
	s.mu.Lock()
	defer s.mu.Unlock()
	renewal.Host, renewal.Incarnation = self.ID, self.Incarnation
	renewal.Revision = s.revision
	renewal.Sequence = s.lease.RecordRenewal(clock.Now())
	return renewal
}

// Evacuated returns the evacuated failure domains. While the lease is valid, they are at least those of the time at
// which the renewal of the lease was sent: a grant and the set in it take effect together.
func (s *Session) Evacuated() view.Evacuated {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuated
}

// LearnEvacuated takes over a set that control has pushed, unless the one in force is at least as new. The set may
// be nil.
func (s *Session) LearnEvacuated(pushed *view.Evacuated) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuated = s.evacuated.Newest(pushed)
}

func (s *Session) applyGrants(m *message.Grant, ttl time.Duration) {
	self := s.opts.Daemon.Announce().Info.ID
	for _, g := range m.Grants {
		if g.Host != self {
			continue
		}
		s.mu.Lock()
		known := s.lease.ApplyGrant(g.Sequence, ttl, g.Revision)
		if known {
			s.granted = max(s.granted, g.Sequence)
			s.evacuated = s.evacuated.Newest(g.Evacuated)
			s.notifyGrantsLocked()
		}
		s.mu.Unlock()
		if known {
			s.opts.Daemon.OnGrant(g)
		}
	}
}
