// Package daemon runs one of the daemons as a process: it opens the keys and the link socket, serves
// the health pages and stops the daemon gracefully at SIGINT or SIGTERM.
package daemon

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/identity"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/process/health"
	"github.com/egretreach/egretreach/internal/process/httpserver"
	"github.com/egretreach/egretreach/internal/process/logging"
	"github.com/egretreach/egretreach/internal/process/settings"
	"github.com/egretreach/egretreach/internal/telemetry/event"
	"github.com/egretreach/egretreach/internal/telemetry/metric"
)

// Daemon holds the functions through which Run operates a daemon.
type Daemon struct {
	// Run serves until its context ends.
	Run func(ctx context.Context) error
	// Ready returns the reason why the daemon accepts no new work, or nil.
	Ready func() error
	// InFlight returns how many requests the daemon is serving. It may be nil.
	InFlight func() int
	// Shutdown carries out a planned stop: it returns once the work in flight has ended, or
	// early if ctx ends, with the number of requests that were cut. The context of Run ends after
	// it has returned.
	Shutdown func(ctx context.Context) (cut int)
	// Reload reads the settings file again. It is called on a private network only, at SIGHUP and
	// every settingsCheckInterval. It may be nil.
	Reload func()
	// Pages are further pages of the health listeners, by the patterns of http.ServeMux.
	Pages map[string]http.Handler
}

// Dependencies are passed to Options.Build to create a daemon.
type Dependencies struct {
	// Socket is the UDP socket for links to the other processes.
	Socket *transport.Socket
	// Credentials identify this process to its peers.
	Credentials *identity.Credentials
	Metrics     *metric.Registry
	Logger      *log.Logger
	// Callers bounds the memory that callers of all listeners of the process take.
	Callers *httpserver.Budget
	// Memory is what the process may take, in bytes, or 0 if it isn't known.
	Memory int64
}

// Options are the settings that all daemons share and the function that creates the daemon.
type Options struct {
	// Name is the daemon's name in the log.
	Name   string
	Role   host.Role
	Host   settings.Host
	Link   settings.Link
	Health settings.Health
	// Metrics is a second listener for the same pages as Health. It is used if it has an address.
	Metrics settings.Health
	Keys    settings.Keys
	// PrivateNetwork reports that no keys are provided and that peers are trusted without
	// authentication.
	PrivateNetwork bool

	Log  settings.Log
	Stop settings.Stop
	// Memory bounds the memory of the process and what its callers may take of it.
	Memory settings.Memory
	// BodyMemory is the part of the callers' memory for bodies that the daemon bounds by itself, or 0.
	BodyMemory int64
	// Reload receives the signals to read the settings again on a private network, and the keys
	// otherwise. NotifyReload returns such a channel.
	Reload <-chan os.Signal
	// StopSignals receives the signals that start a planned stop. NotifyStop returns such a
	// channel.
	StopSignals <-chan os.Signal
	// Build creates the daemon.
	Build func(Dependencies) (Daemon, error)
}

// NotifyReload returns a channel that receives the SIGHUPs of the process. A daemon must call it
// before anything else, since a SIGHUP that is not caught ends the process, also while it starts.
func NotifyReload() <-chan os.Signal {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	return reload
}

// NotifyStop returns a channel that receives the SIGINTs and SIGTERMs of the process, which start a
// planned stop. They stay caught until the process exits, since one that is not caught ends the
// process at once.
func NotifyStop() <-chan os.Signal {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	return signals
}

