package cmd

import (
	"context"
	"time"

	"github.com/egretreach/egretreach/internal/entry/gateway"
	"github.com/egretreach/egretreach/internal/entry/hedge"
	"github.com/egretreach/egretreach/internal/entry/upstream"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/process/daemon"
	"github.com/egretreach/egretreach/internal/process/settings"
	"github.com/egretreach/egretreach/internal/telemetry/event"
	"github.com/egretreach/egretreach/platform"
)

type gatewayCommand struct {
	Config string `help:"Path of the settings file, such as examples/gateway.yaml." required:"" type:"path"`
}

// Run runs a gateway until a signal ends it.
func (c gatewayCommand) Run() error {
	return runDaemon(c.Config, settings.LoadGateway, func(ctx context.Context, s settings.Gateway) daemon.Options {
		return daemon.Options{
			Name: "gateway", Role: host.RoleEntry, Host: s.Host, Link: s.Link.Link(), Health: s.Health, Metrics: s.Metrics, Keys: settings.Keys(s.Keys),
			PrivateNetwork: s.Link.PrivateNetwork, Log: s.Log, Stop: s.Stop, Memory: s.Memory, BodyMemory: int64(s.BodyMemory),
			Build: func(deps daemon.Dependencies) (daemon.Daemon, error) {
				return buildGateway(ctx, c.Config, s, deps)
			},
		}
	})
}

// refuseAfter returns how long a gateway without updates from control keeps serving. 0 is no limit.
func refuseAfter(s settings.Gateway) time.Duration {
	if s.WhenCutOff == settings.WhenCutOffRefuse {
		return s.CutOffAfter
	}
	return 0
}

// configAge returns how old the configuration may be by which requests are served. A quarter of InForceWithin is left for a
// request to arrive and for a confirmation.
func configAge(s settings.Gateway) time.Duration { return s.InForceWithin * 3 / 4 }

func buildGateway(ctx context.Context, path string, s settings.Gateway, deps daemon.Dependencies) (daemon.Daemon, error) {
	listener, err := daemon.Listen(ctx, s.API)
	if err != nil {
		return daemon.Daemon{}, err
	}
	g := gateway.New(gateway.Options{
		Self: s.Host.ID, FailureDomain: s.Host.FailureDomain, Pool: pool.New(deps.Socket),
		Seeds: s.Link.LinkAddresses(s.Seeds), Dialect: platform.Dialect(), ShutdownDelay: s.Stop.ShutdownDelay,
		Retries:    gateway.RetryLimits{Ratio: s.Retries.Ratio, Burst: s.Retries.Burst, Window: s.Retries.Window},
		Hedging:    hedge.Settings{Share: s.Hedging.Share, Quantile: s.Hedging.Quantile},
		BodyMemory: int64(s.BodyMemory), ResponseMemory: upstream.MaxHeldOf(deps.Memory), Callers: deps.Callers, CallerConnections: s.CallerConnections, RefuseAfter: refuseAfter(s),
		ConfigAge: configAge(s), Regions: s.Regions, RankedQueue: s.RankedQueue, ServeLate: s.ServeLate, ExplainToken: s.Explain.Token, Metrics: deps.Metrics,
		Logger: deps.Logger,
	})
	reload := func() {
		changed, err := settings.LoadGateway(path)
		if err != nil {
			event.SettingsInvalid.On(deps.Logger).Str("reason", err.Error()).Msg("")
			return
		}
		g.SetSeeds(changed.Link.LinkAddresses(changed.Seeds))
	}
	return daemon.Daemon{
		Run:      func(ctx context.Context) error { return g.Run(ctx, listener) },
		Ready:    g.Ready,
		InFlight: g.InFlight,
		Shutdown: g.Shutdown,
		Reload:   reload,
		Pages:    g.Pages(),
	}, nil
}
