// Package fleet runs a whole fleet in one process: control, agents, entries and the
// stand-ins for engines and plain services. `egretreach dev` runs it on loopback
// sockets, tests on an in-memory network in virtual time.
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
	"github.com/egretreach/egretreach/internal/standin/engine"
	"github.com/egretreach/egretreach/internal/telemetry/metric"
)

// Sockets is the network that a fleet runs on.
type Sockets interface {
	// ListenPacket opens the link socket of a host.
	ListenPacket(id host.ID) (net.PacketConn, error)
	// DialPacket opens a socket for one link that the host dials.
	DialPacket(id host.ID) (net.PacketConn, error)
	// ListenStream opens the listener of an endpoint or of the callers, and returns the
	// transport that reaches it.
	ListenStream(name string) (net.Listener, http.RoundTripper, error)
}

// Options say what the fleet is made of.
type Options struct {
	Sockets      Sockets
	ControlCount int
	EntryCount   int
	// DataFolder holds the logs of the control hosts; without it the state of a
	// single one is kept in memory.
	DataFolder string
	// Engines are the hosts with a model engine.
	Engines []EngineSpec
	// Services are the hosts with the records service.
	Services []HostSpec
	// Config is the fleet configuration applied at the start.
	Config []byte
	Logger *log.Logger
	// Metrics are those of the entries.
	Metrics *metric.Registry
}

// HostSpec places a host.
type HostSpec struct {
	ID            host.ID
	FailureDomain domain.Failure
	FabricDomain  domain.Fabric
}

// EngineSpec is a host with a model engine.
type EngineSpec struct {
	HostSpec
	Options engine.Options
	// Accelerators are those behind the engine.
	Accelerators int
}

// Fleet is a running fleet. Use Start.
type Fleet struct {
	opts      Options
	ctx       context.Context
	authority *identity.Authority
	bundle    []byte
	addresses []string

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
	link, err := f.link(host.RoleOperator, "operator")
	if err != nil {
		return err
	}
	f.closers = append(f.closers, func() { _ = link.Close() })
	f.operator = session.New(session.Options{Pool: pool.New(link), ControlAddresses: f.addresses})
	return nil
}

// link opens the link endpoint of a new host.
func (f *Fleet) link(role host.Role, id host.ID) (*transport.Socket, error) {
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

// Call makes one operator's call to the control leader.
func (f *Fleet) Call(ctx context.Context, m message.Message) (message.Message, error) {
	return f.operator.Call(ctx, m)
}

// Apply applies a configuration on top of a revision.
func (f *Fleet) Apply(ctx context.Context, base uint64, yaml []byte) error {
	if yaml == nil {
		yaml = config.DefaultYAML()
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	answer, err := f.Call(ctx, applyMessage(base, yaml))
	if err != nil {
		return err
	}
	result, ok := answer.(*message.ApplyResult)
	if !ok || !result.Accepted {
		return errors.Errorf("configuration refused: %+v", answer)
	}
	return nil
}

// Status returns what control says of the fleet.
func (f *Fleet) Status(ctx context.Context) (*message.StatusResult, error) {
	answer, err := f.Call(ctx, &message.StatusQuery{})
	if err != nil {
		return nil, err
	}
	status, ok := answer.(*message.StatusResult)
	if !ok {
		return nil, errors.Errorf("status answered by %T", answer)
	}
	return status, nil
}

// Entry returns the i-th entry.
func (f *Fleet) Entry(i int) *Entry { return f.entries[i] }

// Control returns the i-th control host.
func (f *Fleet) Control(i int) *Control { return f.controls[i] }

// Agent returns the agent of a host.
func (f *Fleet) Agent(id host.ID) *Agent { return f.agents[id] }

// Close stops every daemon and stand-in, and waits until they have ended.
func (f *Fleet) Close() {
	for _, d := range f.daemons {
		d.Kill()
	}
	for _, closer := range f.closers {
		closer()
	}
}
