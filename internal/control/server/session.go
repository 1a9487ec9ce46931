package server

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/egretreach/egretreach/internal/control/state"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// processKey identifies one incarnation of a daemon.
type processKey struct {
	host        host.ID
	incarnation host.Incarnation
}

// session is a daemon's session with this leader.
type session struct {
	leader        *leader
	stream        *transport.Stream
	role          host.Role
	info          host.Info
	pushRequested chan struct{}
	// grants are the answers to renewals that wait for a confirmation.
	grants chan pendingGrant
	// ending is set when the daemon has been notified that the session ends. Later frames are dropped.
	ending atomic.Bool

	// configMu guards sentRevision. It is held while a grant is sent, so that a grant never
	// precedes the configuration whose revision it names.
	configMu sync.Mutex
	// sentRevision is the latest revision that the daemon has confirmed or been sent.
	sentRevision view.Revision

	// The fields below are used by runPushes only.
	sentViewVersion uint64
	viewSentAt      time.Time
	orderSentAt     map[uint64]time.Time
}

// serveSession serves a daemon until its stream ends or the session is ended.
func (s *Server) serveSession(ctx context.Context, stream *transport.Stream, m *message.Announce) {
	if refusal := s.refuseAnnounce(stream, m); refusal != nil {
		_ = stream.Answer(refusal)
		return
	}
	l := s.leader.Load()
	if l == nil || s.stopping.Load() {
		_ = stream.Answer(s.notLeader())
		return
	}
	if err := l.confirmLeadership(ctx); err != nil {
		_ = stream.Answer(s.failureMessage(err))
		return
	}
	session, refusal := l.openSession(stream, m)
	if refusal != nil {
		_ = stream.Answer(refusal)
		return
	}
	defer l.sessionEnded(session)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer stream.Cancel() // It discards what was sent, as for a session that is over.
	if m.Renewal != nil && session.renewFirst(*m.Renewal) != nil {
		return
	}
	go session.runPushes(ctx)
	go session.sendGrants(ctx)
	l.requestReconcile()
	session.receive(ctx)
}

// refuseAnnounce returns the answer to an announcement that the certificate does not allow or that
// has no incarnation, and nil for any other.
func (s *Server) refuseAnnounce(stream *transport.Stream, m *message.Announce) message.Message {
	peer := stream.Peer()
	if m.Role != peer.Role || m.Info.ID != peer.Host {
		return &message.Failure{Code: codeForbidden, Reason: "the certificate names another role or host"}
	}
	if m.Info.Incarnation == 0 {
		return &message.Failure{Code: codeMalformed, Reason: "a daemon needs an incarnation"}
	}
	return nil
}

