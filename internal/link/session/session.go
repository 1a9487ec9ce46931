// Package session is a daemon's session with the control leader: it announces the
// daemon, renews its lease and hands on what control pushes. It also makes single
// calls to the leader.
package session

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/lease"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	reconnectDelay = 200 * time.Millisecond
	openTimeout    = 750 * time.Millisecond
	answerTimeout  = time.Second
	goodbyeTimeout = 500 * time.Millisecond
	// avoidFor is how long a control host that failed is not tried again at
	// another's word: followers name a dead leader until they have elected a new one.
	avoidFor = time.Second
	// missedRenewals is how many renewals may go unanswered before a leader is left.
	missedRenewals = 2
)

// Daemon is what a session needs of its daemon.
type Daemon interface {
	// Announce returns the opening of a session.
	Announce() message.Announce
	// Renewal returns the next renewal; the session fills in host, incarnation,
	// sequence and revision.
	Renewal() message.Renewal
	// ApplyConfig puts a configuration in force. On error the old one stays.
	ApplyConfig(revision view.Revision, yaml []byte) error
	// OnGrant is told of each grant.
	OnGrant(grant message.LeaseGrant)
	// OnWelcome is told of each new session, before anything else arrives on it.
	OnWelcome(welcome message.Welcome)
	// OnMessage is given every other message, and the Failure that refuses an Announce.
	OnMessage(ctx context.Context, m message.Message)
}

// Options are the settings of a Session.
type Options struct {
	Pool *pool.Pool
	// ControlAddresses are the link addresses of the control hosts.
	ControlAddresses []string
	Daemon  Daemon
	Logger  *log.Logger
}

// Session keeps a daemon in touch with the control leader. Use New.
type Session struct {
	opts  Options
	renew chan struct{}

	mu       sync.Mutex
	lease    lease.Lease
	held     view.Revision
	ttl      time.Duration
	leader   string
	next     int
	stream   *transport.Stream
	over     chan struct{}
	stopping bool
	avoided  map[string]time.Time
}

// New returns a session that Run starts.
func New(opts Options) *Session {
	return &Session{opts: opts, renew: make(chan struct{}, 1)}
}

// Valid reports whether the daemon may take new work now. It reads the monotonic
// clock, so a process that wakes from a pause finds its lease lapsed.
func (s *Session) Valid() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.stopping && s.lease.Valid(time.Now(), s.held)
}

// LeaseExpiry returns when the lease lapses.
func (s *Session) LeaseExpiry() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease.Expiry()
}

// Revision returns the configuration revision in force here.
func (s *Session) Revision() view.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

// Renew sends a renewal soon, without waiting for the next tick.
func (s *Session) Renew() {
	select {
	case s.renew <- struct{}{}:
	default:
	}
}

// Send sends a message to the leader on the running session.
func (s *Session) Send(m message.Message) error {
	s.mu.Lock()
	stream := s.stream
	s.mu.Unlock()
	if stream == nil {
		return ErrNoLeader{Reason: "no session with the control leader"}
	}
	return stream.Send(m)
}

// Goodbye gives the lease up and tells control. It waits a little for control to
// end the session, since closing the link at once may lose the frame. No session
// is opened after it.
func (s *Session) Goodbye() error {
	s.mu.Lock()
	s.stopping = true
	s.lease.Release()
	over := s.over
	s.mu.Unlock()
	if err := s.Send(&message.Goodbye{}); err != nil {
		return err
	}
	timer := time.NewTimer(goodbyeTimeout)
	defer timer.Stop()
	select {
	case <-over:
	case <-timer.C:
	}
	return nil
}

