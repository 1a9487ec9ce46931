package server

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/identity"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/pool"
	link "github.com/egretreach/egretreach/internal/link/session"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/standin/packet"
)

// testFleet runs control hosts and simulated daemons over an in-memory network.
type testFleet struct {
	t         testing.TB
	ctx       context.Context
	network   packet.Network
	authority *identity.Authority
	bundle    []byte
	addresses map[host.ID]string
	servers   map[host.ID]*Server
	running   sync.WaitGroup
}

func newTestFleet(t testing.TB) *testFleet {
	authority, err := identity.NewAuthority(time.Now(), identity.DefaultAuthorityLife)
	require.NoError(t, err)
	pair, err := authority.Pair()
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	f := &testFleet{
		t: t, ctx: ctx, authority: authority, bundle: pair.Certificate,
		addresses: map[host.ID]string{}, servers: map[host.ID]*Server{},
	}
	f.network.SetDelay(time.Millisecond)
	t.Cleanup(func() {
		cancel()
		f.running.Wait()
	})
	return f
}

// address gives each process an IP address of its own.
func (f *testFleet) address(id host.ID) string {
	if f.addresses[id] == "" {
		n := len(f.addresses) + 1
		f.addresses[id] = fmt.Sprintf("10.0.%d.%d:7000", n/250, n%250+1)
	}
	return f.addresses[id]
}

func (f *testFleet) endpoint(id identity.Identity, address string) *transport.Endpoint {
	pair, err := f.authority.Issue(id, time.Now(), identity.DefaultLeafLife)
	require.NoError(f.t, err)
	credentials, err := identity.NewCredentials(pair, f.bundle)
	require.NoError(f.t, err)
	socket, err := f.network.Listen(address)
	require.NoError(f.t, err)
	e := transport.New(socket, credentials, transport.Options{})
	f.t.Cleanup(func() { _ = e.Close() })
	return e
}

func (f *testFleet) run(what func(ctx context.Context) error) {
	f.running.Go(func() { _ = what(f.ctx) })
}

func (f *testFleet) control(id host.ID) *Server {
	e := f.endpoint(identity.Identity{Role: host.RoleControl, Host: id}, f.address(id))
	s, err := New(Options{ID: id, Endpoint: e, Pool: pool.New(e), Peers: map[host.ID]string{id: f.address(id)}})
	require.NoError(f.t, err)
	f.servers[id] = s
	f.run(s.Run)
	return s
}

func (f *testFleet) controlAddresses() []string {
	var all []string
	for id := range f.servers {
		all = append(all, f.address(id))
	}
	return all
}

// daemon is a simulated agent or entry on a real session.
type daemon struct {
	session *link.Session
	role    host.Role
	info    host.Info

	mu        sync.Mutex
	held      []message.HeldReplica
	orders    []message.Order
	revisions []view.Revision
	view      view.View
	views     int
	welcomes  []message.Welcome
}

func (f *testFleet) start(d *daemon, address string) *daemon {
	e := f.endpoint(identity.Identity{Role: d.role, Host: d.info.ID}, address)
	d.info.Address = address
	d.session = link.New(link.Options{Pool: pool.New(e), Control: f.controlAddresses(), Daemon: d})
	f.run(d.session.Run)
	return d
}

func (f *testFleet) agents(fabric domain.Fabric, ids ...host.ID) []*daemon {
	var all []*daemon
	for _, id := range ids {
		all = append(all, f.agent(fabric, id, 1))
	}
	return all
}

func (f *testFleet) agent(fabric domain.Fabric, id host.ID, incarnation host.Incarnation) *daemon {
	return f.start(&daemon{role: host.RoleAgent, info: host.Info{
		ID: id, Incarnation: incarnation, Failure: "domain-1", Fabric: fabric,
		Endpoints: []host.Endpoint{{Name: string(id), Kind: host.KindEngine, Accelerators: 8}},
	}}, f.address(id))
}

func (f *testFleet) entry(id host.ID) *daemon {
	return f.start(&daemon{role: host.RoleEntry, info: host.Info{ID: id, Incarnation: 1}}, f.address(id))
}

func (f *testFleet) operator() *link.Session {
	id := host.ID("operator-1")
	e := f.endpoint(identity.Identity{Role: host.RoleOperator, Host: id}, f.address(id))
	return link.New(link.Options{Pool: pool.New(e), Control: f.controlAddresses()})
}

func (f *testFleet) call(m message.Message) message.Message {
	ctx, cancel := context.WithTimeout(f.ctx, 10*time.Second)
	defer cancel()
	answer, err := f.operator().Call(ctx, m)
	require.NoError(f.t, err)
	return answer
}

func (f *testFleet) apply(yaml string, base view.Revision, change string) *message.ApplyResult {
	return f.call(&message.ApplyConfig{YAML: []byte(yaml), Base: base, ChangeID: change}).(*message.ApplyResult)
}

func (d *daemon) Announce() message.Announce {
	d.mu.Lock()
	defer d.mu.Unlock()
	return message.Announce{Role: d.role, Info: d.info, Held: d.held}
}

func (d *daemon) Renewal() message.Renewal {
	d.mu.Lock()
	defer d.mu.Unlock()
	return message.Renewal{EngineHealthy: true, Held: append([]message.HeldReplica(nil), d.held...)}
}

func (d *daemon) ApplyConfig(revision view.Revision, _ []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revisions = append(d.revisions, revision)
	return nil
}

func (d *daemon) Granted(message.LeaseGrant) {}

func (d *daemon) Welcomed(w message.Welcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.welcomes = append(d.welcomes, w)
}

func (d *daemon) Pushed(_ context.Context, m message.Message) {
	switch m := m.(type) {
	case *message.Order:
		d.obey(*m)
	case *message.ViewPush:
		d.see(m)
	}
}

// obey loads and releases at once; the head serves as soon as it is loaded.
func (d *daemon) obey(o message.Order) {
	d.mu.Lock()
	d.orders = append(d.orders, o)
	switch o.Action {
	case message.OrderLoad:
		d.held = []message.HeldReplica{{
			Replica: o.Replica.ID, Fence: o.Replica.Fence, Loaded: true,
			Serving: o.Replica.Head() == d.info.ID,
		}}
	case message.OrderRelease:
		d.drop(o.Replica)
	case message.OrderDrain:
	}
	d.mu.Unlock()
	_ = d.session.Send(&message.OrderDone{ID: o.ID, OK: true})
	d.session.Renew()
}

func (d *daemon) drop(r replica.Replica) {
	var kept []message.HeldReplica
	for _, h := range d.held {
		if h.Replica != r.ID || h.Fence != r.Fence {
			kept = append(kept, h)
		}
	}
	d.held = kept
}

func (d *daemon) see(m *message.ViewPush) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.views++
	if !m.Delta {
		d.view = m.View
		return
	}
	gone := map[string]bool{}
	for _, id := range m.Removed {
		gone[id] = true
	}
	for _, r := range m.View.Routes {
		gone[string(r.Replica.ID)] = true
	}
	routes := m.View.Routes
	for _, r := range d.view.Routes {
		if !gone[string(r.Replica.ID)] {
			routes = append(routes, r)
		}
	}
	d.view = m.View
	d.view.Routes = routes
}

func (d *daemon) lastView() view.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view
}
