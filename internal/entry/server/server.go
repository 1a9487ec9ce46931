// Package server implements the entry daemon. It accepts callers' requests, admits and
// routes them, and keeps no state that must survive a restart.
package server

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/egretreach/egretreach/internal/entry/api"
	"github.com/egretreach/egretreach/internal/entry/dispatch"
	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/link/session"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/process/httpserver"
	"github.com/egretreach/egretreach/internal/process/inflight"
	"github.com/egretreach/egretreach/internal/process/pause"
	"github.com/egretreach/egretreach/internal/telemetry/event"
	"github.com/egretreach/egretreach/internal/telemetry/metric"
)

// Options are the settings of a Server.
type Options struct {
	Host             host.ID
	FailureDomain    domain.Failure
	ControlAddresses []string
	// Link is the process's socket for links.
	Link    *transport.Socket
	Metrics *metric.Registry
	Logger  *log.Logger
	// HTTP limits of callers' connections; zero means the default.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	IdleTimeout   time.Duration
	MaxHeader     int
	// MaxConnections bounds the callers' open connections. The default of httpserver is used for 0 and for higher values.
	MaxConnections int
	// Callers bounds the memory that callers take. nil is a budget with the defaults.
	Callers *httpserver.Budget
	// AnswerMemory bounds what the answers that are being received take, in bytes. 0 is the default of dispatch.
	AnswerMemory int64
	// ShutdownDelay is how long a planned stop still accepts requests after readiness
	// fails.
	ShutdownDelay time.Duration
	// DrainTimeout bounds the wait for requests in flight at a planned stop.
	DrainTimeout time.Duration
}

// Defaults of Options.
const (
	defaultHeaderTimeout = 10 * time.Second
	defaultBodyTimeout   = 60 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	defaultDrainTimeout  = 2 * time.Minute
)

func (o Options) withDefaults() Options {
	setDefault(&o.HeaderTimeout, defaultHeaderTimeout)
	setDefault(&o.BodyTimeout, defaultBodyTimeout)
	setDefault(&o.IdleTimeout, defaultIdleTimeout)
	setDefault(&o.DrainTimeout, defaultDrainTimeout)
	setDefault(&o.MaxHeader, api.MaxHeaderBytes)
	if o.Metrics == nil {
		o.Metrics = metric.New()
	}
	return o
}

func setDefault[T ~int | ~int64](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
	}
}

// Server is the entry daemon. Create it with New.
type Server struct {
	opts        Options
	incarnation host.Incarnation
	session     *session.Session
	dispatcher  *dispatch.Dispatcher
	scheduler   *scheduler
	metrics     *requestMetrics
	handler     http.Handler
	// callers serves the handler over HTTP.
	callers *httpserver.Server
	// baseContext ends when the time of a planned stop is up or Run returns, and with it all work, also that which continues without
	// a caller.
	baseContext context.Context
	cancelBase  context.CancelFunc

	stopping  atomic.Bool
	inFlight  inflight.Requests
	refuseNew atomic.Bool
}

// New returns an entry daemon. Run starts it.
func New(opts Options) (*Server, error) {
	opts = opts.withDefaults()
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // Load balancing needs no secret randomness.
	s := &Server{opts: opts, incarnation: host.Incarnation(rng.Uint64()), scheduler: newScheduler(rng)}
	s.baseContext, s.cancelBase = context.WithCancel(context.Background())
	s.metrics = newRequestMetrics(opts.Metrics, s.scheduler)
	links := pool.New(opts.Link)
	s.session = session.New(session.Options{Pool: links, ControlAddresses: opts.ControlAddresses, Daemon: s, Logger: opts.Logger})
	s.scheduler.evacuated = s.session.Evacuated
	s.dispatcher = dispatch.New(dispatch.Options{
		BaseContext: s.baseContext, Pool: links, Control: s.session, Router: s, Retrier: s.scheduler, Logger: opts.Logger,
		AnswerMemory: opts.AnswerMemory,
	})
	handler, err := api.New(s, opts.Logger)
	if err != nil {
		return nil, errors.Wrap(err, "caller API")
	}
	s.handler = handler
	limits := httpserver.CallerLimits{Budget: opts.Callers, Connections: httpserver.DefaultCallerConnections()}
	if opts.MaxConnections > 0 {
		limits.Connections = min(opts.MaxConnections, limits.Connections)
	}
	s.callers = httpserver.New(&http.Server{
		Handler: handler, ReadHeaderTimeout: opts.HeaderTimeout, ReadTimeout: opts.BodyTimeout, IdleTimeout: opts.IdleTimeout,
		MaxHeaderBytes: opts.MaxHeader,
	}, handler, limits) // The handler refuses requests by itself, since only it knows whether an earlier submission has run.
	return s, nil
}

// Handler returns the handler of the caller API.
func (s *Server) Handler() http.Handler { return s.handler }

// Ready returns the reason why the entry accepts no new requests, or nil.
func (s *Server) Ready() error {
	switch {
	case s.stopping.Load():
		return errors.New("the entry is stopping")
	case !s.session.Valid():
		return errors.New("no lease, or no configuration confirmed by control")
	case !s.scheduler.holdsShares():
		return errors.New("no share of the teams' limits yet")
	default:
		return nil
	}
}

// Run serves callers on listener until ctx ends. Call Shutdown first for a planned stop
// that lets requests in flight finish.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.cancelBase()
	event.ProcessStarted.On(s.opts.Logger).Str("role", "entry").Str("host", string(s.opts.Host)).
		Str("address", listener.Addr().String()).Msg("")
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.session.Run(ctx) })
	group.Go(func() error { return s.callers.Serve(listener) })
	group.Go(func() error {
		<-ctx.Done()
		return s.callers.Close()
	})
	return group.Wait()
}

// Shutdown performs a planned stop. Readiness fails at once, requests are still accepted for ShutdownDelay, then requests in flight
// finish, within DrainTimeout, and the lease is released. Those that last longer are cut, and their callers get an answer. It returns the
// number of requests that were cut.
func (s *Server) Shutdown(ctx context.Context) int {
	s.stopping.Store(true)
	pause.For(ctx, s.opts.ShutdownDelay)
	s.refuseNew.Store(true)
	ctx, cancel := context.WithTimeout(ctx, s.opts.DrainTimeout)
	defer cancel()
	cut := 0
	if s.drain(ctx) != nil {
		cut = s.inFlight.Count()
		s.cutRequests(ctx)
	}
	_ = s.session.Goodbye()
	return cut
}

// cutTimeout bounds how long a stopping entry waits until the requests that it cuts have been answered.
const cutTimeout = 100 * time.Millisecond

// cutRequests ends the work for all requests in flight and waits until their callers have got an answer.
func (s *Server) cutRequests(ctx context.Context) {
	s.cancelBase()
	answering, cancel := context.WithTimeout(context.WithoutCancel(ctx), cutTimeout)
	defer cancel()
	_ = s.callers.Stop(answering) // An error means that some callers don't read.
}

// drain waits until no request is in flight and all responses have been sent, or ctx ends.
// Connections are accepted, and their requests refused, as long as requests are in flight.
func (s *Server) drain(ctx context.Context) error {
	select {
	case <-s.inFlight.WhenIdle():
		return s.callers.Stop(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int { return s.inFlight.Count() }
