// Package gateway is the entry daemon for platforms on which endpoints announce themselves.
// It is a reverse proxy: it accepts requests over HTTP/1.1 and forwards them to the endpoints
// of their route, with target and body unchanged.
package gateway

import (
	"context"
	stdlog "log"
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
	"github.com/egretreach/egretreach/internal/entry/freshness"
	"github.com/egretreach/egretreach/internal/entry/hedge"
	"github.com/egretreach/egretreach/internal/entry/suspicion"
	"github.com/egretreach/egretreach/internal/entry/upstream"
	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/fleet/routes"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/process/clock"
	"github.com/egretreach/egretreach/internal/process/httpserver"
	"github.com/egretreach/egretreach/internal/process/lateness"
	"github.com/egretreach/egretreach/internal/process/pause"
	"github.com/egretreach/egretreach/internal/telemetry/event"
	"github.com/egretreach/egretreach/internal/telemetry/metric"
)

const (
	// Limits of a caller's connection. They leave room above the limits of a configuration, so
	// that a request slightly over one of those still gets a response. defaultBodyBytes holds
	// only if the configuration sets no limit for bodies.
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	defaultBodyBytes     = 4 << 20
	// sweepInterval is the time between two removals of old endpoints.
	sweepInterval = 500 * time.Millisecond
)

// RetryLimits bound the retries that all gateways together send to one service.
type RetryLimits struct {
	// Ratio is the number of retries allowed for each request.
	Ratio float64
	// Burst is the number of further retries allowed in each Window.
	Burst  float64
	Window time.Duration
}

// Options configure a gateway.
type Options struct {
	Self          host.ID
	FailureDomain domain.Failure
	Pool          *pool.Pool
	// Seeds are the link addresses of some control hosts.
	Seeds   []string
	Dialect dialect.Dialect
	Retries RetryLimits
	// Hedging says when a slow request is sent to a second endpoint. The zero value is never.
	Hedging hedge.Settings
	// ShutdownDelay is how long a stopping gateway still accepts requests.
	ShutdownDelay time.Duration
	// RefuseAfter is how long the gateway serves without an update from control; 0 is no limit.
	RefuseAfter time.Duration
	// ConfigAge is how old the configuration may be by which requests are served while control can be reached. 0 is
	// the default, 1.5 s.
	ConfigAge time.Duration
	// Regions are the regions of failure domains. Endpoints in other domains get no request whose route or team names regions.
	Regions map[string]string
	// BodyMemory bounds the bodies of requests that the gateway holds at once, in bytes. 0 is DefaultBodyMemory.
	BodyMemory int64
	// ResponseMemory bounds what the responses of endpoints make the gateway hold, in bytes. 0 is upstream.DefaultMaxHeld.
	ResponseMemory int
	// Callers bounds the memory that callers take otherwise. nil is a budget with the defaults.
	Callers *httpserver.Budget
	// CallerConnections bounds the open connections of callers. 0 is the default of httpserver.
	CallerConnections int
	// RankedQueue says that requests for services whose routes differ in priority wait by rank, see balance.Balancer.
	RankedQueue bool
	// ServeLate says that late responses have the same value to callers as those in time, see balance.Balancer.
	ServeLate bool
	// ExplainToken authorises operators to request explanations. Explanations are disabled if it is empty.
	ExplainToken string
	// Dial opens connections to endpoints; nil uses TCP.
	Dial    upstream.Dialer
	Metrics *metric.Registry
	// Logger may be nil.
	Logger *log.Logger
}

