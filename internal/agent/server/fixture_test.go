package server

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/link/identity"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/standin/engine"
	"github.com/egretreach/egretreach/internal/standin/memnet"
	"github.com/egretreach/egretreach/internal/standin/service"
)

const (
	controlAddress = "10.0.0.1:7000"
	testTTL        = 3 * time.Second
	testRenew      = time.Second
)

// fixture runs a fake control leader, an entry and agents on one in-memory network,
// all in virtual time.
type fixture struct {
	t         testing.TB
	ctx       context.Context
	network   memnet.Network
	authority *identity.Authority
	control   *fakeControl
	entry     *pool.Pool
	agents    map[host.ID]*agentProcess
	closers   []func()
	// sentBytes counts the bytes that all sockets have sent.
	sentBytes atomic.Int64
	// wrapTransport wraps the HTTP transport from an agent to its engine, if set.
	wrapTransport func(http.RoundTripper) http.RoundTripper
}

type agentProcess struct {
	server          *Server
	engine          *engine.Engine
	service         *service.Service
	ordererToken    string
	serviceListener *memnet.Listener
	address         string
	stop            context.CancelFunc
	done            chan error
	// wantErr is the error that Run must return.
	wantErr error
}

// withFixture runs test in virtual time and stops all daemons after it.
func withFixture(t *testing.T, test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		defer f.close()
		test(f)
	})
}

func newFixture(t testing.TB) *fixture {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fixture{t: t, ctx: ctx, agents: map[host.ID]*agentProcess{}}
	f.closers = append(f.closers, cancel)
	var err error
	f.authority, err = identity.NewAuthority(time.Now(), identity.DefaultAuthorityValidity)
	require.NoError(t, err)
	f.control = &fakeControl{sessions: map[host.ID]*transport.Stream{}, floors: map[host.ID]replica.Fence{}, silent: map[host.ID]bool{}}
	socket := f.newSocket(host.RoleControl, "control-1", controlAddress)
	go func() { _ = socket.Serve(ctx, f.control.handle) }()
	f.entry = pool.New(f.newSocket(host.RoleEntry, "entry-1", "10.0.0.2:7000"))
	return f
}

func (f *fixture) close() {
	for _, agent := range f.agents {
		agent.stop()
		require.ErrorIs(f.t, <-agent.done, agent.wantErr)
	}
	for i := len(f.closers) - 1; i >= 0; i-- {
		f.closers[i]()
	}
}

func (f *fixture) newSocket(role host.Role, id host.ID, address string) *transport.Socket {
	conn, err := f.network.Listen(address)
	require.NoError(f.t, err)
	keyPair, err := f.authority.Issue(identity.Identity{Role: role, Host: id}, time.Now(), identity.DefaultLeafValidity)
	require.NoError(f.t, err)
	root, err := f.authority.KeyPair()
	require.NoError(f.t, err)
	credentials, err := identity.NewCredentials(keyPair, root.Certificate)
	require.NoError(f.t, err)
	socket := transport.New(countingConn{conn, &f.sentBytes}, credentials, transport.Options{})
	f.closers = append(f.closers, func() { _ = socket.Close() })
	return socket
}

// httpServer serves handler in memory and returns a transport that reaches it.
func (f *fixture) httpServer(handler http.Handler) (*memnet.Listener, *http.Transport) {
	listener := memnet.NewListener("standin")
	server := &http.Server{Handler: handler}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(listener)
	}()
	client := &http.Transport{DialContext: listener.Dial}
	f.closers = append(f.closers, func() {
		client.CloseIdleConnections()
		_ = server.Close()
		<-served
	})
	return listener, client
}

// agent starts the n-th agent with an engine and a plain service on its host.
func (f *fixture) agent(n int, opts engine.Options) *agentProcess {
	agent := &agentProcess{engine: engine.New(opts)}
	f.start(n, agent, opts.OrdererToken)
	return agent
}

// start runs a new agent process on the host of agent's engine and service.
func (f *fixture) start(n int, agent *agentProcess, orderer string) {
	id := host.ID(fmt.Sprintf("host-%d", n))
	agent.ordererToken = orderer
	if agent.service == nil {
		agent.service = service.New()
	}
	_, engineTransport := f.httpServer(agent.engine.Handler())
	listener, serviceTransport := f.httpServer(agent.service.Handler())
	agent.serviceListener = listener
	agent.address = fmt.Sprintf("10.0.1.%d:7000", n)
	socket := f.newSocket(host.RoleAgent, id, agent.address)
	agent.server = New(Options{
		Info: host.Info{ID: id, Address: agent.address},
		// The URLs are not resolved. The transports reach the stand-ins in memory.
		EngineURL: "http://engine", EngineTransport: f.wrap(engineTransport), OrdererToken: orderer,
		Services: map[string]string{"records": "http://records"}, ServiceTransport: serviceTransport,
		Socket: socket, Pool: pool.New(socket), ControlAddresses: []string{controlAddress},
	})
	ctx, stop := context.WithCancel(f.ctx)
	agent.stop = func() {
		stop()
		_ = socket.Close()
	}
	agent.done = make(chan error, 1)
	go func() {
		agent.done <- agent.server.Run(ctx)
	}()
	f.agents[id] = agent
}

