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

// privateSocket opens the socket of a process that may change its identity.
func privateSocket(t *testing.T, network *memnet.Network, address string) (*transport.Socket, *identity.Credentials) {
	t.Helper()
	credentials, err := identity.NewForPrivateNetwork(identity.Identity{Role: host.RoleControl, Host: host.ID(address)}, time.Now())
	require.NoError(t, err)
	socket, err := network.Listen(address)
	require.NoError(t, err)
	return transport.New(socket, credentials, transport.Options{}), credentials
}

// TestNoLinkKeepsAnEarlierIdentity changes the identity of a process beside a link that is open, and beside a handshake with a peer that stands
// still. It guards against a link by which the peer goes on knowing the process as another one, so that it refuses all that the process says.
func TestNoLinkKeepsAnEarlierIdentity(t *testing.T) {
	for name, open := range map[string]bool{"open link": true, "handshake under way": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var network memnet.Network
				network.SetDelay(hopDelay)
				server, _ := privateSocket(t, &network, serverAddress)
				client, credentials := privateSocket(t, &network, clientAddress)
				p := New(client)
				ctx, cancel := context.WithCancel(t.Context())
				known := make(chan identity.Identity, 1)
				served := make(chan struct{})
				go func() {
					defer close(served)
					_ = server.Serve(ctx, func(_ context.Context, s *transport.Stream) {
						if _, err := s.Receive(); err == nil {
							known <- s.Peer()
						}
					})
				}()
				if open {
					_, err := p.Conn(t.Context(), serverAddress)
					require.NoError(t, err)
				} else {
					network.Hold(serverIP)
					go func() { _, _ = p.Conn(t.Context(), serverAddress) }()
					time.Sleep(callTimeout)
				}
				renamed := identity.Identity{Role: host.RoleControl, Host: "another"}
				require.NoError(t, credentials.SetIdentity(renamed, time.Now()))
				p.CloseOutdated()
				network.Release(serverIP)

				stream, err := p.Open(t.Context(), serverAddress)
				require.NoError(t, err)
				require.NoError(t, stream.Send(&message.Ack{}))
				require.Equal(t, renamed, <-known)
				stream.Cancel()
				cancel()
				<-served
				_, _ = client.Close(), server.Close()
			})
		})
	}
}
