package bootstrap

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/control/voter"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/identity"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/standin/disk"
	"github.com/egretreach/egretreach/internal/standin/memnet"
)

// newSocket opens the socket of a control host in the network.
func newSocket(t *testing.T, network *memnet.Network, address string) *transport.Socket {
	t.Helper()
	credentials, err := identity.NewForPrivateNetwork(identity.Identity{Role: host.RoleControl, Host: host.ID(address)}, time.Now())
	require.NoError(t, err)
	socket, err := network.Listen(address)
	require.NoError(t, err)
	return transport.New(socket, credentials, transport.Options{})
}

// TestSilentHostDelaysNoOther lets a host without a vote ask one host that answers and two that don't. It guards against a new host that gets
// its vote later, since the leader hears from it only when its questions to lost hosts have timed out.
func TestSilentHostDelaysNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const self, answers = "10.0.0.1:7340", "10.0.0.2:7340"
		var network memnet.Network
		asker, answerer := newSocket(t, &network, self), newSocket(t, &network, answers)
		ctx, cancel := context.WithCancel(t.Context())
		var queries atomic.Int64
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = answerer.Serve(ctx, func(_ context.Context, s *transport.Stream) {
				if _, err := s.Receive(); err == nil {
					queries.Add(1)
					_ = s.Answer(&message.Founders{})
				}
			})
		}()
		var fileSystem disk.FileSystem
		d := New(Options{
			Self: message.Founder{Host: "a", Address: self}, Seeds: []string{answers, "10.0.0.3:7340", "10.0.0.4:7340"},
			Store: Store{Files: &fileSystem, Folder: t.TempDir()}, Pool: pool.New(asker), Voters: &voter.Directory{},
		})
		const rounds = 20
		asking, stop := context.WithTimeout(ctx, rounds*queryInterval)
		defer stop()
		_, err := d.Run(asking)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.GreaterOrEqual(t, queries.Load(), int64(rounds-2))
		cancel()
		<-served
		_, _ = asker.Close(), answerer.Close()
	})
}