// Gateway is an entry daemon. Create it with New and start it with Run.
type Gateway struct {
	opts  Options
	table atomic.Pointer[routes.Table]
	// tableSince is when table came into force in this process.
	tableSince atomic.Pointer[time.Time]
	// pending is the first configuration of this process until control has confirmed it.
	pending atomic.Pointer[routes.Table]
	// freshness has the evidence for the age of table, by clock.Now. subscribed reports that there is a subscription at
	// a control host that knows a leader, and following that this is the leader. urgent has a value if a request waits
	// for an answer of control.
	freshness  freshness.Tracker
	subscribed atomic.Bool
	following  atomic.Bool
	urgent     chan struct{}
	lateness   lateness.Meter
	metrics    gatewayMetrics

	// mu guards the fields up to warmUps.
	mu       sync.Mutex
	balancer balance.Balancer
	// evacuationRevision is that of the evacuated failure domains in balancer.
	evacuationRevision uint64
	roster             roster.Roster
	retryBudgets       map[string]*balance.RetryBudget
	hedging            hedging
	demand             map[string]*demand

	seeds []string
	// observer detects requests that crash endpoints. unconfirmed are the interrupted requests
	// whose endpoints are not known to have ended.
	observer    suspicion.Observer
	unconfirmed []brokenRequest
	// arrivals counts the requests since the last report, by scope. resubscribed says that the next report goes
	// to another control host.
	arrivals       map[string]int
	resubscribed   bool
	warmUps        warmUps
	callerTimeouts callerTimeouts
	upstream       upstream.Pool
	bodies         bodyMemory
	requestCount   atomic.Uint64
	// oddNoticeAt is the time of the last log line about a notice that can't be read, in Unix
	// nanoseconds.
	oddNoticeAt atomic.Int64
	// updated is set at each update from control.
	updated  clock.Mark
	stopping atomic.Bool
	// serving is cancelled by cut at the end of the time of a planned stop.
	serving context.Context
	cut     context.CancelFunc
	server  *httpserver.Server
	// randomFraction returns a number from 0 up to, but not including, 1.
	randomFraction func() float64
}

// demand is the demand for one model since the last report.
type demand struct {
	engine *routes.Engine
	// usage is the sum of the requests' usage.
	usage dialect.Usage
}

// New returns a gateway that has no configuration yet.
func New(opts Options) *Gateway {
	g := &Gateway{
		opts:           opts,
		balancer:       balance.Balancer{FailureDomain: string(opts.FailureDomain), Regions: opts.Regions, Ranked: opts.RankedQueue, ServeLate: opts.ServeLate},
		retryBudgets:   map[string]*balance.RetryBudget{},
		demand:         map[string]*demand{},
		arrivals:       map[string]int{},
		hedging:        hedging{settings: opts.Hedging},
		metrics:        newGatewayMetrics(opts.Metrics),
		randomFraction: newRandomFraction(),
		seeds:          opts.Seeds,
		urgent:         make(chan struct{}, 1),

		upstream: upstream.Pool{Dial: opts.Dial, MaxHeld: opts.ResponseMemory},
	}
	if g.bodies.limit = opts.BodyMemory; g.bodies.limit == 0 {
		g.bodies.limit = DefaultBodyMemory
	}
	g.balancer.Phase = g.randomFraction()
	g.serving, g.cut = context.WithCancel(context.Background())
	g.server = g.newServer(nil)
	return g
}

// newServer returns the server of callers. errorLog gets the failures of handlers; nil is the standard
// log.
func (g *Gateway) newServer(errorLog *stdlog.Logger) *httpserver.Server {
	return httpserver.New(&http.Server{
		Handler:           http.HandlerFunc(g.serve),
		MaxHeaderBytes:    defaultHeaderBytes,
		ReadHeaderTimeout: defaultHeaderTimeout,
		IdleTimeout:       defaultIdleTimeout,
		ErrorLog:          errorLog,
	}, http.HandlerFunc(g.refuseStopping), httpserver.CallerLimits{Budget: g.opts.Callers, Connections: g.opts.CallerConnections, OwnBodies: true})
}

// Run serves callers on listener until ctx ends.
func (g *Gateway) Run(ctx context.Context, listener net.Listener) error {
	event.ProcessStarted.On(g.opts.Logger).Str("role", "gateway").Str("host", string(g.opts.Self)).
		Str("address", listener.Addr().String()).Msg("")
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.serveCallers(ctx, listener) })
	group.Go(func() error { return g.subscribe(ctx) })
	group.Go(func() error { return g.sweep(ctx) })
	group.Go(func() error { return g.lateness.Run(ctx) })
	group.Go(func() error {
		<-ctx.Done()
		return g.server.Close()
	})
	return group.Wait()
}

// serveCallers serves callers on listener until the server stops. If the listener fails it returns
// the error once the requests in flight have ended, or ctx has.
func (g *Gateway) serveCallers(ctx context.Context, listener net.Listener) error {
	err := g.server.Serve(framingListener{listener})
	if err == nil {
		return nil
	}
	g.stopping.Store(true)
	_ = g.server.Stop(ctx) // An error means that ctx has ended, and with it the process.
	return errors.Wrap(err, "callers' listener")
}

