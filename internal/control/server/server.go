// Package server is the control daemon: a thin loop round the replicated state, the
// leader's membership table and placement.
//
// A call that fails is answered by message.Failure with one of these codes:
//
//   - forbidden: the peer's certificate does not allow the call.
//   - malformed: the call makes no sense.
//   - superseded: a later process has taken the host's place; this one must restart.
//   - unavailable: there is no quorum at present; nothing was changed.
//   - uncertain: the answer of the quorum was lost; the change may take effect.
//   - refused: the replicated state does not allow the change; nothing was changed.
//   - not_found: what was asked for does not exist or is no longer kept.
package server

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"github.com/egretreach/egretreach/internal/control/state"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/process/pause"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// Timing holds the daemon's times. A zero field takes its default.
type Timing struct {
	// LeaseTTL is the length of each daemon's lease.
	LeaseTTL time.Duration
	// RenewEvery is how often daemons renew.
	RenewEvery time.Duration
	// StepEvery is how often the leader looks the fleet over if nothing happens.
	StepEvery time.Duration
	// ViewEvery is the least time between two pushes of the view to one entry.
	ViewEvery time.Duration
	// LoadEvery is the least time between two pushes of loads alone to one entry.
	LoadEvery time.Duration
	// OrderRetry is when an order that is not done is sent again.
	OrderRetry time.Duration
	// ClaimBatch is how long claims wait for others to share a proposal.
	ClaimBatch time.Duration
	// ProposeTimeout bounds the wait for a commit.
	ProposeTimeout time.Duration
}

// Defaults of Timing.
const (
	DefaultLeaseTTL       = 4 * time.Second
	DefaultRenewEvery     = 500 * time.Millisecond
	DefaultStepEvery      = 500 * time.Millisecond
	DefaultViewEvery      = 100 * time.Millisecond
	DefaultLoadEvery      = 900 * time.Millisecond
	DefaultOrderRetry     = 5 * time.Second
	DefaultClaimBatch     = 2 * time.Millisecond
	DefaultProposeTimeout = 3 * time.Second
)

func (t Timing) withDefaults() Timing {
	fill := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	fill(&t.LeaseTTL, DefaultLeaseTTL)
	fill(&t.RenewEvery, DefaultRenewEvery)
	fill(&t.StepEvery, DefaultStepEvery)
	fill(&t.ViewEvery, DefaultViewEvery)
	fill(&t.LoadEvery, DefaultLoadEvery)
	fill(&t.OrderRetry, DefaultOrderRetry)
	fill(&t.ClaimBatch, DefaultClaimBatch)
	fill(&t.ProposeTimeout, DefaultProposeTimeout)
	return t
}

// Options are the settings of a Server.
type Options struct {
	// ID is this control host.
	ID host.ID
	// Endpoint accepts links; Pool dials the other control hosts over it.
	Endpoint *transport.Endpoint
	Pool     *pool.Pool
	// Peers are the link addresses of all control hosts, this one included.
	Peers map[host.ID]string
	// Log is the replicated log over State; nil keeps the state of a single control
	// host in memory.
	Log func(machine Machine) (Log, error)
	// Logger may be nil.
	Logger *log.Logger
	Timing Timing
}

// Server is the control daemon. Use New.
type Server struct {
	opts   Options
	timing Timing
	store  *store
	log    Log
	claims *batcher[claimItem, claimResult]
	ends   *batcher[settleItem, bool]

	leader   atomic.Pointer[leader]
	stopping atomic.Bool
	// closing says that calls are sent on to the next leader.
	closing atomic.Bool
	// calls counts the calls so far, inCall those whose callers have not read the
	// answer yet.
	calls  atomic.Int64
	inCall atomic.Int64
	end    context.CancelFunc
	ended  chan struct{}
}

