package transport

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/standin/memnet"
)

// TestLinkThatThePeerHasLostEnds guards against a process that goes on sending on a link that its peer has given up. A process that stood
// still measures a long round trip, by which its own timeout grows to many times idleTimeout; here the first packets were slow.
func TestLinkThatThePeerHasLostEnds(t *testing.T) {
	const clientIP, serverIP = "10.0.0.2", "10.0.0.1"
	const (
		slow     = 300 * time.Millisecond
		quick    = 30 * time.Millisecond
		messages = 60
		noticed  = 500 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var network memnet.Network
		authority := newAuthority(t)
		open := func(address string) *Socket {
			packetConn, err := network.Listen(address)
			require.NoError(t, err)
			return New(packetConn, issue(t, authority, host.RoleControl, time.Hour), Options{})
		}
		server, client := open(serverAddress), open(clientIP+":7000")
		defer func() { _ = server.Close() }()
		defer func() { _ = client.Close() }()
		go func() {
			_ = server.Serve(ctx, func(_ context.Context, s *Stream) {
				// The server measures many quick round trips.
				for range messages {
					_ = s.Send(&message.Ack{})
					time.Sleep(quick)
				}
				_, _ = s.Receive()
			})
		}()
		network.SetDelay(slow)
		conn, err := client.Dial(ctx, serverAddress)
		require.NoError(t, err)
		stream, err := conn.Open(ctx)
		require.NoError(t, err)
		network.SetDelay(0)
		send := func() { require.NoError(t, stream.Send(&message.Quorum{Body: make([]byte, 100)})) }
		send()
		for range messages {
			_, err := stream.Receive()
			require.NoError(t, err)
		}
		network.Cut(clientIP, serverIP)
		network.Cut(serverIP, clientIP)
		time.Sleep(idleTimeout + noticed)
		network.Heal(clientIP, serverIP)
		network.Heal(serverIP, clientIP)
		require.NoError(t, conn.conn.Context().Err(), "the client has ended the link by itself")
		send()
		select {
		case <-conn.Done():
		case <-time.After(noticed):
			require.Fail(t, "the client goes on with the link")
		}
	})
}