// SetSeeds replaces the link addresses of the control hosts that the settings name.
func (g *Gateway) SetSeeds(seeds []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slices.Equal(seeds, g.seeds) {
		return
	}
	g.seeds = slices.Clone(seeds)
	event.SettingsReloaded.On(g.opts.Logger).Strs("seeds", seeds).Msg("")
}

// currentSeeds returns the control hosts that the settings name.
func (g *Gateway) currentSeeds() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.seeds
}

// Ready returns nil if the gateway accepts requests, else an error with the reason.
func (g *Gateway) Ready() error {
	if g.stopping.Load() {
		return errors.New("stopping")
	}
	if g.table.Load() == nil {
		return errors.New("no configuration yet")
	}
	if g.isCutOff() {
		return errors.New("cut off from control")
	}
	return nil
}

// isCutOff reports whether the last update from control is older than RefuseAfter allows.
func (g *Gateway) isCutOff() bool {
	return g.opts.RefuseAfter > 0 && g.updated.Age() > g.opts.RefuseAfter
}

// Shutdown shuts the gateway down gracefully: it is not ready from now on, accepts requests for
// ShutdownDelay, and then refuses new ones and waits until those in flight have ended or ctx ends. It
// returns the number of requests that were cut.
func (g *Gateway) Shutdown(ctx context.Context) int {
	g.stopping.Store(true)
	pause.For(ctx, g.opts.ShutdownDelay)
	if g.server.Stop(ctx) == nil {
		return 0
	}
	return g.cutRequests(ctx)
}

// cutTimeout bounds how long a gateway waits until the requests that it cuts have been answered, and
// then until those have ended whose callers don't read.
const cutTimeout = 100 * time.Millisecond

// cutRequests fails the requests in flight, closes the connections of callers, and returns how many
// requests there were. Callers to which nothing has been sent get a response.
func (g *Gateway) cutRequests(ctx context.Context) int {
	count := g.server.Unanswered()
	g.cut()
	ctx = context.WithoutCancel(ctx)
	answering, cancel := context.WithTimeout(ctx, cutTimeout)
	defer cancel()
	if g.server.Stop(answering) == nil {
		return count
	}
	_ = g.server.Close()
	ending, cancel := context.WithTimeout(ctx, cutTimeout)
	defer cancel()
	select {
	case <-g.server.WhenIdle():
	case <-ending.Done():
	}
	return count
}

// isCutting reports whether the time of a planned stop is up.
func (g *Gateway) isCutting() bool { return g.serving.Err() != nil }

// InFlight returns the number of requests being served.
func (g *Gateway) InFlight() int { return g.server.InFlight() }

// endpointRetention is how long an endpoint is kept without a new announcement from control.
const endpointRetention = 24 * time.Hour

// removeOldEndpoints removes the endpoints that left long ago, or that control has not
// announced for endpointRetention and the roster's tombstone time together.
func (g *Gateway) removeOldEndpoints(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.RemoveEndpoints(g.roster.Forget(now, endpointRetention))
}

// sweep removes old endpoints until ctx ends.
func (g *Gateway) sweep(ctx context.Context) error {
	for pause.For(ctx, sweepInterval) {
		now := time.Now()
		g.removeOldEndpoints(now)
		g.logEndedNotices(now)
	}
	return nil
}

// retryBudget returns the retry budget of a service, adjusted to the number of gateways; mu
// must be held.
func (g *Gateway) retryBudget(service string) *balance.RetryBudget {
	b := g.retryBudgets[service]
	if b == nil {
		b = &balance.RetryBudget{}
		g.retryBudgets[service] = b
	}
	b.Ratio = g.opts.Retries.Ratio * ratioShare
	b.Window = g.opts.Retries.Window
	b.Burst = g.opts.Retries.Burst / float64(max(g.balancer.Gateways, 1)) * burstShare
	return b
}

const (
	// ratioShare and burstShare scale the limits down so that the retries of all gateways stay
	// within them while the known number of gateways is out of date. Besides its ratio a budget
	// allows one and a half times its burst in a window.
	ratioShare = 0.85
	burstShare = 0.55
)
