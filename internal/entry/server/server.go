// Package server is the entry daemon: it takes callers' requests, admits and routes
// them by policy, and keeps no state that must survive it.
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
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"github.com/egretreach/egretreach/internal/entry/api"
	"github.com/egretreach/egretreach/internal/entry/dispatch"
	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/link/session"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/process/pause"
	"github.com/egretreach/egretreach/internal/telemetry/event"
	"github.com/egretreach/egretreach/internal/telemetry/metric"
)

// Options are the settings of a Server.
type Options struct {
	Host          host.ID
	FailureDomain domain.Failure
	Control       []string
	// Link is the process's socket for links.
	Link    *transport.Endpoint
	Metrics *metric.Registry
	Logger  *log.Logger
	// HTTP bounds of the callers' connections; zero takes the defaults.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	IdleTimeout   time.Duration
	MaxHeader     int
	// MaxConnections bounds the callers' open connections; 0 is no bound.
	MaxConnections int
	// ShutdownDelay is how long a planned stop goes on taking work after readiness failed.
	ShutdownDelay time.Duration
	// DrainTimeout bounds the wait for work in flight at a planned stop.
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

// Server is one entry daemon. Use New.
type Server struct {
	opts        Options
	incarnation host.Incarnation
	session     *session.Session
	dispatcher  *dispatch.Dispatcher
	policy      *policy
	meter       *meter
	handler     http.Handler
	// base ends, by end, when Run does, and with it what goes on without a caller.
	base context.Context
	end  context.CancelFunc

	stopping atomic.Bool
	inFlight inFlight
	refusing atomic.Bool
}

// New returns an entry that Run starts.
func New(opts Options) (*Server, error) {
	opts = opts.withDefaults()
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // Load balancing needs no secret randomness.
	s := &Server{opts: opts, incarnation: host.Incarnation(rng.Uint64()), policy: newPolicy(rng)}
	s.base, s.end = context.WithCancel(context.Background())
	s.meter = newMeter(opts.Metrics, s.policy)
	links := pool.New(opts.Link)
	s.session = session.New(session.Options{Pool: links, Control: opts.Control, Daemon: s, Logger: opts.Logger})
	s.dispatcher = dispatch.New(dispatch.Options{
		BaseContext: s.base, Pool: links, Control: s.session, Router: s, Retrier: s.policy, Logger: opts.Logger,
	})
	handler, err := api.New(s, opts.Logger)
	if err != nil {
		return nil, errors.Wrap(err, "caller API")
	}
	s.handler = handler
	return s, nil
}

// Handler returns the callers' routes.
func (s *Server) Handler() http.Handler { return s.handler }

// Ready says why the entry takes no new work, or nil.
func (s *Server) Ready() error {
	switch {
	case s.stopping.Load():
		return errors.New("the entry is stopping")
	case !s.session.Valid():
		return errors.New("no lease, or no configuration confirmed by control")
	case !s.policy.holdsShares():
		return errors.New("no share of the teams' limits yet")
	default:
		return nil
	}
}

// Run serves callers on listener until ctx ends. Call Shutdown first for a planned
// stop that cuts nothing off.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.end()
	if s.opts.MaxConnections > 0 {
		listener = netutil.LimitListener(listener, s.opts.MaxConnections)
	}
	callers := &http.Server{
		Handler: s.handler, ReadHeaderTimeout: s.opts.HeaderTimeout, ReadTimeout: s.opts.BodyTimeout,
		IdleTimeout: s.opts.IdleTimeout, MaxHeaderBytes: s.opts.MaxHeader,
	}
	event.ProcessStarted.On(s.opts.Logger).Str("role", "entry").Str("host", string(s.opts.Host)).
		Str("address", listener.Addr().String()).Msg("")
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.session.Run(ctx) })
	group.Go(func() error {
		err := callers.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	group.Go(func() error {
		<-ctx.Done()
		return callers.Close()
	})
	return group.Wait()
}

// Shutdown carries out a planned stop: readiness fails at once, work is taken for
// the notice time, then what runs is finished and the lease is given up.
func (s *Server) Shutdown(ctx context.Context) {
	event.ProcessStopping.On(s.opts.Logger).Str("role", "entry").Msg("")
	s.stopping.Store(true)
	pause.For(ctx, s.opts.ShutdownDelay)
	s.refusing.Store(true)
	longest := time.NewTimer(s.opts.DrainTimeout)
	defer longest.Stop()
	cut := 0
	select {
	case <-s.inFlight.whenIdle():
	case <-longest.C:
		cut = s.policy.running()
	case <-ctx.Done():
		cut = s.policy.running()
	}
	_ = s.session.Goodbye()
	event.ProcessStopped.On(s.opts.Logger).Str("role", "entry").Int("cut", cut).Msg("")
}
