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
	pollInterval    = 500 * time.Millisecond
	loadingInterval = 100 * time.Millisecond
	healthTimeout   = 2 * time.Second
	orderTimeout    = 5 * time.Second
	orderRetryDelay = 200 * time.Millisecond
	orderTries      = 3
	releaseWait     = 2 * time.Minute
	leaseWait       = 2 * time.Second
	cancelTimeout   = 2 * time.Second
	reportTimeout   = 30 * time.Second
	lingerTimeout   = time.Second
	// supersededWait is how long a superseded agent finishes calls for.
	supersededWait = time.Second
	// DefaultCallLimit bounds an at-most-once attempt whose entry is gone.
	DefaultCallLimit = 5 * time.Minute
	orderQueue       = 64
)

// Options are the settings of a Server.
type Options struct {
	// Info is what the agent announces. A zero incarnation is drawn by New.
	Info host.Info
	// EngineURL is the engine's base URL, empty if the host has none.
	EngineURL string
	// Orderer is the token shown to an engine that checks who gives it orders.
	Orderer string
	// Services are the base URLs of the plain services, by name.
	Services map[string]string
	// EngineTransport and ServiceTransport replace TCP, for tests.
	EngineTransport  http.RoundTripper
	ServiceTransport http.RoundTripper
	Endpoint         *transport.Endpoint
	// Pool dials from Endpoint.
	Pool *pool.Pool
	// Control are the link addresses of the control hosts.
	Control []string
	// CheckConfig refuses a fleet configuration that this version can't hold. Nil takes all.
	CheckConfig func(yaml []byte) error
	Limits      attempt.Limits
	// Metrics may be nil.
	Metrics   *metric.Registry
	CallLimit time.Duration
	Logger    *log.Logger
}
