package cmd

import (
	"context"

	"github.com/egretreach/egretreach/internal/entry/server"
	"github.com/egretreach/egretreach/internal/entry/upstream"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/process/daemon"
	"github.com/egretreach/egretreach/internal/process/settings"
)

type entryCommand struct {
	Config string `help:"Path of the settings file, such as examples/entry.yaml." required:"" type:"existingfile"`
}

// Run runs an entry daemon until a signal ends it.
func (c entryCommand) Run() error {
	return runDaemon(c.Config, settings.LoadEntry, func(ctx context.Context, s settings.Entry) daemon.Options {
		return daemon.Options{
			Name: "entry", Role: host.RoleEntry, Host: s.Host, Link: s.Link, Health: s.Health, Keys: s.Keys,
			Log: s.Log, Stop: s.Stop, Memory: s.Memory,
			Build: func(deps daemon.Dependencies) (daemon.Daemon, error) { return buildEntry(ctx, s, deps) },
		}
	})
}

func buildEntry(ctx context.Context, s settings.Entry, deps daemon.Dependencies) (daemon.Daemon, error) {
	listener, err := daemon.Listen(ctx, s.API.Address)
	if err != nil {
		return daemon.Daemon{}, err
	}
	entry, err := server.New(server.Options{
		Host: s.Host.ID, FailureDomain: s.Host.FailureDomain, ControlAddresses: addresses(s.Control),
		Link: deps.Socket, Metrics: deps.Metrics, Logger: deps.Logger,
		HeaderTimeout: s.API.HeaderTimeout, BodyTimeout: s.API.BodyTimeout, IdleTimeout: s.API.IdleTimeout,
		MaxHeader: int(s.API.MaxHeader), MaxConnections: s.API.MaxConnections, Callers: deps.Callers,
		ShutdownDelay: s.Stop.ShutdownDelay, DrainTimeout: s.Stop.DrainTimeout,
		AnswerMemory: int64(upstream.MaxHeldOf(deps.Memory)),
	})
	if err != nil {
		return daemon.Daemon{}, err
	}
	return daemon.Daemon{
		Run:      func(ctx context.Context) error { return entry.Run(ctx, listener) },
		Ready:    entry.Ready,
		InFlight: entry.InFlight,
		Shutdown: entry.Shutdown,
	}, nil
}

func addresses(list []settings.Address) []string {
	texts := make([]string, len(list))
	for i, a := range list {
		texts[i] = a.String()
	}
	return texts
}
