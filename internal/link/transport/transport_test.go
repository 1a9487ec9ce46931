package transport

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/identity"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/standin/memnet"
)

const serverAddress = "10.0.0.1:7000"

func newAuthority(t *testing.T) *identity.Authority {
	t.Helper()
	authority, err := identity.NewAuthority(time.Now(), time.Hour)
	require.NoError(t, err)
	return authority
}

// issue returns the credentials of a process, valid for life, that trusts its own
// authority only.
func issue(t *testing.T, a *identity.Authority, role host.Role, life time.Duration) *identity.Credentials {
	t.Helper()
	pair, err := a.Issue(identity.Identity{Role: role, Host: "host-1"}, time.Now(), life)
	require.NoError(t, err)
	trusted, err := a.KeyPair()
	require.NoError(t, err)
	credentials, err := identity.NewCredentials(pair, trusted.Certificate)
	require.NoError(t, err)
	return credentials
}

// stranger returns the credentials of a process of another authority that trusts ours.
func stranger(t *testing.T, own *identity.Authority) *identity.Credentials {
	t.Helper()
	pair, err := newAuthority(t).Issue(identity.Identity{Role: host.RoleAgent, Host: "host-1"}, time.Now(), time.Hour)
	require.NoError(t, err)
	trusted, err := own.KeyPair()
	require.NoError(t, err)
	credentials, err := identity.NewCredentials(pair, trusted.Certificate)
	require.NoError(t, err)
	return credentials
}

// serve runs a server that answers each frame with Ack, until ctx ends.
func serve(ctx context.Context, t *testing.T, network *memnet.Network, credentials *identity.Credentials, handled chan<- identity.Identity) {
	t.Helper()
	socket, err := network.Listen(serverAddress)
	require.NoError(t, err)
	endpoint := New(socket, credentials, Options{})
	go func() {
		_ = endpoint.Serve(ctx, func(_ context.Context, s *Stream) {
			if _, err := s.Receive(); err == nil {
				handled <- s.Peer()
				_ = s.Send(&message.Ack{})
			}
		})
		_ = endpoint.Close()
	}()
}

// call dials the server with credentials and makes one call.
func call(ctx context.Context, t *testing.T, network *memnet.Network, credentials *identity.Credentials) error {
	t.Helper()
	socket, err := network.Listen("10.0.0.2:7000")
	require.NoError(t, err)
	endpoint := New(socket, credentials, Options{})
	defer func() { _ = endpoint.Close() }()
	conn, err := endpoint.Dial(ctx, serverAddress)
	if err != nil {
		return err
	}
	stream, err := conn.Open(ctx)
	if err != nil {
		return err
	}
	if err := stream.Send(&message.Ask{}); err != nil {
		return err
	}
	_, err = stream.Receive()
	return err
}

// TestOnlyTheFleetsOwnProcessesAreServed runs a call with each kind of certificate.
func TestOnlyTheFleetsOwnProcessesAreServed(t *testing.T) {
	for name, c := range map[string]struct {
		client func(t *testing.T, own *identity.Authority) *identity.Credentials
		says   string
	}{
		"own authority": {func(t *testing.T, own *identity.Authority) *identity.Credentials {
			return issue(t, own, host.RoleAgent, time.Hour)
		}, ""},
		"other authority": {func(t *testing.T, _ *identity.Authority) *identity.Credentials {
			return issue(t, newAuthority(t), host.RoleAgent, time.Hour)
		}, "certificate"},
		"other authority that trusts ours": {stranger, "unknown certificate authority"},
		"expired": {func(t *testing.T, own *identity.Authority) *identity.Credentials {
			credentials := issue(t, own, host.RoleAgent, time.Minute)
			time.Sleep(2 * time.Minute)
			return credentials
		}, "expired"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				network := &memnet.Network{}
				own := newAuthority(t)
				handled := make(chan identity.Identity, 1)
				serve(ctx, t, network, issue(t, own, host.RoleControl, time.Hour), handled)
				err := call(ctx, t, network, c.client(t, own))
				if c.says == "" {
					require.NoError(t, err)
					require.Equal(t, host.RoleAgent, (<-handled).Role)
					return
				}
				require.ErrorContains(t, err, c.says)
				require.Empty(t, handled, "the call was handled")
			})
		})
	}
}

// TestAServerOfAnotherAuthorityIsRefused gives the server a certificate that the
// caller must not trust: nothing of the call may reach it.
func TestAServerOfAnotherAuthorityIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		network := &memnet.Network{}
		own := newAuthority(t)
		handled := make(chan identity.Identity, 1)
		serve(ctx, t, network, stranger(t, own), handled)
		err := call(ctx, t, network, issue(t, own, host.RoleAgent, time.Hour))
		require.True(t, IsErrDial(err))
		require.ErrorContains(t, err, "unknown authority")
		require.Empty(t, handled, "the call was handled")
	})
}

// dialRaw opens a QUIC connection with a TLS configuration of its own and returns
// the error that ends it.
func dialRaw(ctx context.Context, t *testing.T, network *memnet.Network, config *tls.Config) error {
	t.Helper()
	socket, err := network.Listen("10.0.0.2:7000")
	require.NoError(t, err)
	defer func() { _ = socket.Close() }()
	transport := &quic.Transport{Conn: plainConn{socket}}
	defer func() { _ = transport.Close() }()
	conn, err := transport.Dial(ctx, net.UDPAddrFromAddrPort(netip.MustParseAddrPort(serverAddress)), config, quicConfig())
	if err != nil {
		return err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return err
	}
	frame, err := message.Append(nil, &message.Ask{})
	require.NoError(t, err)
	_, _ = stream.Write(frame)
	_, err = io.ReadAll(stream)
	return err
}

// TestStrangersAreRefusedInTheHandshake covers another protocol version and a
// caller without a certificate.
func TestStrangersAreRefusedInTheHandshake(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*tls.Config)
		says   string
	}{
		"same version":    {func(*tls.Config) {}, ""},
		"other version":   {func(config *tls.Config) { config.NextProtos = []string{"egretreach/0"} }, "no application protocol"},
		"no certificate":  {func(config *tls.Config) { config.Certificates = nil }, "certificate required"},
		"foreign program": {func(config *tls.Config) { config.NextProtos = []string{"h3"} }, "no application protocol"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				network := &memnet.Network{}
				own := newAuthority(t)
				handled := make(chan identity.Identity, 1)
				serve(ctx, t, network, issue(t, own, host.RoleControl, time.Hour), handled)
				config := issue(t, own, host.RoleAgent, time.Hour).Client()
				c.change(config)
				err := dialRaw(ctx, t, network, config)
				if c.says == "" {
					require.NoError(t, err)
					return
				}
				require.ErrorContains(t, err, c.says)
				require.Empty(t, handled, "the call was handled")
			})
		})
	}
}
