package cmd

import (
	"context"
	"time"

	"github.com/egretreach/egretreach/internal/entry/gateway"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/process/daemon"
	"github.com/egretreach/egretreach/internal/process/settings"
	"github.com/egretreach/egretreach/internal/telemetry/event"
	"github.com/egretreach/egretreach/platform"
)

type gatewayCommand struct {
	Config string `help:"Settings file." required:"" type:"path"`
}

// Run runs a gateway until a signal ends it.
func (c gatewayCommand) Run() error {
	return runDaemon(c.Config, settings.LoadGateway, func(ctx context.Context, file settings.Gateway) daemon.Options {
		return daemon.Options{
			Role: host.RoleEntry, Host: file.Host, Link: file.Link.Link(), Health: file.Health, Metrics: file.Metrics, Keys: settings.Keys(file.Keys),
			PrivateNetwork: file.Link.PrivateNetwork, Log: file.Log, Stop: file.Stop,
			Build: func(parts daemon.Dependencies) (daemon.Daemon, error) {
				return buildGateway(ctx, c.Config, file, parts)
			},
		}
	})
}

// refuseAfter is how long a gateway that is cut off from control serves on, 0 for ever.
func refuseAfter(file settings.Gateway) time.Duration {
	if file.WhenCutOff == settings.WhenCutOffRefuse {
		return file.CutOffAfter
	}
	return 0
}

func buildGateway(ctx context.Context, path string, file settings.Gateway, parts daemon.Dependencies) (daemon.Daemon, error) {
	listener, err := daemon.Listen(ctx, file.API)
	if err != nil {
		return daemon.Daemon{}, err
	}
	g := gateway.New(gateway.Options{
		Self: file.Host.ID, FailureDomain: file.Host.FailureDomain, Pool: pool.New(parts.Socket),
		Seeds: file.Link.LinkAddresses(file.Seeds), Dialect: platform.Dialect(), ShutdownDelay: file.Stop.ShutdownDelay,
		Retries:     gateway.RetryLimits{Ratio: file.Retries.Ratio, Burst: file.Retries.Burst, Window: file.Retries.Window},
		RefuseAfter: refuseAfter(file), Metrics: parts.Metrics, Logger: parts.Logger,
	})
	reload := func() {
		changed, err := settings.LoadGateway(path)
		if err != nil {
			event.SettingsInvalid.On(parts.Logger).Str("reason", err.Error()).Msg("")
			return
		}
		g.SetSeeds(changed.Link.LinkAddresses(changed.Seeds))
	}
	return daemon.Daemon{
		Run:      func(ctx context.Context) error { return g.Run(ctx, listener) },
		Ready:    g.Ready,
		Shutdown: g.Stop,
		Reload:   reload,
	}, nil
}
