package upstream

import (
	"bufio"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// maxSent is the greatest number of bytes that an endpoint sends to a caller that reads no further. It exceeds the buffers of the
// sockets.
const maxSent = 16 << 20

// endless returns a script that sends a beginning and then a text repeatedly until the caller closes the connection.
func endless(beginning, text string) script { return endlessTo(beginning, text, new(atomic.Int64)) }

// endlessTo is endless. It counts in unbounded the connections on which the caller has taken maxSent bytes, and ends them.
func endlessTo(beginning, text string, unbounded *atomic.Int64) script {
	data := []byte(text) // Not copied for each write: what the endpoint allocates must not be measured.
	return func(t *testing.T, c net.Conn, r *bufio.Reader) {
		if read(t, r) == nil {
			return
		}
		if _, err := io.WriteString(c, beginning); err != nil {
			return
		}
		for sent := 0; sent < maxSent; sent += len(data) {
			if _, err := c.Write(data); err != nil {
				return
			}
		}
		unbounded.Add(1)
	}
}

// TestEndlessBytesFillNoMemory guards against an endpoint that sends endless bytes, in a head or a body, until the
// process has no memory left.
func TestEndlessBytesFillNoMemory(t *testing.T) {
	const (
		exchanges    = 64
		perExchange  = 4 << 20 // All that is allocated in the course of one exchange.
		heldAtOnce   = 16 << 20
		longText     = 16 << 10
		streamHeader = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	)
	text := strings.Repeat("x", longText)
	for name, c := range map[string]struct {
		beginning, text string
		stream          bool
	}{
		"status line":  {"HTTP/1.1 200 ", text, false},
		"header line":  {"HTTP/1.1 200 OK\r\nX-Long: ", text, false},
		"header lines": {"HTTP/1.1 200 OK\r\n", strings.Repeat("a: b\r\n", 1000), false},
		"1xx":          {"", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100), false},
		"no answer":    {"", text, false},
		"body":         {"HTTP/1.1 200 OK\r\n\r\n", text, false},
		"long body":    {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", text, false},
		"chunk line":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", text, false},
		"trailer":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Long: " + text + "\r\n", false},
		"extensions":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("e", 1000) + "\r\nx\r\n", false},
		"event":        {streamHeader, "4000\r\n" + text + "\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			var unbounded atomic.Int64
			address := serveAtOnce(t, scripts(endlessTo(c.beginning, c.text, &unbounded), exchanges))
			ctx := t.Context()
			p := Pool{Dial: dialPatiently}
			before := memoryStats()
			var running sync.WaitGroup
			var mu sync.Mutex
			var open []*Exchange
			for range exchanges {
				running.Go(func() {
					x, err := p.Do(ctx, address, getRequest(), waitForever)
					if err != nil {
						return
					}
					if c.stream {
						_, _ = NewEventReader(x).Next()
					} else {
						_, _, _ = x.ReadUpTo(1 << 20)
					}
					mu.Lock()
					defer mu.Unlock()
					open = append(open, x)
				})
			}
			running.Wait()
			after := memoryStats()
			require.Zero(t, unbounded.Load(), "the exchanges ended by themselves")
			require.LessOrEqual(t, after.TotalAlloc-before.TotalAlloc, uint64(exchanges*perExchange))
			runtime.GC()
			held := memoryStats()
			require.LessOrEqual(t, int64(held.HeapAlloc)-int64(before.HeapAlloc), int64(heldAtOnce)) //nolint:gosec // Far below the limit.
			for _, x := range open {
				x.Close()
			}
			require.Zero(t, p.held.total, "released at the end")
		})
	}
}

func memoryStats() runtime.MemStats {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m
}

// serveAtOnce listens on loopback and runs a script for each accepted connection, all at once. It returns the address.
func serveAtOnce(t *testing.T, scripts []script) string {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for _, s := range scripts {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				s(t, c, bufio.NewReader(c))
				_ = c.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

// TestSoundAnswersAreNotCut guards against bounds that a healthy endpoint reaches: a large head, a large event and a
// body that is too long to be held, which is passed on.
func TestSoundAnswersAreNotCut(t *testing.T) {
	var p Pool
	head := "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Field: "+strings.Repeat("v", 100)+"\r\n", 200)
	address := serve(t, respond(head+"Content-Length: 2\r\n\r\nok"))
	x, err := p.Do(t.Context(), address, getRequest(), waitForever)
	require.NoError(t, err)
	require.Len(t, x.Response.Header["X-Field"], 200)
	x.Close()

	event := "id: 1\ndata: " + strings.Repeat("y", 500<<10) + "\n\n"
	address = serve(t, respond("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+event))
	x, err = p.Do(t.Context(), address, getRequest(), waitForever)
	require.NoError(t, err)
	e, err := NewEventReader(x).Next()
	require.NoError(t, err)
	require.Equal(t, event, string(e.Bytes))
	x.Close()

	long := strings.Repeat("z", 2*maxHeldByEndpoint)
	address = serve(t, respond("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+long))
	x, err = p.Do(t.Context(), address, getRequest(), waitForever)
	require.NoError(t, err)
	beginning, whole, err := x.ReadUpTo(len(long))
	require.NoError(t, err)
	require.False(t, whole, "more than an endpoint may make the process hold")
	rest, err := io.ReadAll(x)
	require.NoError(t, err)
	require.Equal(t, long, string(beginning)+string(rest))
	x.Close()
	require.Zero(t, p.held.total)
}
