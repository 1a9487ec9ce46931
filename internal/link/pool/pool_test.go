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
	near      = "10.0.0.2"
	far       = "10.0.0.1"
	nearEnd   = near + ":7000"
	farEnd    = far + ":7000"
	hopDelay  = time.Millisecond
	callLimit = time.Second
	// The transport gives a link up when nothing has arrived for idleTimeout; what
	// was on its way last may be a keep-alive old.
	idleTimeout = 2 * time.Second
	keepAlive   = 500 * time.Millisecond
)

// newEndpoint opens a process's endpoint in the network.
func newEndpoint(t *testing.T, network *memnet.Network, authority *identity.Authority, address string) *transport.Socket {
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

// answer answers every frame of a call with itself.
func answer(_ context.Context, s *transport.Stream) {
	for {
		m, err := s.Receive()
		if err != nil || s.Send(m) != nil {
			return
		}
	}
}

func exchange(ctx context.Context, p *Pool) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	stream, err := p.Open(ctx, farEnd)
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

// fleet is two processes in one network: a server and a pool that dials it.
type fleet struct {
	network memnet.Network
	pool    *Pool
}

// newFleet starts both and returns what stops them.
func newFleet(ctx context.Context, t *testing.T) (*fleet, func()) {
	t.Helper()
	f := &fleet{}
	f.network.SetDelay(hopDelay)
	authority, err := identity.NewAuthority(time.Now(), 24*time.Hour)
	require.NoError(t, err)
	server := newEndpoint(t, &f.network, authority, farEnd)
	client := newEndpoint(t, &f.network, authority, nearEnd)
	f.pool = New(client)
	ctx, cancel := context.WithCancel(ctx)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = server.Serve(ctx, answer)
	}()
	return f, func() {
		cancel()
		<-stopped
		_ = client.Close()
		_ = server.Close()
	}
}

// TestSilentLinkIsReplaced cuts a link in one direction or both, as a network does
// that has lost track of it. Within the bound the call on it ends with an error,
// and after the cut a new link serves. Where only what we send is lost, the peer
// must fall silent first, which takes it an idleTimeout of its own.
func TestSilentLinkIsReplaced(t *testing.T) {
	for name, c := range map[string]struct {
		cuts  [][2]string
		bound time.Duration
	}{
		"both ways":   {[][2]string{{near, far}, {far, near}}, idleTimeout + keepAlive},
		"back only":   {[][2]string{{far, near}}, idleTimeout + keepAlive},
		"towards far": {[][2]string{{near, far}}, 2 * (idleTimeout + keepAlive)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, stop := newFleet(t.Context(), t)
				defer stop()
				require.NoError(t, exchange(t.Context(), f.pool))
				first, err := f.pool.Conn(t.Context(), farEnd)
				require.NoError(t, err)
				waiting, err := first.Open(t.Context())
				require.NoError(t, err)

				for _, cut := range c.cuts {
					f.network.Cut(cut[0], cut[1])
				}
				began := time.Now()
				_, err = waiting.Receive()
				require.Error(t, err)
				require.LessOrEqual(t, time.Since(began), c.bound)
				require.Error(t, exchange(t.Context(), f.pool), "a call went through a cut")

				for _, cut := range c.cuts {
					f.network.Heal(cut[0], cut[1])
				}
				require.NoError(t, exchange(t.Context(), f.pool))
				second, err := f.pool.Conn(t.Context(), farEnd)
				require.NoError(t, err)
				require.NotSame(t, first, second)
			})
		})
	}
}

// TestIdleLinkIsKept lets an hour pass without a call.
func TestIdleLinkIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := newFleet(t.Context(), t)
		defer stop()
		first, err := f.pool.Conn(t.Context(), farEnd)
		require.NoError(t, err)
		time.Sleep(time.Hour)
		second, err := f.pool.Conn(t.Context(), farEnd)
		require.NoError(t, err)
		require.Same(t, first, second)
		require.NoError(t, exchange(t.Context(), f.pool))

		f.pool.Drop(farEnd)
		third, err := f.pool.Conn(t.Context(), farEnd)
		require.NoError(t, err)
		require.NotSame(t, first, third)
	})
}
