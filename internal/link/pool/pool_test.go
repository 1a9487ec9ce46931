package pool

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/identity"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/standin/memnet"
)

const (
	clientIP      = "10.0.0.2"
	serverIP      = "10.0.0.1"
	clientAddress = clientIP + ":7000"
	serverAddress = serverIP + ":7000"
	hopDelay      = time.Millisecond
	callTimeout   = time.Second
	// The transport closes a link on which nothing has arrived for its idle timeout. The
	// last packet that arrived may be a keep-alive period old. Both values differ from
	// those of package transport, 1.5 s and 600 ms, but their sum is larger.
	idleTimeout = 2 * time.Second
	keepAlive   = 500 * time.Millisecond
)

// newSocket opens the socket of a process in the network.
func newSocket(t *testing.T, network *memnet.Network, authority *identity.Authority, address string) *transport.Socket {
	t.Helper()
	pair, err := authority.Issue(identity.Identity{Role: host.RoleAgent, Host: host.ID(address)}, time.Now(), 24*time.Hour)
	require.NoError(t, err)
	trusted, err := authority.KeyPair()
	require.NoError(t, err)
	credentials, err := identity.NewCredentials(pair, trusted.Certificate)
	require.NoError(t, err)
	socket, err := network.Listen(address)
	require.NoError(t, err)
	return transport.New(socket, credentials, transport.Options{})
}

// echo sends every frame of a call back.
func echo(_ context.Context, s *transport.Stream) {
	for {
		m, err := s.Receive()
		if err != nil || s.Send(m) != nil {
			return
		}
	}
}

// echoCall makes one call to the server and waits for its answer.
func echoCall(ctx context.Context, p *Pool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stream, err := p.Open(ctx, serverAddress)
	if err != nil {
		return err
	}
	defer stream.Close()
	defer stream.CancelOn(ctx)()
	if err := stream.Send(&message.Ack{}); err != nil {
		return err
	}
	_, err = stream.Receive()
	return err
}

// fixture contains a server and a pool that dials it, in one network.
type fixture struct {
	network memnet.Network
	pool    *Pool
}

// newFixture starts the server and returns a function that stops it.
func newFixture(ctx context.Context, t *testing.T) (*fixture, func()) {
	t.Helper()
	f := &fixture{}
	f.network.SetDelay(hopDelay)
	authority, err := identity.NewAuthority(time.Now(), 24*time.Hour)
	require.NoError(t, err)
	server := newSocket(t, &f.network, authority, serverAddress)
	client := newSocket(t, &f.network, authority, clientAddress)
	f.pool = New(client)
	ctx, cancel := context.WithCancel(ctx)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = server.Serve(ctx, echo)
	}()
	return f, func() {
		cancel()
		<-stopped
		_ = client.Close()
		_ = server.Close()
	}
}

// TestUnresponsiveLinkIsReplaced cuts a link in one direction or both, as happens when the
// network loses the state of the link. The call on it must fail within maxWait, and
// after the cut a new link must work. If only the client's packets are lost, the server
// must reach its own idle timeout first and stop sending, which doubles the wait.
func TestUnresponsiveLinkIsReplaced(t *testing.T) {
	for name, c := range map[string]struct {
		cuts    [][2]string
		maxWait time.Duration
	}{
		"both directions": {[][2]string{{clientIP, serverIP}, {serverIP, clientIP}}, idleTimeout + keepAlive},
		"to client only":  {[][2]string{{serverIP, clientIP}}, idleTimeout + keepAlive},
		"to server only":  {[][2]string{{clientIP, serverIP}}, 2 * (idleTimeout + keepAlive)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, stop := newFixture(t.Context(), t)
				defer stop()
				require.NoError(t, echoCall(t.Context(), f.pool))
				first, err := f.pool.Conn(t.Context(), serverAddress)
				require.NoError(t, err)
				waiting, err := first.Open(t.Context())
				require.NoError(t, err)

				for _, cut := range c.cuts {
					f.network.Cut(cut[0], cut[1])
				}
				cutAt := time.Now()
				_, err = waiting.Receive()
				require.Error(t, err)
				require.LessOrEqual(t, time.Since(cutAt), c.maxWait)
				require.Error(t, echoCall(t.Context(), f.pool), "a call went through a cut")

				for _, cut := range c.cuts {
					f.network.Heal(cut[0], cut[1])
				}
				require.NoError(t, echoCall(t.Context(), f.pool))
				second, err := f.pool.Conn(t.Context(), serverAddress)
				require.NoError(t, err)
				require.NotSame(t, first, second)
			})
		})
	}
}

// TestIdleLinkIsKept lets an hour pass without a call. The link must stay open.
func TestIdleLinkIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := newFixture(t.Context(), t)
		defer stop()
		first, err := f.pool.Conn(t.Context(), serverAddress)
		require.NoError(t, err)
		time.Sleep(time.Hour)
		second, err := f.pool.Conn(t.Context(), serverAddress)
		require.NoError(t, err)
		require.Same(t, first, second)
		require.NoError(t, echoCall(t.Context(), f.pool))

		f.pool.Drop(serverAddress)
		third, err := f.pool.Conn(t.Context(), serverAddress)
		require.NoError(t, err)
		require.NotSame(t, first, third)
	})
}
