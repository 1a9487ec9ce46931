package session

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/identity"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/standin/memnet"
)

const controlAddress = "10.0.0.1:7000"

// newSocket opens the socket of a process with a role.
func newSocket(t *testing.T, network *memnet.Network, authority *identity.Authority, role host.Role, address string) *transport.Socket {
	t.Helper()
	pair, err := authority.Issue(identity.Identity{Role: role, Host: "host-1"}, time.Now(), time.Hour)
	require.NoError(t, err)
	trusted, err := authority.KeyPair()
	require.NoError(t, err)
	credentials, err := identity.NewCredentials(pair, trusted.Certificate)
	require.NoError(t, err)
	socket, err := network.Listen(address)
	require.NoError(t, err)
	return transport.New(socket, credentials, transport.Options{})
}

// TestCallIsSentOnlyToControlDaemon runs a process of each role at a control address.
// Only a control daemon may receive and grant a claim.
func TestCallIsSentOnlyToControlDaemon(t *testing.T) {
	for _, role := range []host.Role{host.RoleControl, host.RoleAgent, host.RoleEntry, host.RoleOperator} {
		t.Run(string(role), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				serving, stop := context.WithCancel(t.Context())
				defer stop()
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				network := &memnet.Network{}
				authority, err := identity.NewAuthority(time.Now(), time.Hour)
				require.NoError(t, err)
				server := newSocket(t, network, authority, role, controlAddress)
				defer func() { _ = server.Close() }()
				client := newSocket(t, network, authority, host.RoleEntry, "10.0.0.2:7000")
				defer func() { _ = client.Close() }()
				received := make(chan message.Message, 1)
				go func() {
					_ = server.Serve(serving, func(_ context.Context, s *transport.Stream) {
						if m, err := s.Receive(); err == nil {
							received <- m
							_ = s.Send(&message.ClaimResult{Items: []message.ClaimItemResult{{State: message.ClaimGranted}}})
						}
					})
				}()
				session := New(Options{Pool: pool.New(client), ControlAddresses: []string{controlAddress}})
				_, err = session.Call(ctx, &message.Claim{Items: []message.ClaimItem{{Key: "k"}}})
				if role == host.RoleControl {
					require.NoError(t, err)
					return
				}
				require.True(t, IsErrNoLeader(err), "%v", err)
				require.Empty(t, received, "the claim was sent")
				_, err = session.openStream(t.Context(), controlAddress)
				require.True(t, IsErrWrongPeer(err), "%v", err)
			})
		})
	}
}
