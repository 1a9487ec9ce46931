// Package session implements a daemon's session with the control leader. It announces
// the daemon, renews its lease and passes on the messages that control pushes. It also
// makes single calls to the leader.
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
	"github.com/egretreach/egretreach/internal/process/clock"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	// reconnectDelay is the least time between the starts of two attempts to open a session.
	reconnectDelay = 200 * time.Millisecond
	openTimeout    = 750 * time.Millisecond
	answerTimeout  = time.Second
	goodbyeTimeout = 500 * time.Millisecond
	// failedHostBackoff is the time after a failure of a control host during which
	// redirects to it are ignored. Followers name a dead leader until they have elected
	// a new one.
	failedHostBackoff = time.Second
	// maxMissedRenewals is the number of renewal intervals without a message after
	// which the session leaves the leader.
	maxMissedRenewals = 2
)

// Daemon is implemented by the daemon that a Session belongs to.
type Daemon interface {
	// Announce returns the message that opens a session. The session sets the
	// revision.
	Announce() message.Announce
	// Renewal returns the next renewal. The session sets the host, the incarnation, the
	// sequence number and the revision.
	Renewal() message.Renewal
	// ApplyConfig puts a configuration in force. On error the old one stays in force.
	ApplyConfig(revision view.Revision, yaml []byte) error
	// OnGrant is called for each grant that extends the lease.
	OnGrant(grant message.LeaseGrant)
	// OnWelcome is called for each new session, before any other message of it.
	OnWelcome(welcome message.Welcome)
	// OnMessage is called for every other message, and for a Failure that refuses an
	// Announce.
	OnMessage(ctx context.Context, m message.Message)
}

// Options are the settings of a Session.
type Options struct {
	Pool *pool.Pool
	// ControlAddresses are the link addresses of the control hosts.
	ControlAddresses []string
	Daemon           Daemon
	Logger           *log.Logger
}

// Session keeps a daemon's session with the control leader. It is created by New.
type Session struct {
	opts     Options
	renewNow chan struct{}

	mu           sync.Mutex
	lease        lease.Lease
	revision     view.Revision
	ttl          time.Duration
	leader       string
	nextControl  int // index in ControlAddresses, modulo its length
	stream       *transport.Stream
	sessionEnded chan struct{}
	stopping     bool
	failedAt     map[string]time.Time
	// granted is the sequence number of the latest renewal that was granted. grantsChanged is closed at the next grant
	// or end of a session, or nil.
	granted       uint64
	grantsChanged chan struct{}
	// evacuated is the newest set of evacuated failure domains.
	evacuated view.Evacuated
}

// New returns a session. Run starts it.
func New(opts Options) *Session {
	return &Session{opts: opts, renewNow: make(chan struct{}, 1)}
}

// Valid reports whether the daemon may accept new work now. It reads a clock that also counts the time for which the
// host was suspended, so that after a long pause of the process or the host the lease has expired.
func (s *Session) Valid() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.stopping && s.lease.Valid(clock.Now(), s.revision)
}

// LeaseRemaining returns the time until the lease expires, 0 or less if it has.
func (s *Session) LeaseRemaining() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease.Expiry().Sub(clock.Now())
}

// Revision returns the configuration revision in force in this process.
func (s *Session) Revision() view.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Renew asks Run to send a renewal now instead of at the next interval.
func (s *Session) Renew() {
	select {
	case s.renewNow <- struct{}{}:
	default:
	}
}

// Send sends a message to the leader over the open session. It returns ErrNoLeader if
// no session is open.
func (s *Session) Send(m message.Message) error {
	s.mu.Lock()
	stream := s.stream
	s.mu.Unlock()
	if stream == nil {
		return ErrNoLeader{Reason: "no session with the control leader"}
	}
	return stream.Send(m)
}

