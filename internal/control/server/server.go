// Package server implements the control daemon. At the leader it connects the replicated state, the
// membership table and placement with the sessions of the daemons and the calls of operators.
//
// A failed call is answered by message.Failure with one of these codes:
//
//   - forbidden: the peer's certificate does not allow the call.
//   - malformed: the call is not valid.
//   - superseded: a later process of the host has replaced this one, which must restart.
//   - unavailable: the replicated log cannot accept the call at present, for example for lack of a
//     quorum; nothing was changed.
//   - uncertain: it is not known whether the change was committed; it may take effect.
//   - refused: the replicated state does not allow the change; nothing was changed.
//   - not_found: the requested item does not exist or is no longer kept.
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

// Timing holds the timing parameters of the control daemon. A zero field takes its default.
type Timing struct {
	// LeaseTTL is the lifetime of a daemon's lease after each renewal.
	LeaseTTL time.Duration
	// RenewInterval is the interval at which daemons renew their leases.
	RenewInterval time.Duration
	// ReconcileInterval is the interval at which the leader reconciles the fleet without an event.
	ReconcileInterval time.Duration
	// MinViewInterval is the minimum time between two pushes of the view to one entry.
	MinViewInterval time.Duration
	// MinLoadInterval is the minimum time between a push to an entry and the next one of loads
	// only.
	MinLoadInterval time.Duration
	// OrderRetryInterval is the time after which an order that is not executed yet is sent again.
	OrderRetryInterval time.Duration
	// ClaimBatchDelay is how long claims and settlements wait for others to share their proposal.
	ClaimBatchDelay time.Duration
	// ProposeTimeout limits the wait for a proposal to commit.
	ProposeTimeout time.Duration
}

// Defaults of Timing.
const (
	DefaultLeaseTTL           = 4 * time.Second
	DefaultRenewInterval      = 500 * time.Millisecond
	DefaultReconcileInterval  = 500 * time.Millisecond
	DefaultMinViewInterval    = 100 * time.Millisecond
	DefaultMinLoadInterval    = 900 * time.Millisecond
	DefaultOrderRetryInterval = 5 * time.Second
	DefaultClaimBatchDelay    = 2 * time.Millisecond
	DefaultProposeTimeout     = 3 * time.Second
)

func (t Timing) withDefaults() Timing {
	fill := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	fill(&t.LeaseTTL, DefaultLeaseTTL)
	fill(&t.RenewInterval, DefaultRenewInterval)
	fill(&t.ReconcileInterval, DefaultReconcileInterval)
	fill(&t.MinViewInterval, DefaultMinViewInterval)
	fill(&t.MinLoadInterval, DefaultMinLoadInterval)
	fill(&t.OrderRetryInterval, DefaultOrderRetryInterval)
	fill(&t.ClaimBatchDelay, DefaultClaimBatchDelay)
	fill(&t.ProposeTimeout, DefaultProposeTimeout)
	return t
}

// Options configures a Server.
type Options struct {
	// ID is the ID of this control host.
	ID host.ID
	// Socket accepts links. Pool dials the other control hosts over it.
	Socket *transport.Socket
	Pool   *pool.Pool
	// Hosts holds the link addresses of all control hosts, including this one.
	Hosts map[host.ID]string
	// Log opens the replicated log that applies its commands to machine. Nil selects a single
	// control host that keeps its state in memory.
	Log func(machine StateMachine) (Log, error)
	// Logger may be nil.
	Logger *log.Logger
	Timing Timing
}

// Server is the control daemon. It is created by New.
type Server struct {
	opts    Options
	timing  Timing
	store   *store
	log     Log
	claims  *batcher[claimItem, claimResult]
	settles *batcher[settleItem, bool]

	leader   atomic.Pointer[leader]
	stopping atomic.Bool
	// redirecting is set during a planned stop, when calls are redirected to the next leader.
	redirecting atomic.Bool
	// callCount counts the calls since the start, callsInProgress those whose answer has not been sent yet.
	callCount       atomic.Int64
	callsInProgress atomic.Int64
	// cancelRun ends Run; runDone is closed when Run has returned.
	cancelRun context.CancelFunc
	runDone   chan struct{}
}

// New returns a control daemon, which Run starts.
func New(opts Options) (*Server, error) {
	s := &Server{opts: opts, timing: opts.Timing.withDefaults(), store: newStore(), runDone: make(chan struct{})}
	s.log = newMemoryLog(opts.ID, s.store)
	if opts.Log != nil {
		replicated, err := opts.Log(s.store)
		if err != nil {
			return nil, err
		}
		s.log = replicated
	}
	s.claims = newBatcher(s.timing.ClaimBatchDelay, s.proposeClaims)
	s.settles = newBatcher(s.timing.ClaimBatchDelay, s.proposeSettles)
	return s, nil
}

