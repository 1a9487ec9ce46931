package server

import (
	"context"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/config"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
)

// Announce implements session.Daemon.
func (s *Server) Announce() message.Announce {
	return message.Announce{Role: host.RoleEntry, Info: host.Info{
		ID: s.opts.Host, Incarnation: s.incarnation, FailureDomain: s.opts.FailureDomain,
		Address: s.opts.Link.Address().String(),
	}}
}

// Renewal implements session.Daemon.
func (s *Server) Renewal() message.Renewal {
	if !s.session.Valid() {
		s.scheduler.dropShares()
	}
	return s.scheduler.renewal(time.Now())
}

// ApplyConfig implements session.Daemon.
func (s *Server) ApplyConfig(revision view.Revision, yaml []byte) error {
	fleet, err := config.Parse("accepted configuration", yaml)
	if err != nil {
		return err
	}
	s.scheduler.setFleet(revision, fleet)
	return nil
}

// OnGrant implements session.Daemon.
func (s *Server) OnGrant(grant message.LeaseGrant) {
	s.evacuationLearned()
	if grant.Shares != nil {
		s.scheduler.setShares(time.Now(), grant.Shares)
	}
	if grant.Holds != nil {
		s.scheduler.setHolds(*grant.Holds)
	}
}

// OnWelcome implements session.Daemon. The control host may be a new leader, to which the crashes must be reported.
func (s *Server) OnWelcome(message.Welcome) { s.scheduler.resubscribed() }

// OnMessage implements session.Daemon.
func (s *Server) OnMessage(_ context.Context, m message.Message) {
	if push, ok := m.(*message.ViewPush); ok {
		s.session.LearnEvacuated(push.View.Evacuated)
		s.evacuationLearned()
		s.scheduler.applyView(time.Now(), push)
	}
}