// Goodbye releases the lease and informs control. It waits up to goodbyeTimeout for
// control to end the session, since closing the link at once could lose the frame. No
// session is opened after it.
func (s *Session) Goodbye() error {
	s.mu.Lock()
	s.stopping = true
	s.lease.Release()
	over := s.sessionEnded
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

func (s *Session) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// Run keeps a session open until ctx ends or Goodbye is called.
func (s *Session) Run(ctx context.Context) error {
	for ctx.Err() == nil && !s.isStopping() {
		next := time.NewTimer(reconnectDelay)
		if err := s.runOnce(ctx); IsErrNoLeader(err) {
			event.LeaderSought.On(s.opts.Logger).Str("reason", err.Error()).Msg("")
		} else if ctx.Err() == nil {
			event.LinkLost.On(s.opts.Logger).Str("peer", "control").Err(err).Msg("")
		}
		select {
		case <-ctx.Done():
		case <-next.C:
		}
		next.Stop()
	}
	return nil
}

func (s *Session) runOnce(ctx context.Context) error {
	address := s.targetAddress()
	stream, err := s.openStream(ctx, address)
	if err != nil {
		return err
	}
	defer stream.Cancel()
	stop := stream.CancelOn(ctx)
	defer stop()
	welcome, err := s.announce(ctx, stream, address)
	if err != nil {
		return err
	}
	s.opts.Daemon.OnWelcome(*welcome)
	err = s.serveSession(ctx, stream, welcome)
	if isTimeout(err) {
		s.markFailed(address)
		// Dropping the link also ends the calls that wait on it, so that they look for
		// another leader.
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
		s.markFailed(address)
		return nil, err
	}
	if peer := stream.Peer(); peer.Role != host.RoleControl {
		stream.Cancel()
		s.markFailed(address)
		return nil, ErrWrongPeer{Address: address, Peer: peer}
	}
	return stream, nil
}

func (s *Session) announce(ctx context.Context, stream *transport.Stream, address string) (*message.Welcome, error) {
	announce := s.opts.Daemon.Announce()
	announce.Revision = s.Revision()
	s.forgetPendingRenewals()
	if announce.Role == host.RoleAgent {
		renewal := s.newRenewal(announce.Info)
		announce.Renewal = &renewal
	}
	if err := stream.Send(&announce); err != nil {
		s.markFailed(address)
		return nil, err
	}
	_ = stream.SetReadDeadline(time.Now().Add(answerTimeout))
	answer, err := stream.Receive()
	if err != nil {
		s.markFailed(address)
		return nil, errors.Wrap(err, "announce")
	}
	_ = stream.SetReadDeadline(time.Time{})
	switch m := answer.(type) {
	case *message.Welcome:
		s.startSession(m, stream, address)
		return m, nil
	case *message.NotLeader:
		s.redirect(address, m.Leader)
		return nil, ErrNoLeader{Reason: "redirected from " + address}
	case *message.Failure:
		s.markFailed(address)
		s.opts.Daemon.OnMessage(ctx, m)
		return nil, ErrRefused{Code: m.Code, Reason: m.Reason}
	default:
		s.markFailed(address)
		return nil, errors.Errorf("announce answered by %T", answer)
	}
}

func (s *Session) startSession(w *message.Welcome, stream *transport.Stream, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ttl = w.LeaseTTL
	s.leader = address
	s.stream = stream
	s.sessionEnded = make(chan struct{})
}

// serveSession renews the lease and receives messages until the stream ends. It leaves
// a leader that does not answer renewals well before the lease expires.
func (s *Session) serveSession(ctx context.Context, stream *transport.Stream, w *message.Welcome) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	renewing := make(chan struct{})
	go func() {
		defer close(renewing)
		s.renewPeriodically(ctx, stream, w.RenewInterval)
	}()
	err := s.receive(ctx, stream, w)
	s.mu.Lock()
	s.stream = nil
	close(s.sessionEnded)
	s.notifyGrantsLocked()
	s.mu.Unlock()
	cancel()
	stream.Cancel()
	<-renewing
	return err
}

func (s *Session) receive(ctx context.Context, stream *transport.Stream, w *message.Welcome) error {
	for {
		_ = stream.SetReadDeadline(time.Now().Add(maxMissedRenewals * w.RenewInterval))
		m, err := stream.Receive()
		if err != nil {
			return errors.Wrap(err, "session")
		}
		switch m := m.(type) {
		case *message.Grant:
			s.applyGrants(m, w.LeaseTTL)
		case *message.ConfigPush:
			s.applyConfig(m)
		case *message.NotLeader:
			s.redirect(s.targetAddress(), m.Leader)
			return ErrNoLeader{Reason: "the leader stepped down"}
		default:
			s.opts.Daemon.OnMessage(ctx, m)
		}
	}
}

// applyConfig applies a configuration that is newer than the one in force. It ignores
// others.
func (s *Session) applyConfig(m *message.ConfigPush) {
	if m.Revision <= s.Revision() {
		return
	}
	if err := s.opts.Daemon.ApplyConfig(m.Revision, m.YAML); err != nil {
		event.ConfigRefused.On(s.opts.Logger).Uint64("revision", uint64(m.Revision)).Err(err).Msg("")
		return
	}
	s.mu.Lock()
	s.revision = m.Revision
	s.mu.Unlock()
	event.ConfigInForce.On(s.opts.Logger).Uint64("revision", uint64(m.Revision)).Msg("")
	s.Renew()
}
