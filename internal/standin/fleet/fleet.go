// Package fleet runs a complete fleet in one process: control hosts, agents, entries, and
// stand-ins for engines and plain services. `egretreach dev` runs it on loopback sockets, tests
// run it on an in-memory network in virtual time.
package fleet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/fleet/config"
	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/identity"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/link/session"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/process/httpserver"
	"github.com/egretreach/egretreach/internal/standin/engine"
	"github.com/egretreach/egretreach/internal/telemetry/metric"
)

// Sockets is the network that a fleet runs on.
type Sockets interface {
	// ListenPacket opens the link socket of a host.
	ListenPacket(id host.ID) (net.PacketConn, error)
	// DialPacket opens the socket of one link that a host dials.
	DialPacket(id host.ID) (net.PacketConn, error)
	// ListenStream opens a named HTTP listener, of an endpoint or of an entry's caller API. It
	// also returns the transport that reaches it; nil means the default transport.
	ListenStream(name string) (net.Listener, http.RoundTripper, error)
}

// Options configures a Fleet.
type Options struct {
	Sockets      Sockets
	ControlCount int
	EntryCount   int
	// DataFolder holds the replicated logs of the control hosts. If it is empty, the single
	// control host keeps its state in memory.
	DataFolder string
	// Engines lists the hosts with a model engine.
	Engines []EngineSpec
	// Services lists the hosts with the records service.
	Services []HostSpec
	// Config is the fleet configuration applied at the start, in YAML; nil is the default one.
	Config []byte
	Logger *log.Logger
	// Metrics is the registry of the entries' metrics.
	Metrics *metric.Registry
	// Callers bounds what callers of each entry may take.
	Callers httpserver.CallerLimits
}

// HostSpec describes a host and its location.
type HostSpec struct {
	ID            host.ID
	FailureDomain domain.Failure
	FabricDomain  domain.Fabric
}

// EngineSpec describes a host with a model engine.
type EngineSpec struct {
	HostSpec
	Options engine.Options
	// Accelerators is the number of the engine's accelerators.
	Accelerators int
}

// Fleet is a running fleet. Create it with Start.
type Fleet struct {
	opts             Options
	ctx              context.Context
	authority        *identity.Authority
	bundle           []byte
	controlAddresses []string

	controls []*Control
	entries  []*Entry
	agents   map[host.ID]*Agent
	operator *session.Session
	daemons  []*daemon
	closers  []func()
}

const applyTimeout = 30 * time.Second

// Start starts every daemon and applies the configuration. The daemons end with ctx; Close
// must be called to end the rest.
func Start(ctx context.Context, opts Options) (*Fleet, error) {
	f := &Fleet{opts: opts, ctx: ctx, agents: map[host.ID]*Agent{}}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	var err error
	if f.authority, err = identity.NewAuthority(time.Now(), identity.DefaultAuthorityValidity); err != nil {
		return err
	}
	pair, err := f.authority.KeyPair()
	if err != nil {
		return err
	}
	f.bundle = pair.Certificate
	if err := f.startControls(); err != nil {
		return err
	}
	if err := f.startOperator(); err != nil {
		return err
	}
	if err := f.Apply(f.ctx, 0, f.opts.Config); err != nil {
		return err
	}
	return f.startHosts()
}

func (f *Fleet) startHosts() error {
	for _, spec := range f.opts.Engines {
		if err := f.startEngine(spec); err != nil {
			return err
		}
	}
	for _, spec := range f.opts.Services {
		if err := f.startService(spec); err != nil {
			return err
		}
	}
	for i := range f.opts.EntryCount {
		if err := f.startEntry(host.ID(fmt.Sprintf("entry-%d", i+1))); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startOperator() error {
	link, err := f.newLink(host.RoleOperator, "operator")
	if err != nil {
		return err
	}
	f.closers = append(f.closers, func() { _ = link.Close() })
	f.operator = session.New(session.Options{Pool: pool.New(link), ControlAddresses: f.controlAddresses})
	return nil
}

// newLink opens the link socket of a new host and issues the certificate of its role.
func (f *Fleet) newLink(role host.Role, id host.ID) (*transport.Socket, error) {
	socket, err := f.opts.Sockets.ListenPacket(id)
	if err != nil {
		return nil, err
	}
	pair, err := f.authority.Issue(identity.Identity{Role: role, Host: id}, time.Now(), identity.DefaultLeafValidity)
	if err != nil {
		return nil, err
	}
	credentials, err := identity.NewCredentials(pair, f.bundle)
	if err != nil {
		return nil, err
	}
	dialFrom := func() (net.PacketConn, error) { return f.opts.Sockets.DialPacket(id) }
	return transport.New(socket, credentials, transport.Options{NewDialSocket: dialFrom}), nil
}

// Call makes a call to the control leader as an operator.
func (f *Fleet) Call(ctx context.Context, m message.Message) (message.Message, error) {
	return f.operator.Call(ctx, m)
}

// Apply applies a configuration that is based on a revision. A nil configuration means the
// default one.
func (f *Fleet) Apply(ctx context.Context, base uint64, yaml []byte) error {
	if yaml == nil {
		yaml = config.DefaultYAML()
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	reply, err := f.Call(ctx, newApplyConfig(base, yaml))
	if err != nil {
		return err
	}
	result, ok := reply.(*message.ApplyResult)
	if !ok || !result.Accepted {
		return errors.Errorf("configuration refused: %+v", reply)
	}
	return nil
}

// Status asks control for the status of the fleet.
func (f *Fleet) Status(ctx context.Context) (*message.StatusResult, error) {
	reply, err := f.Call(ctx, &message.StatusQuery{})
	if err != nil {
		return nil, err
	}
	status, ok := reply.(*message.StatusResult)
	if !ok {
		return nil, errors.Errorf("unexpected reply to a status query: %T", reply)
	}
	return status, nil
}

// Entry returns the entry at index i.
func (f *Fleet) Entry(i int) *Entry { return f.entries[i] }

// Control returns the control host at index i.
func (f *Fleet) Control(i int) *Control { return f.controls[i] }

// Agent returns the agent of a host.
func (f *Fleet) Agent(id host.ID) *Agent { return f.agents[id] }

// Close ends every daemon and stand-in without a planned stop, and waits for them.
func (f *Fleet) Close() {
	for _, d := range f.daemons {
		d.Kill()
	}
	for _, closer := range f.closers {
		closer()
	}
}
