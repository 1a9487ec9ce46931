package cmd

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/egretreach/egretreach/internal/control/journal"
	"github.com/egretreach/egretreach/internal/control/portal"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/identity"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/process/daemon"
	"github.com/egretreach/egretreach/internal/process/httpserver"
	"github.com/egretreach/egretreach/internal/process/settings"
	"github.com/egretreach/egretreach/platform"
)

const (
	// portalHeaderTimeout bounds how long the header of a request may take to arrive.
	portalHeaderTimeout = 5 * time.Second
	// portalReadTimeout bounds how long a whole request may take to arrive.
	portalReadTimeout = 30 * time.Second
	// portalIdleTimeout is how long a connection without a request stays open.
	portalIdleTimeout = 2 * time.Minute
	// portalHeaderBytes bounds the header of a request.
	portalHeaderBytes = 16 << 10
	// portalTransferTimeout bounds how long a planned stop looks for another leader. Without a
	// quorum there is none.
	portalTransferTimeout = 5 * time.Second
)

type portalCommand struct {
	Config string `help:"Path of the settings file, such as examples/portal.yaml." required:"" type:"path"`
}

// Run runs a portal until a signal ends it.
func (c portalCommand) Run() error {
	return runDaemon(c.Config, settings.LoadPortal, func(ctx context.Context, s settings.Portal) daemon.Options {
		return daemon.Options{
			Name: "portal", Role: host.RoleControl, Host: s.Host, Link: s.Link.Link(), Health: s.Health, Keys: settings.Keys(s.Keys),
			PrivateNetwork: s.Link.PrivateNetwork, Log: s.Log, Stop: s.Stop, Memory: s.Memory,
			Build: func(deps daemon.Dependencies) (daemon.Daemon, error) { return buildPortal(ctx, s, deps) },
		}
	})
}

func buildPortal(ctx context.Context, s settings.Portal, deps daemon.Dependencies) (daemon.Daemon, error) {
	listener, err := daemon.Listen(ctx, s.API)
	if err != nil {
		return daemon.Daemon{}, err
	}
	engines := &platform.EngineClient{}
	p := portal.New(portal.Options{
		Rename: func(id host.ID) error {
			return deps.Credentials.SetIdentity(identity.Identity{Role: host.RoleControl, Host: id}, time.Now())
		},
		Self: s.Host.ID, Address: s.API.String(), Link: deps.Socket, LinkAddress: s.Link.Address.String(),
		Pool: pool.New(deps.Socket), Seeds: s.Link.LinkAddresses(s.Seeds), FirstStart: s.FirstStart,
		Files: journal.OSFileSystem{}, Folder: s.DataFolder, Decode: platform.DecodeTable, Engines: engines,
		Heartbeat: s.Heartbeat, Metrics: deps.Metrics, Logger: deps.Logger,
	})
	engines.OnCold = p.HearCold
	api := platform.API{Portal: p, Logger: deps.Logger}
	return portalDaemon(p, api.Handler(), listener, httpserver.CallerLimits{Budget: deps.Callers, Connections: s.CallerConnections}), nil
}

// stoppablePortal is a portal.Portal.
type stoppablePortal interface {
	Run(ctx context.Context) error
	Stop(ctx context.Context)
	Drain(ctx context.Context) error
}

// portalDaemon returns the daemon of a portal that serves api on listener within limits.
func portalDaemon(p stoppablePortal, api http.Handler, listener net.Listener, limits httpserver.CallerLimits) daemon.Daemon {
	server := httpserver.New(&http.Server{
		Handler: api, ReadHeaderTimeout: portalHeaderTimeout, ReadTimeout: portalReadTimeout, IdleTimeout: portalIdleTimeout,
		MaxHeaderBytes: portalHeaderBytes,
	}, http.HandlerFunc(refuseStopping), limits)
	return daemon.Daemon{
		Run: func(ctx context.Context) error {
			group, ctx := errgroup.WithContext(ctx)
			group.Go(func() error { return p.Run(ctx) })
			group.Go(func() error { return errors.Wrap(server.Serve(listener), "serve the portal's API") })
			group.Go(func() error {
				<-ctx.Done()
				return server.Close()
			})
			return group.Wait()
		},
		Ready:    func() error { return nil },
		InFlight: server.InFlight,
		Shutdown: func(ctx context.Context) int {
			transfer, cancel := context.WithTimeout(ctx, portalTransferTimeout)
			defer cancel()
			p.Stop(transfer)
			cut := 0
			if server.Stop(ctx) != nil {
				cut = server.Unanswered()
			}
			return cut + transport.UnreceivedAnswers(p.Drain(ctx))
		},
	}
}

// refuseStopping refuses a request of an endpoint or operator, which another portal can answer.
func refuseStopping(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", "0")
	http.Error(w, "stopping", http.StatusServiceUnavailable)
}
