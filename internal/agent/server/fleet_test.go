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

// fleet is a control leader, an entry and agents on one in-memory network, all in
// virtual time.
type fleet struct {
	t         testing.TB
	ctx       context.Context
	network   memnet.Network
	authority *identity.Authority
	control   *controlLeader
	entry     *pool.Pool
	agents    map[host.ID]*member
	closers   []func()
	// sent counts the bytes that all sockets send.
	sent atomic.Int64
	// wrap stands between an agent and its engine, if set.
	wrap func(http.RoundTripper) http.RoundTripper
}

type member struct {
	server  *Server
	engine  *engine.Engine
	service *service.Service
	orderer string
	records *memnet.Listener
	address string
	stop    context.CancelFunc
	done    chan error
	// ends is the error with which the agent is to end.
	ends error
}

// inFleet runs test in virtual time and ends all daemons after it.
func inFleet(t *testing.T, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		test(f)
	})
}

func newFleet(t testing.TB) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{t: t, ctx: ctx, agents: map[host.ID]*member{}}
	f.closers = append(f.closers, cancel)
	var err error
	f.authority, err = identity.NewAuthority(time.Now(), identity.DefaultAuthorityValidity)
	require.NoError(t, err)
	f.control = &controlLeader{sessions: map[host.ID]*transport.Stream{}, floors: map[host.ID]replica.Fence{}, silent: map[host.ID]bool{}}
	endpoint := f.endpoint(host.RoleControl, "control-1", controlAddress)
	go func() { _ = endpoint.Serve(ctx, f.control.handle) }()
	f.entry = pool.New(f.endpoint(host.RoleEntry, "entry-1", "10.0.0.2:7000"))
	return f
}

func (f *fleet) close() {
	for _, m := range f.agents {
		m.stop()
		require.ErrorIs(f.t, <-m.done, m.ends)
	}
	for i := len(f.closers) - 1; i >= 0; i-- {
		f.closers[i]()
	}
}

func (f *fleet) endpoint(role host.Role, id host.ID, address string) *transport.Socket {
	socket, err := f.network.Listen(address)
	require.NoError(f.t, err)
	pair, err := f.authority.Issue(identity.Identity{Role: role, Host: id}, time.Now(), identity.DefaultLeafValidity)
	require.NoError(f.t, err)
	root, err := f.authority.KeyPair()
	require.NoError(f.t, err)
	credentials, err := identity.NewCredentials(pair, root.Certificate)
	require.NoError(f.t, err)
	endpoint := transport.New(countingConn{socket, &f.sent}, credentials, transport.Options{})
	f.closers = append(f.closers, func() { _ = endpoint.Close() })
	return endpoint
}

// httpServer serves handler in memory and returns a transport that reaches it.
func (f *fleet) httpServer(handler http.Handler) (*memnet.Listener, *http.Transport) {
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

// agent starts the n-th agent with an engine and a plain service beside it.
func (f *fleet) agent(n int, opts engine.Options) *member {
	m := &member{engine: engine.New(opts)}
	f.start(n, m, opts.OrdererToken)
	return m
}

// start runs a new agent process beside m's engine and service.
func (f *fleet) start(n int, m *member, orderer string) {
	id := host.ID(fmt.Sprintf("host-%d", n))
	m.orderer = orderer
	if m.service == nil {
		m.service = service.New()
	}
	_, engineTransport := f.httpServer(m.engine.Handler())
	records, serviceTransport := f.httpServer(m.service.Handler())
	m.records = records
	m.address = fmt.Sprintf("10.0.1.%d:7000", n)
	endpoint := f.endpoint(host.RoleAgent, id, m.address)
	m.server = New(Options{
		Info: host.Info{ID: id, Address: m.address},
		// The URLs are labels: the transports reach the stand-ins in memory.
		EngineURL: "http://engine", EngineTransport: f.wrapped(engineTransport), OrdererToken: orderer,
		Services: map[string]string{"records": "http://records"}, ServiceTransport: serviceTransport,
		Endpoint: endpoint, Pool: pool.New(endpoint), ControlAddresses: []string{controlAddress},
	})
	ctx, stop := context.WithCancel(f.ctx)
	m.stop = func() {
		stop()
		_ = endpoint.Close()
	}
	m.done = make(chan error, 1)
	go func() {
		m.done <- m.server.Run(ctx)
	}()
	f.agents[id] = m
}

func (f *fleet) wrapped(inner http.RoundTripper) http.RoundTripper {
	if f.wrap == nil {
		return inner
	}
	return f.wrap(inner)
}

// restart kills an agent and starts another process in its place.
func (f *fleet) restart(n int) {
	m := f.agents[host.ID(fmt.Sprintf("host-%d", n))]
	m.stop()
	require.NoError(f.t, <-m.done)
	f.control.forget(host.ID(fmt.Sprintf("host-%d", n)))
	f.start(n, m, m.orderer)
}

// as sends one frame under a certificate of that role and returns the answer.
func (f *fleet) as(role host.Role, m *member, sent message.Message) message.Message {
	peer := pool.New(f.endpoint(role, "other", fmt.Sprintf("10.0.9.%d:7000", len(f.closers))))
	stream, err := peer.Open(f.ctx, m.address)
	require.NoError(f.t, err)
	defer stream.Cancel()
	require.NoError(f.t, stream.Send(sent))
	answer, err := stream.Receive()
	require.NoError(f.t, err)
	return answer
}

// replica forms a replica of the first n agents, and waits until its gate is open.
func (f *fleet) replica(id replica.ID, fence replica.Fence, n int) replica.Replica {
	r, addresses := f.group(id, fence, n)
	for _, h := range r.Hosts {
		require.NoError(f.t, f.control.order(h, &message.Order{ID: uint64(fence), Action: message.OrderLoad, Replica: r, Addresses: addresses}))
	}
	head := f.agents[r.Head()].server
	require.Eventually(f.t, func() bool { return head.accepts(r) }, time.Minute, 10*time.Millisecond)
	return r
}

func (f *fleet) group(id replica.ID, fence replica.Fence, n int) (replica.Replica, []string) {
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
	at := s.reading()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.CheckAccept(at, r.ID, r.Fence) == nil
}

// controlLeader is a fake of the control leader: it grants every lease, except to
// hosts made silent, and passes on the orders of a test.
type controlLeader struct {
	mu       sync.Mutex
	sessions map[host.ID]*transport.Stream
	floors   map[host.ID]replica.Fence
	silent   map[host.ID]bool
	done     []message.OrderDone
	crashes  []message.CrashReport
	goodbyes []message.Goodbye
}

func (c *controlLeader) handle(_ context.Context, stream *transport.Stream) {
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

func (c *controlLeader) session(stream *transport.Stream, id host.ID) {
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
		c.took(stream, id, m)
	}
}

func (c *controlLeader) took(stream *transport.Stream, id host.ID, m message.Message) {
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
		c.done = append(c.done, *m)
	case *message.Goodbye:
		c.goodbyes = append(c.goodbyes, *m)
	}
}

