// Package gateway is the entry daemon of platforms on which endpoints announce
// themselves. It takes callers' requests over HTTP/1.1 and sends them on, unchanged, to
// the endpoints of their route.
package gateway

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/egretreach/egretreach/internal/entry/balance"
	"github.com/egretreach/egretreach/internal/entry/dialect"
	"github.com/egretreach/egretreach/internal/entry/upstream"
	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/fleet/routes"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/process/pause"
	"github.com/egretreach/egretreach/internal/telemetry/event"
	"github.com/egretreach/egretreach/internal/telemetry/metric"
)

const (
	// Bounds of a caller's connection while no limits are in force yet, and the room that
	// is left above the limits, so that a caller at a limit is not cut off.
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	defaultBodyBytes     = 4 << 20
	// sweepEvery is the pace at which old connections are closed.
	sweepEvery = 500 * time.Millisecond
)

// RetryLimits bound what all gateways together send a second time to one service.
type RetryLimits struct {
	// Ratio is the repeats for each request, and Slack the number beyond that in Window.
	Ratio  float64
	Burst  float64
	Window time.Duration
}

// Options describe one gateway.
type Options struct {
	Self          host.ID
	FailureDomain domain.Failure
	Pool          *pool.Pool
	// Seeds are the link addresses of some control hosts.
	Seeds   []string
	Dialect dialect.Dialect
	Retries RetryLimits
	// ShutdownDelay is how long a stopping gateway still takes requests.
	ShutdownDelay time.Duration
	// RefuseAfter is how long the gateway serves without word from control; 0 is for ever.
	RefuseAfter time.Duration
	// Dial opens connections to endpoints; nil is TCP.
	Dial    upstream.Dialer
	Metrics *metric.Registry
	// Logger may be nil.
	Logger *log.Logger
}

// Gateway is one entry daemon. Use New, then Run.
type Gateway struct {
	opts    Options
	table   atomic.Pointer[routes.Table]
	metrics gatewayMetrics

	mu           sync.Mutex
	balancer     balance.Balancer
	roster       roster.Roster
	retryBudgets map[string]*balance.RetryBudget
	demand       map[string]*demand

	seeds    []string
	crashes  []crash
	heldBack map[uint64]bool
	waits    waits
	upstream upstream.Pool
	requests atomic.Uint64
	// told is when control last sent a picture, in nanoseconds of the Unix clock.
	told     atomic.Int64
	stopping atomic.Bool
	server   *http.Server
	draw     func() float64
}

// demand is what callers have asked of one model since the last report.
type demand struct {
	engine *routes.Engine
	// size is the sum of the requests' sizes.
	size dialect.Usage
}

// New returns a gateway.
func New(opts Options) *Gateway {
	g := &Gateway{
		opts:         opts,
		balancer:     balance.Balancer{FailureDomain: string(opts.FailureDomain)},
		retryBudgets: map[string]*balance.RetryBudget{},
		demand:       map[string]*demand{},
		metrics:      newGatewayMetrics(opts.Metrics),
		draw:         newDraw(),
		seeds:        opts.Seeds,

		upstream: upstream.Pool{Dial: opts.Dial},
	}
	g.server = &http.Server{
		Handler:           http.HandlerFunc(g.serve),
		MaxHeaderBytes:    defaultHeaderBytes,
		ReadHeaderTimeout: defaultHeaderTimeout,
		IdleTimeout:       defaultIdleTimeout,
		ConnContext:       withConn,
		ErrorLog:          nil,
	}
	return g
}

// Run serves callers on listener until ctx ends.
func (g *Gateway) Run(ctx context.Context, listener net.Listener) error {
	event.ProcessStarted.On(g.opts.Logger).Str("role", "gateway").Str("host", string(g.opts.Self)).
		Str("address", listener.Addr().String()).Msg("")
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		err := g.server.Serve(framedListener{listener})
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return errors.Wrap(err, "callers' listener")
	})
	group.Go(func() error { return g.follow(ctx) })
	group.Go(func() error { return g.sweep(ctx) })
	group.Go(func() error {
		<-ctx.Done()
		return g.server.Close()
	})
	return group.Wait()
}

// SetSeeds replaces the control hosts that are asked when no other is known.
func (g *Gateway) SetSeeds(seeds []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slices.Equal(seeds, g.seeds) {
		return
	}
	g.seeds = slices.Clone(seeds)
	event.SettingsReloaded.On(g.opts.Logger).Strs("seeds", seeds).Msg("")
}

// knownSeeds returns the control hosts to ask.
func (g *Gateway) knownSeeds() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.seeds
}

// Ready says why the gateway takes no new work, or nil.
func (g *Gateway) Ready() error {
	if g.stopping.Load() {
		return errors.New("stopping")
	}
	if g.table.Load() == nil {
		return errors.New("no configuration yet")
	}
	if g.cutOff(time.Now()) {
		return errors.New("cut off from control")
	}
	return nil
}

// cutOff reports whether the gateway may not go on by the configuration that it has.
func (g *Gateway) cutOff(now time.Time) bool {
	return g.opts.RefuseAfter > 0 && now.Sub(time.Unix(0, g.told.Load())) > g.opts.RefuseAfter
}

// Stop stops the gateway without cutting off a request: it is not ready from now on,
// still takes requests for the notice, and then waits for those under way until ctx ends.
func (g *Gateway) Stop(ctx context.Context) {
	event.ProcessStopping.On(g.opts.Logger).Str("role", "gateway").Msg("")
	g.stopping.Store(true)
	pause.For(ctx, g.opts.ShutdownDelay)
	if err := g.server.Shutdown(ctx); err != nil {
		event.ProcessStopped.On(g.opts.Logger).Str("role", "gateway").Err(err).Msg("")
		return
	}
	event.ProcessStopped.On(g.opts.Logger).Str("role", "gateway").Int("cut", 0).Msg("")
}

// endpointSilence is how long an endpoint is kept of which control says nothing new.
const endpointSilence = 24 * time.Hour

// forget drops the endpoints that left long ago.
func (g *Gateway) forget(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.RemoveEndpoints(g.roster.Forget(now, endpointSilence))
}

func (g *Gateway) sweep(ctx context.Context) error {
	for pause.For(ctx, sweepEvery) {
		now := time.Now()
		g.upstream.CloseExpired(now)
		g.forget(now)
	}
	return nil
}

// retryBudget returns the retryBudget of repeats of a service; mu is held.
func (g *Gateway) retryBudget(service string) *balance.RetryBudget {
	b := g.retryBudgets[service]
	if b == nil {
		b = &balance.RetryBudget{}
		g.retryBudgets[service] = b
	}
	b.Ratio = g.opts.Retries.Ratio * ratioPart
	b.Window = g.opts.Retries.Window
	b.Burst = g.opts.Retries.Burst / float64(max(g.balancer.Gateways, 1)) * allowancePart
	return b
}

const (
	// ratioPart and allowancePart keep the sum of all gateways' repeats below the bound
	// while their idea of each other's number is behind. A budget lets through its
	// allowance and half of that again within a window.
	ratioPart     = 0.85
	allowancePart = 0.55
)