// New returns a control daemon that Run starts.
func New(opts Options) (*Server, error) {
	s := &Server{opts: opts, timing: opts.Timing.withDefaults(), store: newStore(), ended: make(chan struct{})}
	s.log = newMemoryLog(opts.ID, s.store)
	if opts.Log != nil {
		replicated, err := opts.Log(s.store)
		if err != nil {
			return nil, err
		}
		s.log = replicated
	}
	s.claims = newBatcher(s.timing.ClaimBatch, s.proposeClaims)
	s.ends = newBatcher(s.timing.ClaimBatch, s.proposeSettles)
	return s, nil
}

// Run serves until ctx ends or Shutdown is done.
func (s *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(s.ended)
	s.end = cancel
	event.ProcessStarted.On(s.opts.Logger).Str("role", string(host.RoleControl)).
		Str("host", string(s.opts.ID)).Str("address", s.opts.Endpoint.Address().String()).Msg("")
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.log.Run(ctx) })
	group.Go(func() error { return s.opts.Endpoint.Serve(ctx, s.handle) })
	group.Go(func() error { return s.lead(ctx) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			return nil
		case err := <-s.store.failed:
			return err
		}
	})
	return group.Wait()
}

// Ready reports whether this control host leads, or follows a leader that it knows.
func (s *Server) Ready() bool {
	return !s.stopping.Load() && s.log.Status().Leader != ""
}

// Shutdown hands the leadership over, finishes the calls in progress and ends Run.
func (s *Server) Shutdown(ctx context.Context) error {
	if s.stopping.Swap(true) {
		return nil
	}
	event.ProcessStopping.On(s.opts.Logger).Str("role", string(host.RoleControl)).Msg("")
	err := s.handOver(ctx)
	s.closing.Store(true)
	s.finish(ctx)
	s.end()
	<-s.ended
	event.ProcessStopped.On(s.opts.Logger).Str("role", string(host.RoleControl)).Int("cut", 0).Msg("")
	return err
}

// handOver gives the leadership to another control host. When all stop together there
// is none to take it, and that is not waited for.
func (s *Server) handOver(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, longestHandOver)
	defer cancel()
	return s.log.Transfer(ctx)
}

// finish returns when no call has come in for a while and all have been answered.
// Callers that still come are sent on to the next leader meanwhile.
func (s *Server) finish(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, longestFinish)
	defer cancel()
	for quiet := time.Now(); time.Since(quiet) < quietBeforeEnd && ctx.Err() == nil; {
		before := s.calls.Load()
		pause.For(ctx, quietBeforeEnd/quietChecks)
		if before != s.calls.Load() || s.inCall.Load() > 0 {
			quiet = time.Now()
		}
	}
}

// lead watches for this host's leadership and acts as leader while it lasts.
func (s *Server) lead(ctx context.Context) error {
	for ctx.Err() == nil {
		status := s.log.Status()
		if !status.Leading {
			s.log.WaitChange(ctx, status)
			continue
		}
		s.reign(ctx, status)
	}
	return nil
}

const (
	// quietBeforeEnd is how long no call may have come in before a planned stop ends.
	quietBeforeEnd = 500 * time.Millisecond
	quietChecks    = 10
	longestFinish  = 3 * time.Second
	// longestHandOver is when a planned stop gives up on finding another leader.
	longestHandOver = 5 * time.Second
)

// leadRetry is when a host that leads tries again to open its term.
const leadRetry = 100 * time.Millisecond

func (s *Server) reign(ctx context.Context, status LogStatus) {
	if _, err := s.propose(ctx, state.Lead{Term: status.Term}); err != nil {
		pause.For(ctx, leadRetry)
		return
	}
	event.LeaderStarted.On(s.opts.Logger).Uint64("term", status.Term).Msg("")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := newLeader(s, status.Term)
	s.leader.Store(l)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.run(ctx)
	}()
	for ctx.Err() == nil {
		now := s.log.Status()
		if !now.Leading || now.Term != status.Term {
			break
		}
		s.log.WaitChange(ctx, now)
	}
	s.leader.Store(nil)
	cancel()
	<-done
	l.close()
	event.LeaderEnded.On(s.opts.Logger).Uint64("term", status.Term).Msg("")
}
