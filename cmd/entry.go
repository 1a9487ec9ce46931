package cmd

import (
	"context"

	"github.com/egretreach/egretreach/internal/entry/server"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/process/daemon"
	"github.com/egretreach/egretreach/internal/process/settings"
)

type entryCommand struct {
	Config string `help:"Settings file." required:"" type:"existingfile"`
}

// Run runs an entry daemon until a signal ends it.
func (c entryCommand) Run() error {
	return runDaemon(c.Config, settings.LoadEntry, func(ctx context.Context, file settings.Entry) daemon.Options {
		return daemon.Options{
			Role: host.RoleEntry, Host: file.Host, Link: file.Link, Health: file.Health, Keys: file.Keys,
			Log: file.Log, Stop: file.Stop,
			Build: func(parts daemon.Dependencies) (daemon.Daemon, error) { return buildEntry(ctx, file, parts) },
		}
	})
}

func buildEntry(ctx context.Context, file settings.Entry, parts daemon.Dependencies) (daemon.Daemon, error) {
	listener, err := daemon.Listen(ctx, file.API.Address)
	if err != nil {
		return daemon.Daemon{}, err
	}
	entry, err := server.New(server.Options{
		Host: file.Host.ID, FailureDomain: file.Host.FailureDomain, Control: addresses(file.Control),
		Link: parts.Socket, Metrics: parts.Metrics, Logger: parts.Logger,
		HeaderTimeout: file.API.HeaderTimeout, BodyTimeout: file.API.BodyTimeout, IdleTimeout: file.API.IdleTimeout,
		MaxHeader: int(file.API.MaxHeader), MaxConnections: file.API.MaxConnections,
		ShutdownDelay: file.Stop.ShutdownDelay, DrainTimeout: file.Stop.DrainTimeout,
	})
	if err != nil {
		return daemon.Daemon{}, err
	}
	return daemon.Daemon{
		Run:      func(ctx context.Context) error { return entry.Run(ctx, listener) },
		Ready:    entry.Ready,
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