func (f *fixture) wrap(inner http.RoundTripper) http.RoundTripper {
	if f.wrapTransport == nil {
		return inner
	}
	return f.wrapTransport(inner)
}

// restart kills an agent and starts a new process on its host.
func (f *fixture) restart(n int) {
	agent := f.agents[host.ID(fmt.Sprintf("host-%d", n))]
	agent.stop()
	require.NoError(f.t, <-agent.done)
	f.control.removeSession(host.ID(fmt.Sprintf("host-%d", n)))
	f.start(n, agent, agent.ordererToken)
}

// sendAs sends one frame as a peer with a certificate for role and returns the reply.
func (f *fixture) sendAs(role host.Role, agent *agentProcess, sent message.Message) message.Message {
	peer := pool.New(f.newSocket(role, "other", fmt.Sprintf("10.0.9.%d:7000", len(f.closers))))
	stream, err := peer.Open(f.ctx, agent.address)
	require.NoError(f.t, err)
	defer stream.Cancel()
	require.NoError(f.t, stream.Send(sent))
	reply, err := stream.Receive()
	require.NoError(f.t, err)
	return reply
}

// replica orders the first n agents to form a replica and waits until its head
// accepts work.
func (f *fixture) replica(id replica.ID, fence replica.Fence, n int) replica.Replica {
	r, addresses := f.replicaSpec(id, fence, n)
	for _, h := range r.Hosts {
		require.NoError(f.t, f.control.order(h, &message.Order{ID: uint64(fence), Action: message.OrderLoad, Replica: r, Addresses: addresses}))
	}
	head := f.agents[r.Head()].server
	require.Eventually(f.t, func() bool { return head.accepts(r) }, time.Minute, 10*time.Millisecond)
	return r
}

func (f *fixture) replicaSpec(id replica.ID, fence replica.Fence, n int) (replica.Replica, []string) {
	r := replica.Replica{ID: id, Fence: fence, Spec: replica.Spec{Deployment: "d", Model: "m", Version: "1"}}
	var addresses []string
	for i := 1; i <= n; i++ {
		h := host.ID(fmt.Sprintf("host-%d", i))
		r.Hosts = append(r.Hosts, h)
		addresses = append(addresses, f.agents[h].address)
	}
	return r, addresses
}

func (s *Server) accepts(r replica.Replica) bool {
	at := s.leaseStatus()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.CheckAccept(at, r.ID, r.Fence) == nil
}

// fakeControl is a fake control leader. It grants all leases, except to the hosts of
// silent, and sends the orders of a test.
type fakeControl struct {
	mu           sync.Mutex
	sessions     map[host.ID]*transport.Stream
	floors       map[host.ID]replica.Fence
	silent       map[host.ID]bool
	orderReports []message.OrderDone
	crashes      []message.CrashReport
	goodbyes     []message.Goodbye
}

func (c *fakeControl) handle(_ context.Context, stream *transport.Stream) {
	m, err := stream.Receive()
	if err != nil {
		return
	}
	switch m := m.(type) {
	case *message.Announce:
		c.session(stream, m.Info.ID)
	case *message.CrashReport:
		c.mu.Lock()
		c.crashes = append(c.crashes, *m)
		c.mu.Unlock()
		_ = stream.Send(&message.Ack{})
	}
}

func (c *fakeControl) session(stream *transport.Stream, id host.ID) {
	c.mu.Lock()
	floor := c.floors[id]
	c.sessions[id] = stream
	c.mu.Unlock()
	_ = stream.Send(&message.Welcome{Epoch: 1, LeaseTTL: testTTL, RenewInterval: testRenew, FenceFloor: floor})
	_ = stream.Send(&message.ConfigPush{Revision: 1, YAML: []byte("{}")})
	for {
		m, err := stream.Receive()
		if err != nil {
			return
		}
		c.handleFrame(stream, id, m)
	}
}

func (c *fakeControl) handleFrame(stream *transport.Stream, id host.ID, m message.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch m := m.(type) {
	case *message.Renew:
		if c.silent[id] {
			return
		}
		grant := message.LeaseGrant{Host: id, Sequence: m.Renewals[0].Sequence, Revision: 1}
		_ = stream.Send(&message.Grant{Grants: []message.LeaseGrant{grant}})
	case *message.OrderDone:
		c.orderReports = append(c.orderReports, *m)
	case *message.Goodbye:
		c.goodbyes = append(c.goodbyes, *m)
	}
}