// Run serves until ctx ends, Shutdown is done or the replicated state fails.
func (s *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(s.runDone)
	s.cancelRun = cancel
	event.ProcessStarted.On(s.opts.Logger).Str("role", string(host.RoleControl)).
		Str("host", string(s.opts.ID)).Str("address", s.opts.Socket.Address().String()).Msg("")
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.log.Run(ctx) })
	group.Go(func() error { return s.opts.Socket.Serve(ctx, s.handleStream) })
	group.Go(func() error { return s.runLeaderTerms(ctx) })
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

// Ready reports whether this control host knows the leader, which may be itself, and is not
// stopping.
func (s *Server) Ready() bool {
	return !s.stopping.Load() && s.log.Status().Leader != ""
}

// Shutdown transfers the leadership, waits for the calls in progress and until their callers have received the answers, and ends Run. If it
// is called again, it returns nil at once.
func (s *Server) Shutdown(ctx context.Context) error {
	if s.stopping.Swap(true) {
		return nil
	}
	err := s.transferLeadership(ctx)
	s.redirecting.Store(true)
	s.drainCalls(ctx)
	unreceived := s.drainAnswers(ctx)
	s.cancelRun()
	<-s.runDone
	if unreceived != nil {
		return unreceived
	}
	return err
}

// CallsInProgress returns the number of calls whose callers have not yet read the answer.
func (s *Server) CallsInProgress() int {
	return int(s.callsInProgress.Load()) + s.opts.Socket.Unreceived()
}

// transferLeadership transfers the leadership to another control host, within transferTimeout. If
// all control hosts stop together there is no successor, which is not an error.
func (s *Server) transferLeadership(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	return s.log.TransferLeadership(ctx)
}

// drainAnswers waits up to receiptTimeout until callers have received their answers. It returns transport.ErrUnreceived if some have not.
func (s *Server) drainAnswers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, receiptTimeout)
	defer cancel()
	return s.opts.Socket.Drain(ctx)
}

// drainCalls returns when no call has arrived for idleBeforeStop and all calls have been
// answered, or after drainCallsTimeout. New calls are redirected to the next leader meanwhile.
func (s *Server) drainCalls(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainCallsTimeout)
	defer cancel()
	for idleSince := time.Now(); time.Since(idleSince) < idleBeforeStop && ctx.Err() == nil; {
		before := s.callCount.Load()
		pause.For(ctx, idleBeforeStop/idleChecks)
		if before != s.callCount.Load() || s.callsInProgress.Load() > 0 {
			idleSince = time.Now()
		}
	}
}

// runLeaderTerms runs a leader whenever this host has the leadership, until ctx ends.
func (s *Server) runLeaderTerms(ctx context.Context) error {
	for ctx.Err() == nil {
		status := s.log.Status()
		if !status.Leading {
			s.log.WaitStatusChange(ctx, status)
			continue
		}
		s.runLeaderTerm(ctx, status)
	}
	return nil
}

const (
	// idleBeforeStop is the time without calls after which a planned stop closes the links.
	idleBeforeStop = 500 * time.Millisecond
	// idleChecks is the number of checks for new calls within idleBeforeStop.
	idleChecks = 10
	// drainCallsTimeout limits how long a planned stop waits for calls.
	drainCallsTimeout = 3 * time.Second
	// receiptTimeout limits how long a planned stop waits until callers have received their answers. It is longer than a link lives
	// without a sign of its peer. A host that stops may win an election meanwhile and redirects all calls then, so it isn't longer.
	receiptTimeout = 2 * time.Second
	// transferTimeout limits how long a planned stop looks for another leader.
	transferTimeout = 5 * time.Second
)

// leadRetryInterval is the pause before a new leader proposes again to open its term.
const leadRetryInterval = 100 * time.Millisecond

// runLeaderTerm opens the term of status with a state.Lead command and acts as the leader until the
// term or the leadership ends.
func (s *Server) runLeaderTerm(ctx context.Context, status LogStatus) {
	if _, err := s.propose(ctx, state.Lead{Term: status.Term}); err != nil {
		pause.For(ctx, leadRetryInterval)
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
		s.log.WaitStatusChange(ctx, now)
	}
	s.leader.Store(nil)
	cancel()
	<-done
	l.endSessions()
	event.LeaderEnded.On(s.opts.Logger).Uint64("term", status.Term).Msg("")
}
