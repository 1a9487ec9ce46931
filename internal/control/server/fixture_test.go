package server

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/control/journal"
	"github.com/egretreach/egretreach/internal/control/quorum"
	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/identity"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/pool"
	link "github.com/egretreach/egretreach/internal/link/session"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/standin/memnet"
)

// testFleet runs control hosts and simulated daemons over an in-memory network.
type testFleet struct {
	t       testing.TB
	ctx     context.Context
	network memnet.Network
	// addressFor returns the address of the n-th process, listen opens a socket at an address.
	addressFor    func(n int) string
	listen        func(address string) net.PacketConn
	authority     *identity.Authority
	bundle        []byte
	addresses     map[host.ID]string
	servers       map[host.ID]*controlHost
	daemons       []*testDaemon
	mu            sync.Mutex
	timing        Timing
	quorumTiming  quorum.Timing
	operatorCount atomic.Int64
	running       sync.WaitGroup
}

// controlHost is one control host. Its folder is kept when its process is restarted.
type controlHost struct {
	*Server
	folder string
	stop   func()
}

func newTestFleet(t testing.TB) *testFleet {
	authority, err := identity.NewAuthority(time.Now(), identity.DefaultAuthorityValidity)
	require.NoError(t, err)
	pair, err := authority.KeyPair()
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	f := &testFleet{
		t: t, ctx: ctx, authority: authority, bundle: pair.Certificate,
		addresses: map[host.ID]string{}, servers: map[host.ID]*controlHost{},
	}
	f.network.SetDelay(time.Millisecond)
	f.addressFor = func(n int) string { return fmt.Sprintf("10.0.%d.%d:7000", n/250, n%250+1) }
	f.listen = func(address string) net.PacketConn {
		socket, err := f.network.Listen(address)
		require.NoError(t, err)
		return socket
	}
	t.Cleanup(func() {
		f.checkRevisions()
		cancel()
		f.running.Wait()
	})
	return f
}

// checkRevisions checks that the revisions of each daemon have only increased.
func (f *testFleet) checkRevisions() {
	for _, d := range f.daemons {
		d.mu.Lock()
		for i := 1; i < len(d.revisions); i++ {
			require.Greater(f.t, d.revisions[i], d.revisions[i-1], "revision of %s", d.info.ID)
		}
		d.mu.Unlock()
	}
}

// address returns the address of a process, and assigns one at the first call. Each process has an
// IP address of its own, except on the loopback interface.
func (f *testFleet) address(id host.ID) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.addresses[id] == "" {
		n := len(f.addresses) + 1
		f.addresses[id] = f.addressFor(n)
	}
	return f.addresses[id]
}

func (f *testFleet) socket(id identity.Identity, address string) *transport.Socket {
	pair, err := f.authority.Issue(id, time.Now(), identity.DefaultLeafValidity)
	require.NoError(f.t, err)
	credentials, err := identity.NewCredentials(pair, f.bundle)
	require.NoError(f.t, err)
	socket := transport.New(f.listen(address), credentials, transport.Options{})
	f.t.Cleanup(func() { _ = socket.Close() })
	return socket
}

// startControls starts control hosts that replicate one log, with an empty folder each.
func (f *testFleet) startControls(ids ...host.ID) {
	for _, id := range ids {
		f.servers[id] = &controlHost{folder: f.t.TempDir()}
	}
	for _, id := range ids {
		f.startControl(id)
	}
}

// startControl starts a process of a control host on the folder of the host.
func (f *testFleet) startControl(id host.ID) {
	c := f.servers[id]
	socket := f.socket(identity.Identity{Role: host.RoleControl, Host: id}, f.address(id))
	hosts := map[host.ID]string{}
	for h := range f.servers {
		hosts[h] = f.address(h)
	}
	links := pool.New(socket)
	replicated := ReplicatedLogOptions{
		ID: id, Hosts: hosts, FileSystem: journal.OSFileSystem{}, Folder: c.folder, Pool: links, Timing: f.quorumTiming,
	}
	var err error
	c.Server, err = New(Options{
		ID: id, Socket: socket, Pool: links, Hosts: hosts, Log: replicated.Open, Timing: f.timing,
	})
	require.NoError(f.t, err)
	ctx, cancel := context.WithCancel(f.ctx)
	ended := make(chan struct{})
	f.running.Go(func() {
		defer close(ended)
		_ = c.Run(ctx)
		_ = socket.Close()
	})
	c.stop = func() {
		cancel()
		<-ended
	}
}

// waitLeader waits up to 10 s for a leader and returns its host ID.
func (f *testFleet) waitLeader() host.ID {
	for range 100 {
		for id, c := range f.servers {
			if c.leader.Load() != nil {
				return id
			}
		}
		sleep(100 * time.Millisecond)
	}
	require.Fail(f.t, "no leader")
	return ""
}

// cut drops all packets between two hosts in both directions, until heal.
func (f *testFleet) cut(a, b host.ID) {
	f.network.Cut(f.ip(a), f.ip(b))
	f.network.Cut(f.ip(b), f.ip(a))
}

func (f *testFleet) heal(a, b host.ID) {
	f.network.Heal(f.ip(a), f.ip(b))
	f.network.Heal(f.ip(b), f.ip(a))
}

func (f *testFleet) ip(id host.ID) string {
	ip, _, _ := strings.Cut(f.address(id), ":")
	return ip
}

func (f *testFleet) controlAddresses() []string {
	var all []string
	for id := range f.servers {
		all = append(all, f.address(id))
	}
	return all
}