func (c *fakeControl) order(id host.ID, o *message.Order) error { return c.push(id, o) }

func (c *fakeControl) push(id host.ID, m message.Message) error {
	var stream *transport.Stream
	for stream == nil {
		c.mu.Lock()
		stream = c.sessions[id]
		c.mu.Unlock()
		time.Sleep(10 * time.Millisecond) // Virtual time.
	}
	return stream.Send(m)
}

// failedOrders returns the reports of orders that failed.
func (c *fakeControl) failedOrders() []message.OrderDone {
	c.mu.Lock()
	defer c.mu.Unlock()
	var failed []message.OrderDone
	for _, d := range c.orderReports {
		if !d.OK {
			failed = append(failed, d)
		}
	}
	return failed
}

func (c *fakeControl) crashReports() []message.CrashReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes
}

func (c *fakeControl) receivedGoodbyes() []message.Goodbye {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.goodbyes
}

func (c *fakeControl) setFenceFloor(id host.ID, fence replica.Fence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.floors[id] = fence
}

func (c *fakeControl) removeSession(id host.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.sessions, id)
}

// setSilent makes control stop or resume granting leases to a host.
func (c *fakeControl) setSilent(id host.ID, silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent[id] = silent
}

// received is what an entry received for one dispatch.
type received struct {
	refused *message.Refused
	head    *message.Head
	text    string
	end     *message.End
	endedAt time.Time
}

// generationDispatch returns a dispatch of a chat prompt.
func generationDispatch(agent *agentProcess, r replica.Replica, prompt string, tokens int) *message.Dispatch {
	body := fmt.Sprintf(`{"messages":[{"role":"user","content":%q}],"max_tokens":%d,"ignore_eos":true}`, prompt, tokens)
	return &message.Dispatch{
		Ref: message.Ref{Request: request.NewID(), Attempt: 1}, Incarnation: agent.server.Incarnation(),
		TimeoutMs: 60_000, BodyHash: uint64(len(prompt)),
		Generate: &message.Generate{Replica: r.ID, Fence: r.Fence, Path: "/v1/chat/completions", Body: []byte(body)},
	}
}

// signoffDispatch returns an at-most-once dispatch to the records service.
func signoffDispatch(agent *agentProcess, body string) *message.Dispatch {
	return &message.Dispatch{
		Ref: message.Ref{Request: request.NewID(), Attempt: 1}, Incarnation: agent.server.Incarnation(),
		TimeoutMs: 10_000, AtMostOnce: true,
		Call: &message.Call{
			Service: "records", Method: http.MethodPost, Path: service.PathSignoffs, Body: []byte(body),
			Header: map[string][]string{"Idempotency-Key": {"k"}},
		},
	}
}

// open sends a dispatch and returns its stream.
func (f *fixture) open(agent *agentProcess, d message.Message) *transport.Stream {
	stream, err := f.entry.Open(f.ctx, agent.address)
	require.NoError(f.t, err)
	require.NoError(f.t, stream.Send(d))
	return stream
}

// dispatch sends a dispatch and collects its response.
func (f *fixture) dispatch(agent *agentProcess, d *message.Dispatch) received {
	return f.collect(f.open(agent, d), d)
}

func (f *fixture) collect(stream *transport.Stream, d *message.Dispatch) received {
	defer stream.Cancel()
	var got received
	var text strings.Builder
	var offset uint64
	if d.Generate != nil {
		offset = d.Generate.ResumeOffset
	}
	for got.end == nil && got.refused == nil {
		m, err := stream.Receive()
		require.NoError(f.t, err)
		switch m := m.(type) {
		case *message.Refused:
			require.Equal(f.t, d.Ref, m.Ref)
			got.refused = m
		case *message.Head:
			require.Equal(f.t, d.Ref, m.Ref)
			got.head = m
		case *message.Chunk:
			require.Equal(f.t, d.Ref, m.Ref)
			require.Equal(f.t, offset, m.Offset)
			offset += uint64(m.Count)
			text.Write(m.Data)
		case *message.End:
			require.Equal(f.t, d.Ref, m.Ref)
			got.end = m
		}
	}
	got.text = text.String()
	got.endedAt = time.Now()
	return got
}

// ask queries the state of an attempt. If the connection leads to a process that
// was killed, the query times out and, as an entry does, ask retries over a new
// connection.
func (f *fixture) ask(agent *agentProcess, ask *message.Ask) *message.AskResult {
	for {
		stream := f.open(agent, ask)
		result, err := stream.Receive()
		stream.Cancel()
		if err == nil {
			return result.(*message.AskResult)
		}
	}
}

// sleep lets virtual time pass.
func sleep(d time.Duration) { time.Sleep(d) }
