package cmd

import (
	"context"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/control/journal"
	"github.com/egretreach/egretreach/internal/control/server"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/process/daemon"
	"github.com/egretreach/egretreach/internal/process/settings"
)

type controlCommand struct {
	Config string `help:"Path of the settings file, such as examples/control.yaml." required:"" type:"existingfile"`
}

// Run runs a control daemon until a signal ends it.
func (c controlCommand) Run() error {
	return runDaemon(c.Config, settings.LoadControl, func(_ context.Context, s settings.Control) daemon.Options {
		return daemon.Options{
			Name: "control", Role: host.RoleControl, Host: s.Host, Link: s.Link, Health: s.Health, Keys: s.Keys,
			Log: s.Log, Stop: s.Stop, Memory: s.Memory,
			Build: func(deps daemon.Dependencies) (daemon.Daemon, error) { return buildControl(s, deps) },
		}
	})
}

func buildControl(s settings.Control, deps daemon.Dependencies) (daemon.Daemon, error) {
	hosts := map[host.ID]string{}
	for _, m := range s.Members {
		hosts[m.Host] = m.Address.String()
	}
	links := pool.New(deps.Socket)
	replicated := server.ReplicatedLogOptions{
		ID: s.Host.ID, Hosts: hosts, FileSystem: journal.OSFileSystem{}, Folder: s.DataFolder, Pool: links, Logger: deps.Logger,
		Metrics: deps.Metrics,
	}
	control, err := server.NewDaemon(server.Options{
		ID: s.Host.ID, Socket: deps.Socket, Pool: links, Hosts: hosts, Log: replicated.Open, Logger: deps.Logger,
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
		InFlight: control.CallsInProgress,
		Shutdown: func(ctx context.Context) int {
			err := control.Shutdown(ctx)
			return control.CallsInProgress() + transport.UnreceivedAnswers(err)
		},
	}, nil
}
