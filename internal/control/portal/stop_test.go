package portal

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/link/identity"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/link/transport"
)

// openFromPeer sends m to a node as another control host does. It returns the stream, and the socket to close.
func (c *cluster) openFromPeer(n *node, m message.Message) (*transport.Stream, *transport.Socket) {
	credentials, err := identity.NewForPrivateNetwork(identity.Identity{Role: host.RoleControl, Host: "peer"}, time.Now())
	require.NoError(c.t, err)
	socket, err := c.network.Listen("10.0.9.1:7340")
	require.NoError(c.t, err)
	link := transport.New(socket, credentials, transport.Options{})
	stream, err := pool.New(link).Open(c.t.Context(), n.ip+":7340")
	require.NoError(c.t, err)
	require.NoError(c.t, stream.Send(m))
	return stream, link
}

// TestStopWaitsUntilAnswersAreReceived leaves the answer of the leader to a call unread while it stops. It guards against a planned stop that
// closes the link of a control host which has not yet read that the departure of an endpoint is kept.
func TestStopWaitsUntilAnswersAreReceived(t *testing.T) {
	endpoint := roster.Endpoint{ID: "e-1", Address: "10.0.5.1:80", StartedMs: 1, State: roster.StateLeft}
	for name, sent := range map[string]message.Message{
		"departure":     &message.Depart{Endpoints: []roster.Endpoint{endpoint}},
		"version query": &message.VersionQuery{Urgent: true},
		"founder query": &message.FounderQuery{FirstStart: true},
	} {
		t.Run(name, func(t *testing.T) {
			var answer message.Message
			var err error
			runCluster(t, 3, func(c *cluster) {
				leader := c.leader()
				stream, link := c.openFromPeer(leader, sent)
				defer func() { _ = link.Close() }()
				time.Sleep(500 * time.Millisecond)
				stopped := make(chan struct{})
				go func() {
					defer close(stopped)
					leader.Stop(c.t.Context())
					_ = leader.Drain(c.t.Context())
					leader.stop()
				}()
				time.Sleep(receiptTimeout / 2)
				answer, err = stream.Receive()
				stream.Close()
				<-stopped
				leader.stop = nil
			})
			require.NoError(t, err)
			require.NotNil(t, answer)
		})
	}
}