// testDaemon is a simulated agent or entry with a real session.
type testDaemon struct {
	session *link.Session
	stop    func()
	role    host.Role
	info    host.Info

	mu sync.Mutex
	// loadCounter grows with each renewal of a head, so that each reports a different load.
	loadCounter int
	// busy simulates requests in flight: a drain is not reported as executed.
	busy      bool
	held      []message.HeldReplica
	orders    []message.Order
	revisions []view.Revision
	view      view.View
	viewCount int
	welcomes  []message.Welcome
	failures  []message.Failure
}

func (f *testFleet) startDaemon(d *testDaemon, address string) *testDaemon {
	socket := f.socket(identity.Identity{Role: d.role, Host: d.info.ID}, address)
	d.info.Address = address
	d.session = link.New(link.Options{Pool: pool.New(socket), ControlAddresses: f.controlAddresses(), Daemon: d})
	ctx, cancel := context.WithCancel(f.ctx)
	d.stop = func() {
		cancel()
		_ = socket.Close()
	}
	f.running.Go(func() { _ = d.session.Run(ctx) })
	f.daemons = append(f.daemons, d)
	return d
}

func (f *testFleet) startAgents(fabric domain.Fabric, ids ...host.ID) []*testDaemon {
	var all []*testDaemon
	for _, id := range ids {
		all = append(all, f.startAgent(fabric, id, 1))
	}
	return all
}

func (f *testFleet) startAgent(fabric domain.Fabric, id host.ID, incarnation host.Incarnation) *testDaemon {
	return f.startDaemon(&testDaemon{role: host.RoleAgent, info: host.Info{
		ID: id, Incarnation: incarnation, FailureDomain: "domain-1", FabricDomain: fabric,
		Endpoints: []host.Endpoint{{Name: string(id), Kind: host.KindEngine, Accelerators: 8}},
	}}, f.address(id))
}

func (f *testFleet) startEntry(id host.ID) *testDaemon {
	return f.startDaemon(&testDaemon{role: host.RoleEntry, info: host.Info{ID: id, Incarnation: 1}}, f.address(id))
}

func (f *testFleet) newOperator() (*link.Session, func()) {
	id := host.ID(fmt.Sprint("operator-", f.operatorCount.Add(1)))
	socket := f.socket(identity.Identity{Role: host.RoleOperator, Host: id}, f.address(id))
	return link.New(link.Options{Pool: pool.New(socket), ControlAddresses: f.controlAddresses()}), func() { _ = socket.Close() }
}

func (f *testFleet) call(m message.Message) message.Message {
	ctx, cancel := context.WithTimeout(f.ctx, 10*time.Second)
	defer cancel()
	operator, closeSocket := f.newOperator()
	defer closeSocket()
	answer, err := operator.Call(ctx, m)
	require.NoError(f.t, err)
	return answer
}

func (f *testFleet) applyConfig(yaml string, base view.Revision, change string) *message.ApplyResult {
	return f.call(&message.ApplyConfig{YAML: []byte(yaml), Base: base, ChangeID: change}).(*message.ApplyResult)
}

func (d *testDaemon) Announce() message.Announce {
	d.mu.Lock()
	defer d.mu.Unlock()
	return message.Announce{Role: d.role, Info: d.info, Held: d.held}
}

func (d *testDaemon) Renewal() message.Renewal {
	d.mu.Lock()
	defer d.mu.Unlock()
	held := append([]message.HeldReplica(nil), d.held...)
	for i := range held {
		if held[i].Serving {
			d.loadCounter++
			held[i].Load = view.Load{Running: d.loadCounter % 50, Waiting: d.loadCounter % 7, PrefillRate: 9000, Capacity: 64, Sequence: uint64(d.loadCounter)}
		}
	}
	return message.Renewal{EngineHealthy: true, Held: held}
}

func (d *testDaemon) ApplyConfig(revision view.Revision, _ []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revisions = append(d.revisions, revision)
	return nil
}

func (d *testDaemon) OnGrant(message.LeaseGrant) {}

func (d *testDaemon) OnWelcome(w message.Welcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.welcomes = append(d.welcomes, w)
}

func (d *testDaemon) OnMessage(_ context.Context, m message.Message) {
	switch m := m.(type) {
	case *message.Order:
		d.executeOrder(*m)
	case *message.ViewPush:
		d.applyView(m)
	case *message.Failure:
		d.mu.Lock()
		d.failures = append(d.failures, *m)
		d.mu.Unlock()
	}
}

// executeOrder executes loads and releases at once. The head serves as soon as it has loaded.
func (d *testDaemon) executeOrder(o message.Order) {
	d.mu.Lock()
	d.orders = append(d.orders, o)
	switch o.Action {
	case message.OrderLoad:
		d.held = []message.HeldReplica{{
			Replica: o.Replica.ID, Fence: o.Replica.Fence, Loaded: true,
			Serving: o.Replica.Head() == d.info.ID,
		}}
	case message.OrderRelease:
		d.dropReplica(o.Replica)
	case message.OrderDrain:
	}
	busy := d.busy && o.Action == message.OrderDrain
	d.mu.Unlock()
	if busy {
		return
	}
	_ = d.session.Send(&message.OrderDone{ID: o.ID, OK: true})
	d.session.Renew()
}

func (d *testDaemon) dropReplica(r replica.Replica) {
	var kept []message.HeldReplica
	for _, h := range d.held {
		if h.Replica != r.ID || h.Fence != r.Fence {
			kept = append(kept, h)
		}
	}
	d.held = kept
}

func (d *testDaemon) applyView(m *message.ViewPush) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.viewCount++
	if !m.Delta {
		d.view = m.View
		return
	}
	d.view = d.view.Merge(m.View, m.Removed)
}

func (d *testDaemon) lastView() view.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view
}
