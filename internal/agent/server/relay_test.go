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

// countingConn adds the bytes that a socket sends to a counter.
type countingConn struct {
	net.PacketConn
	sent *atomic.Int64
}

func (c countingConn) WriteTo(p []byte, to net.Addr) (int, error) {
	c.sent.Add(int64(len(p)))
	return c.PacketConn.WriteTo(p, to)
}

// TestBytesPerToken counts the bytes that one stream at 20 ms per token sends over
// the link in both directions, including the QUIC overhead, minus those of an idle
// link. Larger chunks must need fewer bytes per token.
func TestBytesPerToken(t *testing.T) {
	const tokens = 1024
	var last float64
	for i, chunk := range []int{1, 4, 16} {
		withFixture(t, func(f *fixture) {
			agent := f.agent(1, standin.Options{StepTokens: chunk})
			r := f.replica("r-1", 1, 1)
			_ = f.dispatch(agent, generationDispatch(agent, r, "p", 1))
			before, start := f.sentBytes.Load(), time.Now()
			got := f.dispatch(agent, generationDispatch(agent, r, "a long report", tokens))
			require.Equal(t, uint64(tokens), got.end.Length)
			busy := f.sentBytes.Load() - before
			took := time.Since(start)
			before = f.sentBytes.Load()
			sleep(took)
			idle := f.sentBytes.Load() - before
			each := float64(busy-idle) / tokens
			t.Logf("chunks of %d: %.1f bytes a token", chunk, each)
			if i > 0 {
				require.Less(t, each, last, "larger chunks must need fewer bytes")
			}
			last = each
		})
	}
}

// lineReader is the body of an engine's response. Each chunk of lines arrives alone.
type lineReader struct {
	next  func() []byte
	ready []byte
}

func (l *lineReader) Read(p []byte) (int, error) {
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

// scriptedEngine is a transport that responds to each generation with a fixed
// number of tokens in chunks.
type scriptedEngine struct {
	id     string
	tokens int
	chunk  int
}

func (s scriptedEngine) RoundTrip(*http.Request) (*http.Response, error) {
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
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(&lineReader{next: next})}, nil
}

// BenchmarkRelayToken relays a generation from the lines of an engine's response
// over a QUIC connection on loopback to a receiver. One operation is one token.
// Allocations of both ends are counted.
func BenchmarkRelayToken(b *testing.B) {
	for _, chunk := range []int{1, 4, 16} {
		b.Run(fmt.Sprint("chunk ", chunk), func(b *testing.B) {
			ref := message.Ref{Request: request.NewID(), Attempt: 1}
			client := engine.New(engine.Options{
				URL:       "http://engine",
				Transport: scriptedEngine{id: ref.Request.String(), tokens: b.N, chunk: chunk},
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

// loopback returns a stream over UDP on loopback that handle serves.
func loopback(b *testing.B, handle transport.Handler) *transport.Stream {
	authority, err := identity.NewAuthority(time.Now(), time.Hour)
	require.NoError(b, err)
	root, err := authority.KeyPair()
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	newSocket := func(role host.Role) *transport.Socket {
		keyPair, err := authority.Issue(identity.Identity{Role: role, Host: "h"}, time.Now(), time.Hour)
		require.NoError(b, err)
		credentials, err := identity.NewCredentials(keyPair, root.Certificate)
		require.NoError(b, err)
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(b, err)
		socket := transport.New(conn, credentials, transport.Options{})
		b.Cleanup(func() { _ = socket.Close() })
		return socket
	}
	agent := newSocket(host.RoleAgent)
	go func() { _ = agent.Serve(ctx, handle) }()
	stream, err := pool.New(newSocket(host.RoleEntry)).Open(ctx, agent.Address().String())
	require.NoError(b, err)
	return stream
}
