package server

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/agent/engine"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/link/identity"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/link/transport"
	standin "github.com/egretreach/egretreach/internal/standin/engine"
)

// countingConn counts the bytes that a socket sends.
type countingConn struct {
	net.PacketConn
	sent *atomic.Int64
}

func (c countingConn) WriteTo(p []byte, to net.Addr) (int, error) {
	c.sent.Add(int64(len(p)))
	return c.PacketConn.WriteTo(p, to)
}

// TestBytesOnLinkForEachToken counts what one stream at 20 ms a token puts on the
// link, in both directions, with all QUIC overhead and less what an idle link costs.
func TestBytesOnLinkForEachToken(t *testing.T) {
	const tokens = 1024
	var last float64
	for i, chunk := range []int{1, 4, 16} {
		inFleet(t, func(f *fleet) {
			m := f.agent(1, standin.Options{StepTokens: chunk})
			r := f.replica("r-1", 1, 1)
			_ = f.do(m, generation(m, r, "p", 1))
			before, start := f.sent.Load(), time.Now()
			got := f.do(m, generation(m, r, "a long report", tokens))
			require.Equal(t, uint64(tokens), got.end.Length)
			busy := f.sent.Load() - before
			took := time.Since(start)
			before = f.sent.Load()
			pass(took)
			idle := f.sent.Load() - before
			each := float64(busy-idle) / tokens
			t.Logf("chunks of %d: %.1f bytes a token", chunk, each)
			if i > 0 {
				require.Less(t, each, last, "larger chunks must cost less")
			}
			last = each
		})
	}
}

// lines is an engine's answer that comes one chunk at a time.
type lines struct {
	next  func() []byte
	ready []byte
}

func (l *lines) Read(p []byte) (int, error) {
	if len(l.ready) == 0 {
		l.ready = l.next()
	}
	if len(l.ready) == 0 {
		return 0, io.EOF
	}
	n := copy(p, l.ready)
	l.ready = l.ready[n:]
	return n, nil
}

// scripted answers each generation with tokens in chunks.
type scripted struct {
	id     string
	tokens int
	chunk  int
}

func (s scripted) RoundTrip(*http.Request) (*http.Response, error) {
	head := fmt.Sprintf("{\"request_id\":%q,\"attempt\":1,\"offset\":", s.id)
	sent := 0
	var b []byte
	next := func() []byte {
		b = b[:0]
		for range s.chunk {
			switch {
			case sent < s.tokens:
				b = strconv.AppendInt(append(b, head...), int64(sent), 10)
				b = append(b, ",\"text\":\"upright \"}\n"...)
			case sent == s.tokens:
				b = strconv.AppendInt(append(b, head...), int64(sent), 10)
				b = append(b, ",\"end\":true}\n"...)
			}
			sent++
		}
		return b
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(&lines{next: next})}, nil
}

// BenchmarkRelayedToken relays a generation from the engine's lines through a QUIC
// link on loopback to a receiver; one operation is one token, both ends counted.
func BenchmarkRelayedToken(b *testing.B) {
	for _, chunk := range []int{1, 4, 16} {
		b.Run(fmt.Sprint("chunk ", chunk), func(b *testing.B) {
			ref := message.Ref{Request: request.NewID(), Attempt: 1}
			client := engine.New(engine.Options{
				URL:       "http://engine",
				Transport: scripted{id: ref.Request.String(), tokens: b.N, chunk: chunk},
			})
			d := &message.Dispatch{Ref: ref, Generate: &message.Generate{Body: []byte("{}")}}
			stream := loopback(b, func(ctx context.Context, s *transport.Stream) {
				out := &message.Chunk{Ref: ref}
				_, _ = client.Generate(ctx, d, func(t engine.TokenBatch) error {
					out.Offset, out.Count, out.Data = t.Offset, t.Count, t.Text
					return s.Send(out)
				})
			})
			b.ReportAllocs()
			b.ResetTimer()
			require.NoError(b, stream.Send(&message.Ack{}))
			for got := 0; got < b.N; {
				m, err := stream.Receive()
				require.NoError(b, err)
				got += int(m.(*message.Chunk).Count)
			}
		})
	}
}

// loopback returns a call over UDP on loopback that handle serves.
func loopback(b *testing.B, handle transport.Handler) *transport.Stream {
	authority, err := identity.NewAuthority(time.Now(), time.Hour)
	require.NoError(b, err)
	root, err := authority.KeyPair()
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	endpoint := func(role host.Role) *transport.Socket {
		pair, err := authority.Issue(identity.Identity{Role: role, Host: "h"}, time.Now(), time.Hour)
		require.NoError(b, err)
		credentials, err := identity.NewCredentials(pair, root.Certificate)
		require.NoError(b, err)
		socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(b, err)
		e := transport.New(socket, credentials, transport.Options{})
		b.Cleanup(func() { _ = e.Close() })
		return e
	}
	agent := endpoint(host.RoleAgent)
	go func() { _ = agent.Serve(ctx, handle) }()
	stream, err := pool.New(endpoint(host.RoleEntry)).Open(ctx, agent.Address().String())
	require.NoError(b, err)
	return stream
}