// Run runs a daemon until a signal from opts.StopSignals, which starts a planned stop. Further
// signals change nothing: the settings limit the stop, and only SIGKILL ends the process sooner.
func Run(ctx context.Context, opts Options) error {
	ignoreBrokenPipes()
	writer := logging.NewAsyncWriter(os.Stdout)
	defer writer.Close()
	logger := logging.New(opts.Log, writer)
	credentials, err := openKeys(opts)
	if err != nil {
		return err
	}
	socket, err := listen(opts.Link.Address)
	if err != nil {
		return err
	}
	memory := int64(opts.Memory.Process)
	if memory == 0 {
		memory = availableMemory(os.DirFS("/"))
	}
	setMemoryLimit(memory)
	metrics := metric.New()
	budget := budgetOptions(memory, int64(opts.Memory.Callers), opts.BodyMemory)
	budget.Metrics, budget.Logger = metrics, logger
	deps := Dependencies{
		Callers: httpserver.NewBudget(budget),
		Memory:  memory,
		Socket: transport.New(socket, credentials, transport.Options{
			Offload: opts.Link.Offload, NewDialSocket: dialFrom(opts.Link.Address), Logger: logger,
		}),
		Credentials: credentials,
		Metrics:     metrics,
		Logger:      logger,
	}
	defer func() { _ = deps.Socket.Close() }()
	pages, err := listenAll(ctx, opts.Health.Address, opts.Metrics.Address)
	if err != nil {
		return err
	}
	d, err := opts.Build(deps)
	if err != nil {
		return err
	}
	healthServer := health.Server{Metrics: deps.Metrics, Ready: d.Ready, Callers: deps.Callers, Pages: d.Pages}
	watch := func(ctx context.Context) error {
		if opts.PrivateNetwork {
			watchSettings(ctx, d, opts.Reload)
			return nil
		}
		watcher := identity.Watcher{
			Credentials: credentials, Folder: opts.Keys.Folder, Interval: opts.Keys.CheckInterval, Reload: opts.Reload, Logger: logger,
		}
		watcher.Run(ctx)
		return nil
	}
	auxiliary := []func(context.Context) error{watch}
	for _, listener := range pages {
		auxiliary = append(auxiliary, func(ctx context.Context) error { return healthServer.Serve(ctx, listener) })
	}
	s := supervisor{daemon: d, name: opts.Name, stop: opts.Stop, signals: opts.StopSignals, logger: logger}
	return s.run(ctx, auxiliary...)
}

// ignoreBrokenPipes lets writes to the standard output fail when its reader is gone, which would
// otherwise end the process by SIGPIPE.
func ignoreBrokenPipes() { signal.Ignore(syscall.SIGPIPE) }

// openKeys reads the process's credentials from the keys folder. On a private network it makes
// credentials that peers don't verify.
func openKeys(opts Options) (*identity.Credentials, error) {
	self := identity.Identity{Role: opts.Role, Host: opts.Host.ID}
	if opts.PrivateNetwork {
		return identity.NewForPrivateNetwork(self, time.Now())
	}
	return identity.Open(opts.Keys.Folder, self)
}

// settingsCheckInterval is how often a settings file is read again without a signal.
const settingsCheckInterval = 2 * time.Second

// watchSettings calls d.Reload at each signal and every settingsCheckInterval until ctx ends.
func watchSettings(ctx context.Context, d Daemon, reload <-chan os.Signal) {
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		case <-ticker.C:
		}
		if d.Reload != nil {
			d.Reload()
		}
	}
}

// dialFrom returns a function that opens a UDP socket at the IP address of the link, on a free port.
func dialFrom(address settings.Address) func() (net.PacketConn, error) {
	return func() (net.PacketConn, error) {
		udp, err := net.ResolveUDPAddr("udp", address.String())
		if err != nil {
			return nil, err
		}
		return net.ListenUDP("udp", &net.UDPAddr{IP: udp.IP})
	}
}

// listen opens the UDP socket of the link.
func listen(address settings.Address) (net.PacketConn, error) {
	udp, err := net.ResolveUDPAddr("udp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "link address")
	}
	socket, err := net.ListenUDP("udp", udp)
	return socket, errors.Wrap(err, "link socket")
}

// listenAll opens listeners at the addresses that are not empty. A daemon does so before it accepts
// work, which it would cut if it failed.
func listenAll(ctx context.Context, addresses ...settings.Address) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, address := range addresses {
		if address == "" {
			continue
		}
		listener, err := Listen(ctx, address)
		if err != nil {
			for _, opened := range listeners {
				_ = opened.Close()
			}
			return nil, errors.Wrap(err, "health pages")
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

// Listen opens a TCP listener for HTTP requests of callers, endpoints or operators.
func Listen(ctx context.Context, address settings.Address) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address.String())
	return listener, errors.Wrap(err, "listener")
}

// LogInvalidSettings logs the event settings_invalid to the standard error stream and returns err.
func LogInvalidSettings(err error) error {
	logger := logging.New(settings.Log{}, os.Stderr)
	event.SettingsInvalid.On(logger).Str("reason", err.Error()).Msg("")
	return err
}
