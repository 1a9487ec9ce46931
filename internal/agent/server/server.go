// Package server implements the agent, the daemon that runs on the host of an engine
// or of plain services. Orders and requests reach these endpoints only through the
// agent. It passes them on only while its lease is valid and, for an engine, the
// fence is current.
package server

import (
	"context"
	"encoding/binary"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/agent/attempt"
	"github.com/egretreach/egretreach/internal/agent/engine"
	"github.com/egretreach/egretreach/internal/agent/gate"
	"github.com/egretreach/egretreach/internal/agent/plainservice"
	"github.com/egretreach/egretreach/internal/fleet/config"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/session"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// Server is an agent. Use New.
type Server struct {
	opts     Options
	session  *session.Session
	engine   *engine.Client
	services map[string]*plainservice.Client
	// engineLimit and serviceLimits are the limits that the endpoints name.
	engineLimit   *endpointLimit
	serviceLimits map[string]*endpointLimit
	// engineWarmUp and serviceWarmUps are the warm-up limits of the endpoints.
	engineWarmUp   *warmUp
	serviceWarmUps map[string]*warmUp
	orders         chan *message.Order
	// pollRequested requests an engine poll at once, gateChanged a check of the gate.
	pollRequested chan struct{}
	gateChanged   chan struct{}
	rejected      atomic.Uint64

	mu sync.Mutex
	// fleet is the configuration in force, or nil.
	fleet *config.Fleet
	// wasEvacuated is true if this host's failure domain was evacuated at the last grant or attempt.
	wasEvacuated bool
	// stoppingRenewed says that a renewal has told control of a planned stop. stoppingGrants counts the grants of
	// this session since then, the last of which came at stopKnownAt. The first may answer an earlier renewal.
	stoppingRenewed bool
	stoppingGrants  int
	stopKnownAt     time.Time
	// crashCount counts the crashes of the engine.
	crashCount uint64
	// runCtx is the context of Run.
	runCtx   context.Context
	stop     context.CancelCauseFunc
	gate     *gate.Gate
	attempts *attempt.Table
	running  map[message.Ref]*runningAttempt
	// dispatchCount counts the dispatches in progress.
	dispatchCount int
	// stateChanged is closed and set to nil when a dispatch or an attempt ends, an
	// order arrives, a load order joins its replica, or the lease is granted. Then
	// await checks its condition again.
	stateChanged chan struct{}
	waiters      map[attempt.WaiterID]chan message.AskResult
	// lastWaiter is the waiter ID that was assigned last.
	lastWaiter attempt.WaiterID
	engineLoad view.Load
	// engineStart identifies the engine process of the last report.
	engineStart string
	// loadingOrder is the ID of the load order in progress, or zero.
	loadingOrder uint64
	// newestFence is the highest fence of all orders received.
	newestFence replica.Fence
	// headIdle is true if this member is draining and its head, by its last ack, no
	// longer needs it.
	headIdle bool
	// gateOpen is true if the gate accepted work when checkGate last ran.
	gateOpen bool
	// lastHeadAck is the time of the head's last ack.
	lastHeadAck time.Time
}

// New returns an agent. Run starts it.
func New(opts Options) *Server {
	for opts.Info.Incarnation == 0 {
		id := request.NewID()
		opts.Info.Incarnation = host.Incarnation(binary.LittleEndian.Uint64(id[:]))
	}
	if opts.MaxAttemptTime == 0 {
		opts.MaxAttemptTime = DefaultMaxAttemptTime
	}
	s := &Server{
		opts:          opts,
		services:      map[string]*plainservice.Client{},
		serviceLimits: map[string]*endpointLimit{},

		serviceWarmUps: map[string]*warmUp{},
		orders:         make(chan *message.Order, orderQueueSize),
		pollRequested:  make(chan struct{}, 1),
		gateChanged:    make(chan struct{}, 1),
		gate:           gate.New(opts.Info.ID),
		attempts:       attempt.New(opts.Info.Incarnation, opts.AttemptLimits),
		running:        map[message.Ref]*runningAttempt{},
		waiters:        map[attempt.WaiterID]chan message.AskResult{},
	}
	if opts.EngineURL != "" {
		s.engineLimit = &endpointLimit{name: "engine", logger: opts.Logger}
		s.engineWarmUp = &warmUp{name: "engine", logger: opts.Logger}
		s.engine = engine.New(engine.Options{
			URL: opts.EngineURL, OrdererToken: opts.OrdererToken, Transport: opts.EngineTransport,
			Wrap: func(next http.RoundTripper) http.RoundTripper {
				return limitTransport{next, s.engineLimit, isGeneration}
			},
		})
	}
	for name, url := range opts.Services {
		s.serviceLimits[name] = &endpointLimit{name: name, logger: opts.Logger}
		s.serviceWarmUps[name] = &warmUp{name: name, logger: opts.Logger}
		s.serviceWarmUps[name].begin(time.Now(), warmUpStart)
		s.services[name] = plainservice.New(plainservice.Options{
			URL: url, Transport: opts.ServiceTransport,
			Wrap: func(next http.RoundTripper) http.RoundTripper {
				return warmUpTransport{limitTransport{next, s.serviceLimits[name], isServiceCall}, s.serviceWarmUps[name]}
			},
		})
	}
	s.registerMetrics()
	s.session = session.New(session.Options{Pool: opts.Pool, ControlAddresses: opts.ControlAddresses, Daemon: s, Logger: opts.Logger})
	return s
}

// Run serves until ctx is done or Shutdown has ended. It returns ErrSuperseded if
// another agent takes over the host.
func (s *Server) Run(ctx context.Context) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	s.mu.Lock()
	s.runCtx, s.stop = ctx, stop
	s.mu.Unlock()
	loops := []func(context.Context) error{s.acceptStreams, s.session.Run, s.processOrders, s.pollEngine, s.watchGate, s.sendHeartbeats}
	errs := make(chan error, len(loops))
	for _, loop := range loops {
		go func() { errs <- loop(ctx) }()
	}
	var first error
	for range loops {
		if err := <-errs; err != nil && first == nil {
			first = err
			stop(err)
		}
	}
	if cause := context.Cause(ctx); IsErrSuperseded(cause) {
		return cause
	}
	return first
}

