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

// process is one life of a daemon.
type process struct {
	host        host.ID
	incarnation host.Incarnation
}

// session is a daemon's session with this leader.
type session struct {
	leader *leader
	stream *transport.Stream
	role   host.Role
	info   host.Info
	wake   chan struct{}
	// ending says that the daemon has been told to leave; what it sends is not taken in.
	ending atomic.Bool

	// sending keeps a configuration in front of every grant that names it.
	sending sync.Mutex
	held    view.Revision

	viewSent uint64
	viewAt   time.Time
	orderAt  map[uint64]time.Time
}

// session serves a daemon until its stream ends.
func (s *Server) session(ctx context.Context, stream *transport.Stream, m *message.Announce) {
	if refusal := s.refuse(stream, m); refusal != nil {
		_ = stream.Send(refusal)
		return
	}
	l := s.leader.Load()
	if l == nil || s.stopping.Load() {
		_ = stream.Send(s.notLeader())
		return
	}
	if err := l.confirm(ctx); err != nil {
		_ = stream.Send(s.failure(err))
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer stream.Cancel()
	session, refusal := l.open(stream, m)
	if refusal != nil {
		_ = stream.Send(refusal)
		return
	}
	defer l.left(session)
	go session.push(ctx)
	l.kick()
	session.receive(ctx)
}

// refuse answers an announcement that the certificate does not allow.
func (s *Server) refuse(stream *transport.Stream, m *message.Announce) message.Message {
	peer := stream.Peer()
	if m.Role != peer.Role || m.Info.ID != peer.Host {
		return &message.Failure{Code: codeForbidden, Reason: "the certificate names another role or host"}
	}
	if m.Info.Incarnation == 0 {
		return &message.Failure{Code: codeMalformed, Reason: "a daemon needs an incarnation"}
	}
	return nil
}

// open registers a session and welcomes the daemon.
func (l *leader) open(stream *transport.Stream, m *message.Announce) (*session, message.Message) {
	durable := l.durableHost(m.Info.ID)
	for _, former := range durable.FormerIncarnations {
		if former == m.Info.Incarnation {
			return nil, superseded()
		}
	}
	session := &session{
		leader: l, stream: stream, role: m.Role, info: m.Info, held: m.Revision,
		wake: make(chan struct{}, 1), orderAt: map[uint64]time.Time{},
	}
	welcome := &message.Welcome{
		Epoch: l.term, LeaseTTL: l.server.timing.LeaseTTL, RenewInterval: l.server.timing.RenewEvery,
		FenceFloor: durable.FenceFloor,
	}
	if err := stream.Send(welcome); err != nil {
		return nil, l.server.failure(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if old := l.sessions[session.process()]; old != nil {
		old.stream.Cancel()
	}
	l.table.Announce(time.Now(), m.Role, m.Info)
	l.sessions[session.process()] = session
	event.DaemonAnnounced.On(l.server.opts.Logger).Str("host", string(m.Info.ID)).
		Str("role", string(m.Role)).Uint64("incarnation", uint64(m.Info.Incarnation)).Msg("")
	return session, nil
}

func superseded() *message.Failure {
	return &message.Failure{Code: codeSuperseded, Reason: "a later process has taken this host's place"}
}

func (s *session) process() process {
	return process{host: s.info.ID, incarnation: s.info.Incarnation}
}

func (l *leader) durableHost(id host.ID) state.Host {
	var h state.Host
	l.server.store.read(func(m *state.Machine) { h, _ = m.Host(id) })
	return h
}

// left forgets a session that has ended, unless the daemon has a later one.
func (l *leader) left(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sessions[s.process()] == s {
		delete(l.sessions, s.process())
		l.table.SessionEnded(s.info.ID, s.info.Incarnation)
	}
}

// receive takes the daemon's frames in until the stream ends.
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
		if err := s.take(ctx, m); err != nil && !s.ending.Load() {
			return
		}
	}
}

func (s *session) take(ctx context.Context, m message.Message) error {
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

// renew extends the daemon's lease, if this host still leads and the daemon is the
// admitted one.
func (s *session) renew(ctx context.Context, r message.Renewal) error {
	l := s.leader
	if r.Host != s.info.ID || r.Incarnation != s.info.Incarnation {
		return ErrCall{Code: codeForbidden, Reason: "a renewal for another process"}
	}
	if err := l.confirm(ctx); err != nil {
		return err
	}
	shares, ok := l.renewed(s, r)
	if !ok {
		// The empty grant says that the leader is alive and grants nothing.
		return s.stream.Send(&message.Grant{})
	}
	s.sending.Lock()
	defer s.sending.Unlock()
	revision, err := s.pushConfig(r.Revision)
	if err != nil {
		return err
	}
	return s.stream.Send(&message.Grant{Grants: []message.LeaseGrant{{
		Host: r.Host, Sequence: r.Sequence, Revision: revision, Shares: shares,
	}}})
}

// renewed records a renewal; the leader looks the fleet over at once if it tells
// of a change.
func (l *leader) renewed(s *session, r message.Renewal) (map[string]float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := changesOf(l.table.Daemon(s.info.ID))
	if !l.table.Renew(time.Now(), r) {
		return nil, false
	}
	if before != changesOf(l.table.Daemon(s.info.ID)) {
		l.kick()
	}
	if s.role != host.RoleEntry {
		return nil, true
	}
	return l.quota.Renew(time.Now(), r), true
}

func (l *leader) orderDone(s *session, done message.OrderDone) {
	l.mu.Lock()
	l.orders.report(s.info.ID, s.info.Incarnation, done)
	l.mu.Unlock()
	if !done.OK {
		event.OrderNotDone.On(l.server.opts.Logger).Str("host", string(s.info.ID)).
			Uint64("order", done.ID).Str("reason", done.Error).Msg("")
	}
	l.kick()
}

func (l *leader) goodbye(s *session, draining bool) {
	l.mu.Lock()
	l.table.Goodbye(time.Now(), s.info.ID, s.info.Incarnation, draining)
	if !draining {
		l.quota.Remove(s.info.ID)
	}
	l.mu.Unlock()
	event.DaemonLeft.On(l.server.opts.Logger).Str("host", string(s.info.ID)).Bool("draining", draining).Msg("")
	l.kick()
}
