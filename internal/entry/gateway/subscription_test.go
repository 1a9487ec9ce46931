package gateway

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
	"github.com/egretreach/egretreach/internal/process/clock"
	"github.com/egretreach/egretreach/internal/standin/memnet"
)

const controlAddress = "10.0.0.1:7340"

// newTestLink returns a link of a process on a network.
func newTestLink(t *testing.T, network *memnet.Network, address string, self identity.Identity) *transport.Socket {
	credentials, err := identity.NewForPrivateNetwork(self, time.Now())
	require.NoError(t, err)
	socket, err := network.Listen(address)
	require.NoError(t, err)
	return transport.New(socket, credentials, transport.Options{})
}

// TestOwnDelayEndsNoSubscription guards against an overloaded gateway that closes a working link to control after a second
// because it reads the received data late, and can't open another one in time.
func TestOwnDelayEndsNoSubscription(t *testing.T) {
	const silence = 2500 * time.Millisecond
	for name, c := range map[string]struct {
		late time.Duration
		lost bool
	}{"in time": {0, true}, "late": {500 * time.Millisecond, false}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var network memnet.Network
				control := newTestLink(t, &network, controlAddress, identity.Identity{Role: host.RoleControl, Host: "control"})
				entry := newTestLink(t, &network, "10.0.1.1:7340", identity.Identity{Role: host.RoleEntry, Host: "entry"})
				ctx, cancel := context.WithCancel(t.Context())
				go func() {
					_ = control.Serve(ctx, func(_ context.Context, s *transport.Stream) {
						_, _ = s.Receive()
						_ = s.Send(&message.Picture{Leader: controlAddress})
						time.Sleep(silence)
						_ = s.Send(&message.Picture{Leader: controlAddress, Gateways: 7})
						time.Sleep(time.Second)
					})
				}()
				g := New(Options{Pool: pool.New(entry), Dialect: testDialect()})
				g.lateness.Observe(c.late, clock.Now().Add(time.Second))
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					g.subscribeTo(ctx, &controlHosts{avoidUntil: map[string]time.Time{}}, controlAddress)
				}()
				time.Sleep(silence + 100*time.Millisecond)
				g.mu.Lock()
				heard := g.balancer.Gateways == 7
				g.mu.Unlock()
				require.Equal(t, c.lost, !heard)
				cancel()
				<-ended
				_ = entry.Close()
				_ = control.Close()
				time.Sleep(10 * time.Second)
			})
		})
	}
}
