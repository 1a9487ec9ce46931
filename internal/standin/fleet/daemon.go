package fleet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"

	"github.com/google/uuid"

	agent "github.com/egretreach/egretreach/internal/agent/server"
	"github.com/egretreach/egretreach/internal/control/journal"
	control "github.com/egretreach/egretreach/internal/control/server"
	entry "github.com/egretreach/egretreach/internal/entry/server"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/standin/engine"
	"github.com/egretreach/egretreach/internal/standin/service"
)

// daemon is a running daemon.
type daemon struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// Kill ends the daemon without a planned stop, and waits until it has ended.
func (d *daemon) Kill() {
	d.cancel()
	<-d.done
}

// run starts a daemon in the background, and closes its link socket when it has ended.
func (f *Fleet) run(link *transport.Socket, run func(ctx context.Context) error) *daemon {
	ctx, cancel := context.WithCancel(f.ctx)
	d := &daemon{cancel: cancel, done: make(chan struct{})}
	f.daemons = append(f.daemons, d)
	go func() {
		defer close(d.done)
		_ = run(ctx)
		_ = link.Close()
	}()
	return d
}

// Control is a running control host.
type Control struct {
	*daemon
	*control.Server
	Host host.ID
}

// Agent is a running agent with its stand-in endpoint: Engine or Service is set.
type Agent struct {
	*daemon
	*agent.Server
	Engine  *engine.Engine
	Service *service.Service
}

// Entry is a running entry. Address is where it listens for callers, Transport reaches it; nil
// means the default transport.
type Entry struct {
	*daemon
	*entry.Server
	Address   string
	Transport http.RoundTripper
}

func newApplyConfig(base uint64, yaml []byte) message.Message {
	return &message.ApplyConfig{YAML: yaml, Base: view.Revision(base), ChangeID: uuid.NewString()}
}

func (f *Fleet) startControls() error {
	links := map[host.ID]*transport.Socket{}
	hosts := map[host.ID]string{}
	for i := range f.opts.ControlCount {
		id := host.ID(fmt.Sprintf("control-%d", i+1))
		link, err := f.newLink(host.RoleControl, id)
		if err != nil {
			return err
		}
		links[id] = link
		hosts[id] = link.Address().String()
		f.controlAddresses = append(f.controlAddresses, hosts[id])
		f.controls = append(f.controls, &Control{Host: id})
	}
	for _, c := range f.controls {
		if err := f.startControl(c, links[c.Host], hosts); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startControl(c *Control, link *transport.Socket, hosts map[host.ID]string) error {
	opts := control.Options{ID: c.Host, Socket: link, Pool: pool.New(link), Hosts: hosts, Logger: f.opts.Logger}
	if f.opts.DataFolder != "" {
		opts.Log = control.ReplicatedLogOptions{
			ID: c.Host, Hosts: hosts, FileSystem: journal.OSFileSystem{}, Pool: opts.Pool, Logger: f.opts.Logger,
			Folder: filepath.Join(f.opts.DataFolder, string(c.Host)),
		}.Open
	}
	server, err := control.New(opts)
	if err != nil {
		return err
	}
	c.Server = server
	c.daemon = f.run(link, server.Run)
	return nil
}

func (f *Fleet) startEngine(spec EngineSpec) error {
	listener, roundTripper, err := f.opts.Sockets.ListenStream(string(spec.ID) + "-engine")
	if err != nil {
		return err
	}
	e := engine.New(spec.Options)
	f.serveStandIn(listener, e.Handler())
	opts := agent.Options{
		EngineURL: "http://" + listener.Addr().String(), EngineTransport: roundTripper, OrdererToken: spec.Options.OrdererToken,
	}
	announced := host.Endpoint{
		Name: string(spec.ID), Kind: host.KindEngine, ChecksFence: spec.Options.Fences,
		ChecksOrderer: spec.Options.OrdererToken != "", Accelerators: spec.Accelerators,
	}
	return f.startAgent(spec.HostSpec, opts, announced, &Agent{Engine: e})
}

func (f *Fleet) startService(spec HostSpec) error {
	listener, roundTripper, err := f.opts.Sockets.ListenStream(string(spec.ID) + "-service")
	if err != nil {
		return err
	}
	s := service.New()
	f.serveStandIn(listener, s.Handler())
	opts := agent.Options{
		Services: map[string]string{ServiceName: "http://" + listener.Addr().String()}, ServiceTransport: roundTripper,
	}
	return f.startAgent(spec, opts, host.Endpoint{Name: ServiceName, Kind: host.KindService}, &Agent{Service: s})
}

// ServiceName is the name of the stand-in fleet's plain service.
const ServiceName = "records"

func (f *Fleet) startAgent(spec HostSpec, opts agent.Options, announced host.Endpoint, a *Agent) error {
	link, err := f.newLink(host.RoleAgent, spec.ID)
	if err != nil {
		return err
	}
	opts.Socket = link
	opts.Pool = pool.New(link)
	opts.ControlAddresses = f.controlAddresses
	opts.Logger = f.opts.Logger
	opts.Info = host.Info{
		ID: spec.ID, FailureDomain: spec.FailureDomain, FabricDomain: spec.FabricDomain, Address: link.Address().String(),
		Endpoints: []host.Endpoint{announced},
	}
	a.Server = agent.New(opts)
	a.daemon = f.run(link, a.Run)
	f.agents[spec.ID] = a
	return nil
}

func (f *Fleet) startEntry(id host.ID) error {
	link, err := f.newLink(host.RoleEntry, id)
	if err != nil {
		return err
	}
	listener, roundTripper, err := f.opts.Sockets.ListenStream(string(id))
	if err != nil {
		return err
	}
	server, err := entry.New(entry.Options{
		Host: id, ControlAddresses: f.controlAddresses, Link: link, Metrics: f.opts.Metrics, Logger: f.opts.Logger,
		Callers: f.opts.Callers.Budget, MaxConnections: f.opts.Callers.Connections,
	})
	if err != nil {
		return err
	}
	d := f.run(link, func(ctx context.Context) error { return server.Run(ctx, listener) })
	f.entries = append(f.entries, &Entry{daemon: d, Server: server, Address: listener.Addr().String(), Transport: roundTripper})
	return nil
}

// serveStandIn serves an endpoint's handler until the fleet is closed.
func (f *Fleet) serveStandIn(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standInHeaderTimeout}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	f.closers = append(f.closers, func() {
		_ = server.Close()
		<-done
	})
}
