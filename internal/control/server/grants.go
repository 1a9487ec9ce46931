package server

import (
	"context"

	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// maxPendingGrants bounds the grants of a session that wait for a confirmation. A daemon renews again long before.
const maxPendingGrants = 64

// pendingGrant is the answer to a renewal that waits for the confirmation that this host still leads. If granted is false no
// lease is granted.
type pendingGrant struct {
	renewal message.Renewal
	grant   message.LeaseGrant
	granted bool
}

// sendGrants sends the pending grants until ctx ends. Those that wait at the same time share a confirmation. Without one the
// session ends.
func (s *session) sendGrants(ctx context.Context) {
	for {
		waiting := s.takeGrants(ctx)
		if len(waiting) == 0 {
			return
		}
		err := s.confirmAndSend(ctx, waiting)
		if err != nil && ctx.Err() == nil && !s.ending.Load() {
			event.GrantUnsure.On(s.leader.server.opts.Logger).Str("host", string(s.info.ID)).
				Uint64("sequence", waiting[len(waiting)-1].renewal.Sequence).Err(err).Msg("")
			s.stream.Cancel()
			return
		}
	}
}

// takeGrants waits for a pending grant and returns it with all others, or none if ctx has ended.
func (s *session) takeGrants(ctx context.Context) []pendingGrant {
	var waiting []pendingGrant
	select {
	case <-ctx.Done():
		return nil
	case g := <-s.grants:
		waiting = append(waiting, g)
	}
	for {
		select {
		case g := <-s.grants:
			waiting = append(waiting, g)
		default:
			return waiting
		}
	}
}

func (s *session) confirmAndSend(ctx context.Context, waiting []pendingGrant) error {
	if err := s.leader.confirmLeadership(ctx); err != nil {
		return err
	}
	for _, g := range waiting {
		if err := s.sendGrant(g); err != nil {
			return err
		}
	}
	return nil
}

// sendGrant sends the grant of a renewal, or an empty one, after the configuration that it names.
func (s *session) sendGrant(g pendingGrant) error {
	if !g.granted {
		// An empty grant informs the daemon that the leader is alive but grants no lease.
		return s.stream.Send(&message.Grant{})
	}
	s.configMu.Lock()
	defer s.configMu.Unlock()
	revision, err := s.pushConfig(g.renewal.Revision)
	if err != nil {
		return err
	}
	grant := g.grant
	grant.Host, grant.Sequence, grant.Revision = g.renewal.Host, g.renewal.Sequence, revision
	grant.Evacuated = s.leader.evacuated().OrNil()
	return s.stream.Send(&message.Grant{Grants: []message.LeaseGrant{grant}})
}
