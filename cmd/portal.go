package cmd

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/egretreach/egretreach/internal/control/journal"
	"github.com/egretreach/egretreach/internal/control/portal"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/identity"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/process/daemon"
	"github.com/egretreach/egretreach/internal/process/settings"
	"github.com/egretreach/egretreach/platform"
)

// portalHeaderTimeout bounds the time in which the header of a call must arrive.
const portalHeaderTimeout = 5 * time.Second

type portalCommand struct {
	Config string `help:"Settings file." required:"" type:"path"`
}

// Run runs a portal until a signal ends it.
func (c portalCommand) Run() error {
	return runDaemon(c.Config, settings.LoadPortal, func(ctx context.Context, file settings.Portal) daemon.Options {
		return daemon.Options{
			Role: host.RoleControl, Host: file.Host, Link: file.Link.Link(), Health: file.Health, Keys: settings.Keys(file.Keys),
			PrivateNetwork: file.Link.PrivateNetwork, Log: file.Log, Stop: file.Stop,
			Build: func(parts daemon.Dependencies) (daemon.Daemon, error) { return buildPortal(ctx, file, parts) },
		}
	})
}

func buildPortal(ctx context.Context, file settings.Portal, parts daemon.Dependencies) (daemon.Daemon, error) {
	listener, err := daemon.Listen(ctx, file.API)
	if err != nil {
		return daemon.Daemon{}, err
	}
	p := portal.New(portal.Options{
		Rename: func(id host.ID) error {
			return parts.Credentials.SetIdentity(identity.Identity{Role: host.RoleControl, Host: id}, time.Now())
		},
		Self: file.Host.ID, Address: file.API.String(), Link: parts.Socket, LinkAddress: file.Link.Address.String(),
		Pool: pool.New(parts.Socket), Seeds: file.Link.LinkAddresses(file.Seeds), FirstStart: file.FirstStart,
		Files: journal.OSFileSystem{}, Folder: file.DataFolder, Decode: platform.DecodeTable, Engines: &platform.EngineClient{},
		Heartbeat: file.Heartbeat, Metrics: parts.Metrics, Logger: parts.Logger,
	})
	server := &http.Server{
		Handler: platform.API{Portal: p, Logger: parts.Logger}.Handler(), ReadHeaderTimeout: portalHeaderTimeout,
	}
	run := func(ctx context.Context) error {
		group, ctx := errgroup.WithContext(ctx)
		group.Go(func() error { return p.Run(ctx) })
		group.Go(func() error {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return errors.Wrap(err, "api listener")
			}
			return nil
		})
		group.Go(func() error {
			<-ctx.Done()
			return server.Close()
		})
		return group.Wait()
	}
	return daemon.Daemon{
		Run:      run,
		Ready:    func() error { return nil },
		Shutdown: func(ctx context.Context) { p.Stop(ctx) },
	}, nil
}