func (s *Session) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// Run keeps a session open until ctx ends or Goodbye was said.
func (s *Session) Run(ctx context.Context) error {
	for ctx.Err() == nil && !s.ended() {
		if err := s.once(ctx); IsErrNoLeader(err) {
			event.LeaderSought.On(s.opts.Logger).Str("reason", err.Error()).Msg("")
		} else if ctx.Err() == nil {
			event.LinkLost.On(s.opts.Logger).Str("peer", "control").Err(err).Msg("")
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
	return nil
}

func (s *Session) once(ctx context.Context) error {
	address := s.address()
	stream, err := s.openStream(ctx, address)
	if err != nil {
		return err
	}
	defer stream.Cancel()
	stop := stream.CancelOn(ctx)
	defer stop()
	welcome, err := s.open(ctx, stream, address)
	if err != nil {
		return err
	}
	s.opts.Daemon.OnWelcome(*welcome)
	err = s.hold(ctx, stream, welcome)
	if isTimeout(err) {
		s.failed(address)
		// Calls that wait on the same silent link are to find another leader too.
		s.opts.Pool.Drop(address)
	}
	return err
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

func (s *Session) openStream(ctx context.Context, address string) (*transport.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	stream, err := s.opts.Pool.Open(ctx, address)
	if err != nil {
		s.failed(address)
		return nil, err
	}
	if peer := stream.Peer(); peer.Role != host.RoleControl {
		stream.Cancel()
		s.failed(address)
		return nil, ErrWrongPeer{Address: address, Peer: peer}
	}
	return stream, nil
}

func (s *Session) open(ctx context.Context, stream *transport.Stream, address string) (*message.Welcome, error) {
	announce := s.opts.Daemon.Announce()
	announce.Revision = s.Revision()
	if err := stream.Send(&announce); err != nil {
		s.failed(address)
		return nil, err
	}
	_ = stream.SetReadDeadline(time.Now().Add(answerTimeout))
	answer, err := stream.Receive()
	if err != nil {
		s.failed(address)
		return nil, errors.Wrap(err, "announce")
	}
	_ = stream.SetReadDeadline(time.Time{})
	switch m := answer.(type) {
	case *message.Welcome:
		s.welcomed(m, stream, address)
		return m, nil
	case *message.NotLeader:
		s.redirect(address, m.Leader)
		return nil, ErrNoLeader{Reason: "redirected from " + address}
	case *message.Failure:
		s.failed(address)
		s.opts.Daemon.OnMessage(ctx, m)
		return nil, ErrRefused{Code: m.Code, Reason: m.Reason}
	default:
		s.failed(address)
		return nil, errors.Errorf("announce answered by %T", answer)
	}
}

func (s *Session) welcomed(w *message.Welcome, stream *transport.Stream, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease.ForgetPending()
	s.ttl = w.LeaseTTL
	s.leader = address
	s.stream = stream
	s.over = make(chan struct{})
}

// hold renews and receives until the stream ends. A leader that does not answer
// renewals is left well before the lease lapses.
func (s *Session) hold(ctx context.Context, stream *transport.Stream, w *message.Welcome) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	renewing := make(chan struct{})
	go func() {
		defer close(renewing)
		s.renewals(ctx, stream, w.RenewInterval)
	}()
	err := s.receive(ctx, stream, w)
	s.mu.Lock()
	s.stream = nil
	close(s.over)
	s.mu.Unlock()
	cancel()
	stream.Cancel()
	<-renewing
	return err
}

func (s *Session) renewals(ctx context.Context, stream *transport.Stream, every time.Duration) {
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
		case <-s.renew:
		}
	}
}

func (s *Session) sendRenewal(stream *transport.Stream) error {
	renewal := s.opts.Daemon.Renewal()
	announce := s.opts.Daemon.Announce()
	s.mu.Lock()
	if s.stopping {
		s.mu.Unlock()
		return nil
	}
	renewal.Host = announce.Info.ID
	renewal.Incarnation = announce.Info.Incarnation
	renewal.Revision = s.held
	renewal.Sequence = s.lease.RecordRenewal(time.Now())
	s.mu.Unlock()
	return stream.Send(&message.Renew{Renewals: []message.Renewal{renewal}})
}

func (s *Session) receive(ctx context.Context, stream *transport.Stream, w *message.Welcome) error {
	for {
		_ = stream.SetReadDeadline(time.Now().Add(missedRenewals * w.RenewInterval))
		m, err := stream.Receive()
		if err != nil {
			return errors.Wrap(err, "session")
		}
		switch m := m.(type) {
		case *message.Grant:
			s.granted(m, w.LeaseTTL)
		case *message.ConfigPush:
			s.applyConfig(m)
		case *message.NotLeader:
			s.redirect(s.address(), m.Leader)
			return ErrNoLeader{Reason: "the leader stepped down"}
		default:
			s.opts.Daemon.OnMessage(ctx, m)
		}
	}
}

func (s *Session) granted(m *message.Grant, ttl time.Duration) {
	self := s.opts.Daemon.Announce().Info.ID
	for _, g := range m.Grants {
		if g.Host != self {
			continue
		}
		s.mu.Lock()
		known := s.lease.ApplyGrant(g.Sequence, ttl, g.Revision)
		s.mu.Unlock()
		if known {
			s.opts.Daemon.OnGrant(g)
		}
	}
}

// applyConfig never goes back to a lower revision.
func (s *Session) applyConfig(m *message.ConfigPush) {
	if m.Revision <= s.Revision() {
		return
	}
	if err := s.opts.Daemon.ApplyConfig(m.Revision, m.YAML); err != nil {
		event.ConfigRefused.On(s.opts.Logger).Uint64("revision", uint64(m.Revision)).Err(err).Msg("")
		return
	}
	s.mu.Lock()
	s.held = m.Revision
	s.mu.Unlock()
	event.ConfigInForce.On(s.opts.Logger).Uint64("revision", uint64(m.Revision)).Msg("")
	s.Renew()
}

func (s *Session) address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader != "" {
		return s.leader
	}
	return s.opts.ControlAddresses[s.next%len(s.opts.ControlAddresses)]
}

func (s *Session) failed(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == address {
		s.leader = ""
	}
	if s.avoided == nil {
		s.avoided = map[string]time.Time{}
	}
	s.avoided[address] = time.Now()
	s.next++
}

func (s *Session) redirect(from, to string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if to == "" || to == from || time.Since(s.avoided[to]) < avoidFor {
		s.leader = ""
		s.next++
		return
	}
	s.leader = to
}