func (s *Server) acceptStreams(ctx context.Context) error {
	return errors.Wrap(s.opts.Socket.Serve(ctx, s.handleStream), "agent")
}

// Ready reports whether the agent holds a valid lease and is not shutting down.
func (s *Server) Ready() bool {
	at := s.leaseStatus()
	s.mu.Lock()
	defer s.mu.Unlock()
	return at.Leased && !s.gate.Stopping()
}

// Incarnation returns the incarnation that the agent announces.
func (s *Server) Incarnation() host.Incarnation { return s.opts.Info.Incarnation }

// Rejected returns the number of dropped frames and engine events since the start.
// They are dropped if they are malformed, not allowed, repeated, late or belong to
// another request.
func (s *Server) Rejected() uint64 { return s.rejected.Load() }

// countRejected counts and logs dropped frames or events of a peer.
func (s *Server) countRejected(peer, reason string, count int) {
	if count <= 0 {
		return
	}
	s.rejected.Add(uint64(count))
	event.FrameRejected.On(s.opts.Logger).Str("peer", peer).Str("reason", reason).Int("count", count).Msg("")
}

// leaseStatus returns the current time and the state of the lease for one check.
func (s *Server) leaseStatus() gate.LeaseStatus {
	now := time.Now()
	return gate.LeaseStatus{Now: now, Leased: s.session.Valid()} // Valid after now, so valid then too.
}

// signal sends to a channel with a buffer of one, unless a signal is pending already.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
