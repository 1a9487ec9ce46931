package transport

import (
	"context"
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

const clientIP, serverIP = "10.0.0.2", "10.0.0.1"

// bodyBytes makes a frame larger than the packets that are not answered by a reset.
const bodyBytes = 100

// lostLink is a link whose client has measured long round trips, and whose server has measured short ones.
type lostLink struct {
	t       *testing.T
	ctx     context.Context
	network memnet.Network
	// credentials are those of the server. The client begins with the same ones.
	credentials *identity.Credentials
	server      *Socket
	// served is closed when the server has ended the link.
	served chan struct{}
	conn   *Conn
	stream *Stream
}

// withLostLink runs test in virtual time.
func withLostLink(t *testing.T, credentials func(t *testing.T) *identity.Credentials, test func(l *lostLink)) {
	// The frames of the client arrive before the server sends a keep-alive, whose answer would be slow too.
	const slow, pause, longTrips = 450 * time.Millisecond, 100 * time.Millisecond, 40
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := &lostLink{t: t, ctx: ctx, credentials: credentials(t)}
		l.serve()
		defer func() { _ = l.server.Close() }()
		client := l.open(clientIP+":7000", l.credentials)
		defer func() { _ = client.Close() }()
		var err error
		l.conn, err = client.Dial(ctx, serverAddress)
		require.NoError(t, err)
		l.stream, err = l.conn.Open(ctx)
		require.NoError(t, err)
		time.Sleep(pause) // The acknowledgements of the handshake are quick.
		l.network.SetDelay(slow)
		for range longTrips {
			require.NoError(t, l.stream.Send(&message.Quorum{Body: make([]byte, bodyBytes)}))
			time.Sleep(pause)
		}
		l.network.SetDelay(0)
		test(l)
	})
}

func (l *lostLink) open(address string, credentials *identity.Credentials) *Socket {
	packetConn, err := l.network.Listen(address)
	require.NoError(l.t, err)
	return New(packetConn, credentials, Options{})
}

// serve starts the server.
func (l *lostLink) serve() {
	server, served := l.open(serverAddress, l.credentials), make(chan struct{})
	l.server, l.served = server, served
	go func() {
		_ = server.Serve(l.ctx, func(_ context.Context, s *Stream) {
			<-s.conn.Done()
			close(served)
		})
	}()
}

// whileCut runs disturb while the two can't reach each other.
func (l *lostLink) whileCut(disturb func()) {
	l.network.Cut(clientIP, serverIP)
	l.network.Cut(serverIP, clientIP)
	disturb()
	l.network.Heal(clientIP, serverIP)
	l.network.Heal(serverIP, clientIP)
}

// noticed bounds the time in which the client must notice that the server doesn't know the link.
const noticed = 500 * time.Millisecond

// requireReset requires that the server resets the link, and not the client's own timeout.
func (l *lostLink) requireReset() {
	_ = l.stream.Send(&message.Quorum{Body: make([]byte, bodyBytes)}) // An earlier packet may have been answered already.
	select {
	case <-l.conn.Done():
	case <-time.After(noticed):
		require.Fail(l.t, "the client goes on with the link")
	}
	var reset *quic.StatelessResetError
	require.ErrorAs(l.t, context.Cause(l.conn.conn.Context()), &reset)
}

// TestLinkThatThePeerHasLostEnds guards against a process that goes on sending on a link that its peer has given up, or that a former process
// of the peer had. A process that stood still measures a long round trip, by which its own timeout grows to many times idleTimeout; here the
// network is slow for a while.
func TestLinkThatThePeerHasLostEnds(t *testing.T) {
	timeout := func(l *lostLink) { <-l.served }
	restart := func(l *lostLink) {
		require.NoError(l.t, l.server.Close())
		l.serve()
	}
	restartOnPrivateNetwork := func(l *lostLink) {
		l.credentials = privateCredentials(l.t)
		restart(l)
	}
	for name, c := range map[string]struct {
		credentials func(t *testing.T) *identity.Credentials
		disturb     func(l *lostLink)
	}{
		"timeout":                    {issuedCredentials, timeout},
		"restart":                    {issuedCredentials, restart},
		"timeout, a private network": {privateCredentials, timeout},
		"restart, a private network": {privateCredentials, restartOnPrivateNetwork},
	} {
		t.Run(name, func(t *testing.T) {
			withLostLink(t, c.credentials, func(l *lostLink) {
				l.whileCut(func() { c.disturb(l) })
				l.requireReset()
			})
		})
	}
}

func issuedCredentials(t *testing.T) *identity.Credentials {
	return issue(t, newAuthority(t), host.RoleControl, time.Hour)
}

// privateCredentials returns credentials with a new key.
func privateCredentials(t *testing.T) *identity.Credentials {
	id := identity.Identity{Role: host.RoleControl, Host: "host-1"}
	credentials, err := identity.NewForPrivateNetwork(id, time.Now())
	require.NoError(t, err)
	return credentials
}
