// Package daemon runs one daemon as a process: its keys, its link socket, its health
// pages and its planned stop at SIGTERM.
package daemon

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/identity"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/process/health"
	"github.com/egretreach/egretreach/internal/process/logging"
	"github.com/egretreach/egretreach/internal/process/settings"
	"github.com/egretreach/egretreach/internal/telemetry/event"
	"github.com/egretreach/egretreach/internal/telemetry/metric"
)

// Daemon is what runs.
type Daemon struct {
	// Run serves until its context ends.
	Run func(ctx context.Context) error
	// Ready says why the daemon takes no new work, or nil.
	Ready func() error
	// Shutdown carries out a planned stop that cuts nothing off; after it, Run's
	// context ends. It ends early when its own context ends.
	Shutdown func(ctx context.Context)
	// Reload, if set, takes in the settings file again at SIGHUP.
	Reload func()
}

// Dependencies are what a daemon is built from.
type Dependencies struct {
	Socket *transport.Endpoint
	// Credentials are the process's own.
	Credentials *identity.Credentials
	Metrics     *metric.Registry
	Logger      *log.Logger
}

// Options is the part of the settings that all daemons share.
type Options struct {
	Role   host.Role
	Host   settings.Host
	Link   settings.Link
	Health settings.Health
	// Metrics is a second listener for the same pages, if it has an address.
	Metrics settings.Health
	Keys    settings.Keys
	// PrivateNetwork says that there are no keys; peers are taken for what they say.
	PrivateNetwork bool

	Log  settings.Log
	Stop settings.Stop
	// Reload receives requests to read settings or keys again, see NotifyReload.
	Reload <-chan os.Signal
	Build  func(Dependencies) (Daemon, error)
}

// NotifyReload returns the process's SIGHUPs. A daemon calls it before anything else: one
// that comes while it starts must not end it.
func NotifyReload() <-chan os.Signal {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	return reload
}

// Run runs a daemon until SIGINT or SIGTERM, which begin a planned stop; a second
// signal ends the process at once.
func Run(ctx context.Context, setup Options) error {
	output := logging.NewAsyncWriter(os.Stdout)
	defer output.Close()
	logger := logging.New(setup.Log, output)
	credentials, err := openKeys(setup)
	if err != nil {
		return err
	}
	socket, err := listen(setup.Link.Address)
	if err != nil {
		return err
	}
	parts := Dependencies{
		Socket: transport.New(socket, credentials, transport.Options{
			Offload: setup.Link.Offload, DialFrom: dialFrom(setup.Link.Address),
		}),
		Credentials: credentials,
		Metrics:     metric.New(),
		Logger:      logger,
	}
	defer func() { _ = parts.Socket.Close() }()
	d, err := setup.Build(parts)
	if err != nil {
		return err
	}
	pages := health.Server{Metrics: parts.Metrics, Ready: d.Ready}
	watch := func(ctx context.Context) error {
		if setup.PrivateNetwork {
			watchSettings(ctx, d, setup.Reload)
			return nil
		}
		watcher := identity.Watcher{
			Credentials: credentials, Folder: setup.Keys.Folder, Every: setup.Keys.CheckInterval, Reload: setup.Reload, Logger: logger,
		}
		watcher.Run(ctx)
		return nil
	}
	serve := func(address settings.Address) func(context.Context) error {
		return func(ctx context.Context) error { return pages.Run(ctx, address.String()) }
	}
	return supervise(ctx, d, setup.Stop, watch, serve(setup.Health.Address), serve(setup.Metrics.Address))
}

// openKeys returns the process's credentials: its own unchecked ones on a private network.
func openKeys(setup Options) (*identity.Credentials, error) {
	self := identity.Identity{Role: setup.Role, Host: setup.Host.ID}
	if setup.PrivateNetwork {
		return identity.NewPrivate(self, time.Now())
	}
	return identity.Open(setup.Keys.Folder, self)
}

// settingsCheckInterval is the pace at which a settings file is looked at for a change that came
// without a signal.
const settingsCheckInterval = 2 * time.Second

// watchSettings lets the daemon look at its settings again at each signal and now and then.
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

// supervise runs d and what stands beside it, until a signal has stopped d.
func supervise(ctx context.Context, d Daemon, stop settings.Stop, beside ...func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		defer cancel()
		return d.Run(ctx)
	})
	for _, run := range beside {
		group.Go(func() error { return run(ctx) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
		}
		shutdown(ctx, d, stop, signals)
		cancel()
		return nil
	})
	return group.Wait()
}

func shutdown(ctx context.Context, d Daemon, stop settings.Stop, signals <-chan os.Signal) {
	ctx, cancel := context.WithTimeout(ctx, stop.ShutdownDelay+stop.DrainTimeout)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.Shutdown(ctx)
	}()
	select {
	case <-done:
	case <-signals:
		cancel()
		<-done
	}
}

// dialFrom opens sockets on free ports of the link address's IP number.
func dialFrom(address settings.Address) func() (net.PacketConn, error) {
	return func() (net.PacketConn, error) {
		udp, err := net.ResolveUDPAddr("udp", address.String())
		if err != nil {
			return nil, err
		}
		return net.ListenUDP("udp", &net.UDPAddr{IP: udp.IP})
	}
}

func listen(address settings.Address) (net.PacketConn, error) {
	udp, err := net.ResolveUDPAddr("udp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "link address")
	}
	socket, err := net.ListenUDP("udp", udp)
	return socket, errors.Wrap(err, "link socket")
}

// Listen opens the callers' listener.
func Listen(ctx context.Context, address settings.Address) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address.String())
	return listener, errors.Wrap(err, "listener")
}

// LogInvalidSettings logs a refused settings file as a numbered event.
func LogInvalidSettings(err error) error {
	logger := logging.New(settings.Log{}, os.Stderr)
	event.SettingsInvalid.On(logger).Str("reason", err.Error()).Msg("")
	return err
}
