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

// lateContext is a context whose end reaches the functions of context.AfterFunc by a goroutine, so that others may notice it first.
type lateContext struct{ context.Context }

func (lateContext) Value(any) any { return nil }

// TestLinksEndWithServe ends Serve and calls it again on the same socket, many times. It guards against a link that stays open although nobody
// accepts its calls, so that the peer goes on sending into it.
func TestLinksEndWithServe(t *testing.T) {
	const rounds = 200
	synctest.Test(t, func(t *testing.T) {
		var network memnet.Network
		authority := newAuthority(t)
		open := func(address string) *Socket {
			packetConn, err := network.Listen(address)
			require.NoError(t, err)
			return New(packetConn, issue(t, authority, host.RoleControl, time.Hour), Options{})
		}
		server, client := open(serverAddress), open("10.0.0.2:7000")
		for range rounds {
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_ = server.Serve(lateContext{ctx}, func(_ context.Context, s *Stream) { _, _ = s.Receive() })
			}()
			conn, err := client.Dial(t.Context(), serverAddress)
			require.NoError(t, err)
			stream, err := conn.Open(t.Context())
			require.NoError(t, err)
			require.NoError(t, stream.Send(&message.Ack{}))
			synctest.Wait()
			cancel()
			<-ended
			time.Sleep(10 * time.Millisecond)
			select {
			case <-conn.Done():
			default:
				require.FailNow(t, "a link is open that nobody serves")
			}
		}
		_, _ = client.Close(), server.Close()
	})
}
