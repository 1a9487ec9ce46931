package portal

import (
	"encoding/binary"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/identity"
	"github.com/egretreach/egretreach/internal/link/message"
)

// TestStreamWithoutAWholeFrameEnds guards against a faulty peer that begins frames on many streams and never ends them, so
// that a portal holds what has arrived of them for as long as the link lasts.
func TestStreamWithoutAWholeFrameEnds(t *testing.T) {
	const maxWait = time.Minute
	runCluster(t, 1, func(c *cluster) {
		credentials, err := identity.NewForPrivateNetwork(identity.Identity{Role: host.RoleControl, Host: "core-9"}, time.Now())
		require.NoError(c.t, err)
		socket, err := c.network.Listen("10.0.0.9:7340")
		require.NoError(c.t, err)
		link := &quic.Transport{Conn: socket}
		address := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(c.nodes[0].ip + ":7340"))
		config := &quic.Config{KeepAlivePeriod: time.Second / 2, MaxIdleTimeout: time.Minute, DisablePathMTUDiscovery: true}
		conn, err := link.Dial(c.t.Context(), address, credentials.Client(), config)
		require.NoError(c.t, err)
		stream, err := conn.OpenStreamSync(c.t.Context())
		require.NoError(c.t, err)
		_, err = stream.Write(binary.BigEndian.AppendUint32(nil, message.MaxFrameBytes))
		require.NoError(c.t, err)
		require.NoError(c.t, stream.SetReadDeadline(time.Now().Add(maxWait)))
		startedAt := time.Now()
		_, err = stream.Read(make([]byte, 1))
		require.Error(c.t, err)
		require.Less(c.t, time.Since(startedAt), maxWait, "the portal has ended the stream")
		require.NoError(c.t, conn.Context().Err(), "the link goes on")
		require.NoError(c.t, conn.CloseWithError(0, ""))
		require.NoError(c.t, link.Close())
		require.NoError(c.t, socket.Close())
	})
}