// openSession sends the welcome and registers the session, in place of an earlier one of the same
// process. If the announcement is refused, it returns the answer instead.
func (l *leader) openSession(stream *transport.Stream, m *message.Announce) (*session, message.Message) {
	recorded := l.replicatedHost(m.Info.ID)
	for _, former := range recorded.FormerIncarnations {
		if former == m.Info.Incarnation {
			return nil, supersededFailure()
		}
	}
	session := &session{
		leader: l, stream: stream, role: m.Role, info: m.Info, sentRevision: m.Revision,
		pushRequested: make(chan struct{}, 1), grants: make(chan pendingGrant, maxPendingGrants), orderSentAt: map[uint64]time.Time{},
	}
	welcome := &message.Welcome{
		Epoch: l.term, LeaseTTL: l.server.timing.LeaseTTL, RenewInterval: l.server.timing.RenewInterval,
		FenceFloor: recorded.FenceFloor,
	}
	if err := stream.Send(welcome); err != nil {
		return nil, l.server.failureMessage(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if old := l.sessions[session.key()]; old != nil {
		old.stream.Cancel()
	}
	l.table.Announce(time.Now(), m.Role, m.Info)
	l.sessions[session.key()] = session
	event.DaemonAnnounced.On(l.server.opts.Logger).Str("host", string(m.Info.ID)).
		Str("role", string(m.Role)).Uint64("incarnation", uint64(m.Info.Incarnation)).Msg("")
	return session, nil
}

func supersededFailure() *message.Failure {
	return &message.Failure{Code: codeSuperseded, Reason: "a later process has taken this host's place"}
}

func (s *session) key() processKey {
	return processKey{host: s.info.ID, incarnation: s.info.Incarnation}
}

// replicatedHost returns the host in the replicated state, or the zero value if it is not admitted.
func (l *leader) replicatedHost(id host.ID) state.Host {
	var h state.Host
	l.server.store.read(func(m *state.Machine) { h, _ = m.Host(id) })
	return h
}

// sessionEnded drops a session that has ended, unless a later one of the process has replaced it.
func (l *leader) sessionEnded(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sessions[s.key()] == s {
		delete(l.sessions, s.key())
		l.table.SessionEnded(s.info.ID, s.info.Incarnation)
	}
}

// receive handles the daemon's frames until the stream ends or nothing arrives for two lease TTLs.
func (s *session) receive(ctx context.Context) {
	for {
		_ = s.stream.SetReadDeadline(time.Now().Add(2 * s.leader.server.timing.LeaseTTL))
		m, err := s.stream.Receive()
		if err != nil {
			return
		}
		if s.ending.Load() {
			continue
		}
		if err := s.handleMessage(ctx, m); err != nil && !s.ending.Load() {
			return
		}
	}
}

func (s *session) handleMessage(ctx context.Context, m message.Message) error {
	switch m := m.(type) {
	case *message.Renew:
		for _, r := range m.Renewals {
			if err := s.renew(ctx, r); err != nil {
				return err
			}
		}
	case *message.OrderDone:
		s.leader.orderDone(s, *m)
	case *message.Goodbye:
		s.leader.goodbye(s, m.Draining)
	default:
		event.FrameRejected.On(s.leader.server.opts.Logger).Str("peer", s.stream.Peer().String()).
			Str("reason", "not a frame of a daemon's session").Msg("")
	}
	return nil
}

// renew records what a renewal reports, which counts at once. Its lease is granted once a majority confirms that this host is
// still the leader: later renewals must not wait for that.
func (s *session) renew(ctx context.Context, r message.Renewal) error {
	g, err := s.recordRenewal(r)
	if err != nil {
		return err
	}
	select {
	case s.grants <- g:
	case <-ctx.Done():
	}
	return nil
}

// renewFirst is renew for the renewal in an announcement, after which the leadership was confirmed.
func (s *session) renewFirst(r message.Renewal) error {
	g, err := s.recordRenewal(r)
	if err != nil {
		return err
	}
	return s.sendGrant(g)
}

// recordRenewal records a renewal if it is of the admitted incarnation.
func (s *session) recordRenewal(r message.Renewal) (pendingGrant, error) {
	if err := s.checkProcess(r); err != nil {
		return pendingGrant{}, err
	}
	grant, granted := s.leader.recordRenewal(s, r)
	return pendingGrant{renewal: r, grant: grant, granted: granted}, nil
}

func (s *session) checkProcess(r message.Renewal) error {
	if r.Host != s.info.ID || r.Incarnation != s.info.Incarnation {
		return ErrFailure{Code: codeForbidden, Reason: "a renewal for another process"}
	}
	return nil
}

// recordRenewal records a renewal and requests a run of reconcile if the state of the daemon has
// changed. It reports whether the lease is granted, and for an entry returns its shares of the
// limits of the teams and the requests that it must hold back.
func (l *leader) recordRenewal(s *session, r message.Renewal) (message.LeaseGrant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := significantState(l.table.Daemon(s.info.ID))
	now := time.Now()
	if !l.table.Renew(now, r) {
		return message.LeaseGrant{}, false
	}
	if before != significantState(l.table.Daemon(s.info.ID)) {
		l.requestReconcile()
	}
	if s.role != host.RoleEntry {
		return message.LeaseGrant{}, true
	}
	return message.LeaseGrant{Shares: l.quota.Renew(now, r), Holds: l.recordEvidence(s.info.ID, r.Evidence, now)}, true
}

func (l *leader) orderDone(s *session, done message.OrderDone) {
	l.mu.Lock()
	l.orders.recordReport(s.info.ID, s.info.Incarnation, done)
	l.mu.Unlock()
	if !done.OK {
		event.OrderNotDone.On(l.server.opts.Logger).Str("host", string(s.info.ID)).
			Uint64("order", done.ID).Str("reason", done.Error).Msg("")
	}
	l.requestReconcile()
}

func (l *leader) goodbye(s *session, draining bool) {
	l.mu.Lock()
	l.table.Goodbye(time.Now(), s.info.ID, s.info.Incarnation, draining)
	if !draining {
		l.quota.Remove(s.info.ID)
	}
	l.mu.Unlock()
	event.DaemonLeft.On(l.server.opts.Logger).Str("host", string(s.info.ID)).Bool("draining", draining).Msg("")
	l.requestReconcile()
}
