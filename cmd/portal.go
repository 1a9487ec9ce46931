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

// portalHeaderTimeout bounds how long the header of a request may take to arrive.
const portalHeaderTimeout = 5 * time.Second

type portalCommand struct {
	Config string `help:"Path of the settings file, such as examples/portal.yaml." required:"" type:"path"`
}

// Run runs a portal until a signal ends it.
func (c portalCommand) Run() error {
	return runDaemon(c.Config, settings.LoadPortal, func(ctx context.Context, s settings.Portal) daemon.Options {
		return daemon.Options{
			Name: "portal", Role: host.RoleControl, Host: s.Host, Link: s.Link.Link(), Health: s.Health, Keys: settings.Keys(s.Keys),
			PrivateNetwork: s.Link.PrivateNetwork, Log: s.Log, Stop: s.Stop,
			Build: func(deps daemon.Dependencies) (daemon.Daemon, error) { return buildPortal(ctx, s, deps) },
		}
	})
}

func buildPortal(ctx context.Context, s settings.Portal, deps daemon.Dependencies) (daemon.Daemon, error) {
	listener, err := daemon.Listen(ctx, s.API)
	if err != nil {
		return daemon.Daemon{}, err
	}
	p := portal.New(portal.Options{
		Rename: func(id host.ID) error {
			return deps.Credentials.SetIdentity(identity.Identity{Role: host.RoleControl, Host: id}, time.Now())
		},
		Self: s.Host.ID, Address: s.API.String(), Link: deps.Socket, LinkAddress: s.Link.Address.String(),
		Pool: pool.New(deps.Socket), Seeds: s.Link.LinkAddresses(s.Seeds), FirstStart: s.FirstStart,
		Files: journal.OSFileSystem{}, Folder: s.DataFolder, Decode: platform.DecodeTable, Engines: &platform.EngineClient{},
		Heartbeat: s.Heartbeat, Metrics: deps.Metrics, Logger: deps.Logger,
	})
	server := &http.Server{
		Handler: platform.API{Portal: p, Logger: deps.Logger}.Handler(), ReadHeaderTimeout: portalHeaderTimeout,
	}
	run := func(ctx context.Context) error {
		group, ctx := errgroup.WithContext(ctx)
		group.Go(func() error { return p.Run(ctx) })
		group.Go(func() error {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return errors.Wrap(err, "serve the portal's API")
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
		Run:   run,
		Ready: func() error { return nil },
		Shutdown: func(ctx context.Context) int {
			p.Stop(ctx)
			return 0
		},
	}, nil
}
