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

// issue returns credentials that are signed by a, are valid for life and trust only a.
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

// foreignCredentials returns credentials that are signed by another authority and trust
// own.
func foreignCredentials(t *testing.T, own *identity.Authority) *identity.Credentials {
	t.Helper()
	pair, err := newAuthority(t).Issue(identity.Identity{Role: host.RoleAgent, Host: "host-1"}, time.Now(), time.Hour)
	require.NoError(t, err)
	trusted, err := own.KeyPair()
	require.NoError(t, err)
	credentials, err := identity.NewCredentials(pair, trusted.Certificate)
	require.NoError(t, err)
	return credentials
}

// serve runs a server until ctx ends. It answers the first frame of each call with an
// Ack.
func serve(ctx context.Context, t *testing.T, network *memnet.Network, credentials *identity.Credentials, handled chan<- identity.Identity) {
	t.Helper()
	packetConn, err := network.Listen(serverAddress)
	require.NoError(t, err)
	socket := New(packetConn, credentials, Options{})
	go func() {
		_ = socket.Serve(ctx, func(_ context.Context, s *Stream) {
			if _, err := s.Receive(); err == nil {
				handled <- s.Peer()
				_ = s.Send(&message.Ack{})
			}
		})
		_ = socket.Close()
	}()
}

// call dials the server with credentials and makes one call.
func call(ctx context.Context, t *testing.T, network *memnet.Network, credentials *identity.Credentials) error {
	t.Helper()
	packetConn, err := network.Listen("10.0.0.2:7000")
	require.NoError(t, err)
	socket := New(packetConn, credentials, Options{})
	defer func() { _ = socket.Close() }()
	conn, err := socket.Dial(ctx, serverAddress)
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

// TestServerAcceptsOnlyValidFleetCertificates makes a call with each kind of
// certificate.
func TestServerAcceptsOnlyValidFleetCertificates(t *testing.T) {
	for name, c := range map[string]struct {
		client    func(t *testing.T, own *identity.Authority) *identity.Credentials
		wantError string
	}{
		"own authority": {func(t *testing.T, own *identity.Authority) *identity.Credentials {
			return issue(t, own, host.RoleAgent, time.Hour)
		}, ""},
		"other authority": {func(t *testing.T, _ *identity.Authority) *identity.Credentials {
			return issue(t, newAuthority(t), host.RoleAgent, time.Hour)
		}, "certificate"},
		"other authority that trusts ours": {foreignCredentials, "unknown certificate authority"},
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
				if c.wantError == "" {
					require.NoError(t, err)
					require.Equal(t, host.RoleAgent, (<-handled).Role)
					return
				}
				require.ErrorContains(t, err, c.wantError)
				require.Empty(t, handled, "the call was handled")
			})
		})
	}
}

// TestClientRefusesServerOfOtherAuthority gives the server a certificate that the client
// must not trust. Nothing of the call may reach the server.
func TestClientRefusesServerOfOtherAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		network := &memnet.Network{}
		own := newAuthority(t)
		handled := make(chan identity.Identity, 1)
		serve(ctx, t, network, foreignCredentials(t, own), handled)
		err := call(ctx, t, network, issue(t, own, host.RoleAgent, time.Hour))
		require.True(t, IsErrDial(err))
		require.ErrorContains(t, err, "unknown authority")
		require.Empty(t, handled, "the call was handled")
	})
}

// dialRaw opens a QUIC connection with config, sends one frame on it and returns the
// error that ends it.
func dialRaw(ctx context.Context, t *testing.T, network *memnet.Network, config *tls.Config) error {
	t.Helper()
	socket, err := network.Listen("10.0.0.2:7000")
	require.NoError(t, err)
	defer func() { _ = socket.Close() }()
	transport := &quic.Transport{Conn: basicPacketConn{socket}}
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

// TestHandshakeRefusesOtherProtocolAndMissingCertificate dials with another protocol
// version, another protocol and no certificate.
func TestHandshakeRefusesOtherProtocolAndMissingCertificate(t *testing.T) {
	for name, c := range map[string]struct {
		change    func(*tls.Config)
		wantError string
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
				if c.wantError == "" {
					require.NoError(t, err)
					return
				}
				require.ErrorContains(t, err, c.wantError)
				require.Empty(t, handled, "the call was handled")
			})
		})
	}
}