func (c *controlLeader) order(id host.ID, o *message.Order) error { return c.push(id, o) }

func (c *controlLeader) push(id host.ID, m message.Message) error {
	var stream *transport.Stream
	for stream == nil {
		c.mu.Lock()
		stream = c.sessions[id]
		c.mu.Unlock()
		time.Sleep(10 * time.Millisecond) // Virtual time.
	}
	return stream.Send(m)
}

// dropped returns the orders that failed.
func (c *controlLeader) dropped() []message.OrderDone {
	c.mu.Lock()
	defer c.mu.Unlock()
	var dropped []message.OrderDone
	for _, d := range c.done {
		if !d.OK {
			dropped = append(dropped, d)
		}
	}
	return dropped
}

func (c *controlLeader) crashed() []message.CrashReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes
}

func (c *controlLeader) farewells() []message.Goodbye {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.goodbyes
}

func (c *controlLeader) floor(id host.ID, fence replica.Fence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.floors[id] = fence
}

func (c *controlLeader) forget(id host.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.sessions, id)
}

// silence has control grant a host nothing, or again.
func (c *controlLeader) silence(id host.ID, silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent[id] = silent
}

// answer is all that an entry received for one dispatch.
type answer struct {
	refused *message.Refused
	head    *message.Head
	text    string
	end     *message.End
	endedAt time.Time
}

// generation makes a dispatch of a chat prompt.
func generation(m *member, r replica.Replica, prompt string, tokens int) *message.Dispatch {
	body := fmt.Sprintf(`{"messages":[{"role":"user","content":%q}],"max_tokens":%d,"ignore_eos":true}`, prompt, tokens)
	return &message.Dispatch{
		Ref: message.Ref{Request: request.NewID(), Attempt: 1}, Incarnation: m.server.Incarnation(),
		TimeoutMs: 60_000, BodyHash: uint64(len(prompt)),
		Generate: &message.Generate{Replica: r.ID, Fence: r.Fence, Path: "/v1/chat/completions", Body: []byte(body)},
	}
}

// signoff makes an at-most-once dispatch to the records service.
func signoff(m *member, body string) *message.Dispatch {
	return &message.Dispatch{
		Ref: message.Ref{Request: request.NewID(), Attempt: 1}, Incarnation: m.server.Incarnation(),
		TimeoutMs: 10_000, AtMostOnce: true,
		Call: &message.Call{
			Service: "records", Method: http.MethodPost, Path: service.PathSignoffs, Body: []byte(body),
			Header: map[string][]string{"Idempotency-Key": {"k"}},
		},
	}
}

// open sends a dispatch and returns its stream.
func (f *fleet) open(m *member, d message.Message) *transport.Stream {
	stream, err := f.entry.Open(f.ctx, m.address)
	require.NoError(f.t, err)
	require.NoError(f.t, stream.Send(d))
	return stream
}

// do sends a dispatch and collects its answer.
func (f *fleet) do(m *member, d *message.Dispatch) answer {
	return f.collect(f.open(m, d), d)
}

func (f *fleet) collect(stream *transport.Stream, d *message.Dispatch) answer {
	defer stream.Cancel()
	var a answer
	var text strings.Builder
	var offset uint64
	if d.Generate != nil {
		offset = d.Generate.ResumeOffset
	}
	for a.end == nil && a.refused == nil {
		m, err := stream.Receive()
		require.NoError(f.t, err)
		switch m := m.(type) {
		case *message.Refused:
			require.Equal(f.t, d.Ref, m.Ref)
			a.refused = m
		case *message.Head:
			require.Equal(f.t, d.Ref, m.Ref)
			a.head = m
		case *message.Chunk:
			require.Equal(f.t, d.Ref, m.Ref)
			require.Equal(f.t, offset, m.Offset)
			offset += uint64(m.Count)
			text.Write(m.Data)
		case *message.End:
			require.Equal(f.t, d.Ref, m.Ref)
			a.end = m
		}
	}
	a.text = text.String()
	a.endedAt = time.Now()
	return a
}

// ask asks an agent what became of an attempt. The link to a process that was
// killed falls silent; like an entry, it asks again over a new one.
func (f *fleet) ask(m *member, ask *message.Ask) *message.AskResult {
	for {
		stream := f.open(m, ask)
		result, err := stream.Receive()
		stream.Cancel()
		if err == nil {
			return result.(*message.AskResult)
		}
	}
}

// pass lets virtual time go by.
func pass(d time.Duration) { time.Sleep(d) }
