// Package server is the agent: the daemon beside a host's endpoints. It is the
// only way by which orders and requests reach them, and gates both.
package server

import (
	"context"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/agent/attempt"
	"github.com/egretreach/egretreach/internal/agent/engine"
	"github.com/egretreach/egretreach/internal/agent/gate"
	"github.com/egretreach/egretreach/internal/agent/plain"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/session"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// Server is one agent. Use New.
type Server struct {
	opts     Options
	session  *session.Session
	engine   *engine.Client
	services map[string]*plain.Client
	orders   chan *message.Order
	// polled wakes the engine poll, changed the gate's watch.
	polled   chan struct{}
	changed  chan struct{}
	rejected atomic.Uint64

	mu       sync.Mutex
	base     context.Context
	stop     context.CancelCauseFunc
	gate     *gate.Gate
	attempts *attempt.Table
	running  map[message.Ref]*run
	// calls counts the entries' calls in progress. ended is closed, and then nil,
	// whenever work ends or an order comes.
	calls    int
	ended    chan struct{}
	waiters  map[attempt.Waiter]chan message.AskResult
	waiter   attempt.Waiter
	load     view.Load
	start    string
	loading  uint64
	newest   replica.Fence
	headIdle bool
	// open is what the watch last saw of the gate.
	open    bool
	beatAck time.Time
}

// New returns an agent that Run starts.
func New(opts Options) *Server {
	for opts.Info.Incarnation == 0 {
		id := request.NewID()
		opts.Info.Incarnation = host.Incarnation(binary.LittleEndian.Uint64(id[:]))
	}
	if opts.CallLimit == 0 {
		opts.CallLimit = DefaultCallLimit
	}
	s := &Server{
		opts:     opts,
		services: map[string]*plain.Client{},
		orders:   make(chan *message.Order, orderQueue),
		polled:   make(chan struct{}, 1),
		changed:  make(chan struct{}, 1),
		gate:     gate.New(opts.Info.ID),
		attempts: attempt.New(opts.Info.Incarnation, opts.Limits),
		running:  map[message.Ref]*run{},
		waiters:  map[attempt.Waiter]chan message.AskResult{},
	}
	if opts.EngineURL != "" {
		s.engine = engine.New(engine.Options{URL: opts.EngineURL, Orderer: opts.Orderer, Transport: opts.EngineTransport})
	}
	for name, url := range opts.Services {
		s.services[name] = plain.New(plain.Options{URL: url, Transport: opts.ServiceTransport})
	}
	s.meter()
	s.session = session.New(session.Options{Pool: opts.Pool, ControlAddresses: opts.Control, Daemon: s, Logger: opts.Logger})
	return s
}

// Run serves until ctx ends or another agent takes the host over.
func (s *Server) Run(ctx context.Context) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	s.mu.Lock()
	s.base, s.stop = ctx, stop
	s.mu.Unlock()
	loops := []func(context.Context) error{s.serve, s.session.Run, s.carryOut, s.poll, s.watch, s.beat}
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

func (s *Server) serve(ctx context.Context) error {
	return errors.Wrap(s.opts.Endpoint.Serve(ctx, s.handle), "agent")
}

// Ready reports whether the agent holds its lease and is not stopping.
func (s *Server) Ready() bool {
	at := s.reading()
	s.mu.Lock()
	defer s.mu.Unlock()
	return at.Leased && !s.gate.Stopping()
}

// Incarnation returns the incarnation that the agent announces.
func (s *Server) Incarnation() host.Incarnation { return s.opts.Info.Incarnation }

// Rejected returns the number of frames and engine events that were dropped as
// malformed, late or for another request.
func (s *Server) Rejected() uint64 { return s.rejected.Load() }

func (s *Server) reject(peer, reason string, count int) {
	if count <= 0 {
		return
	}
	s.rejected.Add(uint64(count))
	event.FrameRejected.On(s.opts.Logger).Str("peer", peer).Str("reason", reason).Int("count", count).Msg("")
}

// reading reads the clock and the lease for one check.
func (s *Server) reading() gate.Reading {
	leased := s.session.Valid()
	now := time.Now()
	return gate.Reading{Now: now, Leased: leased && now.Before(s.session.LeaseExpiry())}
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
