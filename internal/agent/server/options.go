package server

import (
	"net/http"
	"time"

	"github.com/phuslu/log"

	"github.com/egretreach/egretreach/internal/agent/attempt"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/telemetry/metric"
)

// Timing of the agent.
const (
	pollInterval        = 500 * time.Millisecond
	loadingPollInterval = 100 * time.Millisecond
	healthTimeout       = 2 * time.Second
	orderTimeout        = 5 * time.Second
	orderRetryDelay     = 200 * time.Millisecond
	orderTries          = 3
	// releaseTimeout limits the wait for work in progress before a release order is
	// executed anyway, and firstLeaseTimeout the wait for a lease before an order.
	releaseTimeout     = 2 * time.Minute
	firstLeaseTimeout  = 2 * time.Second
	cancelTimeout      = 2 * time.Second
	crashReportTimeout = 30 * time.Second
	// supersededTimeout limits the time that calls in progress get after another
	// agent has taken over the host.
	supersededTimeout = time.Second
	// lateDispatchTime is how long after the start of a planned stop dispatches may
	// arrive from entries that do not know of it: they were silent, or a claim took long.
	lateDispatchTime = 2 * time.Second
	// stopKnownTimeout bounds the wait until control knows of a planned stop.
	stopKnownTimeout = 4 * time.Second
	// viewPushTime is how long after control knows of it dispatches may still arrive.
	viewPushTime = time.Second
	// DefaultMaxAttemptTime is the default of Options.MaxAttemptTime.
	DefaultMaxAttemptTime = 5 * time.Minute
	orderQueueSize        = 64
)

// Options are the settings of a Server.
type Options struct {
	// Info is announced to control. New replaces a zero incarnation by a random one.
	Info host.Info
	// EngineURL is the engine's base URL. Empty means that the host has no engine.
	EngineURL string
	// OrdererToken is the token sent with orders to an engine that authenticates
	// them.
	OrdererToken string
	// Services are the base URLs of the plain services, by name.
	Services map[string]string
	// EngineTransport and ServiceTransport replace the TCP transports, for tests.
	EngineTransport  http.RoundTripper
	ServiceTransport http.RoundTripper
	// Socket accepts the links of entries and agents.
	Socket *transport.Socket
	// Pool holds the links dialed from Socket.
	Pool *pool.Pool
	// ControlAddresses lists the link addresses of the control hosts.
	ControlAddresses []string
	// CheckConfig returns an error for a fleet configuration that this version does
	// not support. Nil accepts all.
	CheckConfig func(yaml []byte) error
	// AttemptLimits bounds the table of attempts.
	AttemptLimits attempt.Limits
	// Metrics may be nil.
	Metrics *metric.Registry
	// MaxAttemptTime limits how long an attempt may run if it is at-most-once or its
	// dispatch has no timeout. An at-most-once attempt continues after its entry is
	// gone. Zero means DefaultMaxAttemptTime.
	MaxAttemptTime time.Duration
	Logger         *log.Logger
}
