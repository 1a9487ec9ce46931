package cmd

import (
	"context"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/control/journal"
	"github.com/egretreach/egretreach/internal/control/server"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/process/daemon"
	"github.com/egretreach/egretreach/internal/process/settings"
)

type controlCommand struct {
	Config string `help:"Settings file." required:"" type:"existingfile"`
}

// Run runs a control daemon until a signal ends it.
func (c controlCommand) Run() error {
	return runDaemon(c.Config, settings.LoadControl, func(_ context.Context, file settings.Control) daemon.Options {
		return daemon.Options{
			Role: host.RoleControl, Host: file.Host, Link: file.Link, Health: file.Health, Keys: file.Keys,
			Log: file.Log, Stop: file.Stop,
			Build: func(parts daemon.Dependencies) (daemon.Daemon, error) { return buildControl(file, parts) },
		}
	})
}

func buildControl(file settings.Control, parts daemon.Dependencies) (daemon.Daemon, error) {
	peers := map[host.ID]string{}
	for _, m := range file.Members {
		peers[m.Host] = m.Address.String()
	}
	links := pool.New(parts.Socket)
	replicated := server.ReplicatedLogOptions{
		ID: file.Host.ID, Peers: peers, FileSystem: journal.OSFileSystem{}, Folder: file.DataFolder, Pool: links, Logger: parts.Logger,
	}
	control, err := server.New(server.Options{
		ID: file.Host.ID, Socket: parts.Socket, Pool: links, Peers: peers, Log: replicated.Open, Logger: parts.Logger,
	})
	if err != nil {
		return daemon.Daemon{}, err
	}
	return daemon.Daemon{
		Run: control.Run,
		Ready: func() error {
			if !control.Ready() {
				return errors.New("no leader is known, or the daemon is stopping")
			}
			return nil
		},
		Shutdown: func(ctx context.Context) { _ = control.Shutdown(ctx) },
	}, nil
}
