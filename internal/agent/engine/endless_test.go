package engine

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/link/message"
)

// maxSent is what an engine sends in vain at most, in bytes: more than the sockets take once a caller reads no further.
const maxSent = 16 << 20

// serveEndless serves an engine that begins each answer with a text and then sends another again and again until the
// caller closes. It counts in unbounded the connections on which the caller has taken maxSent bytes, and ends them.
func serveEndless(t *testing.T, beginning, text string, unbounded *atomic.Int64) string {
	data := []byte(text)
	return serveEngine(t, func(c net.Conn, r *http.Request, _ int) {
		r.Close = true
		if _, err := io.WriteString(c, beginning); err != nil {
			return
		}
		for sent := 0; sent < maxSent; sent += len(data) {
			if _, err := c.Write(data); err != nil {
				return
			}
		}
		unbounded.Add(1)
	})
}

// TestEndlessAnswersOfEnginesFillNoMemory guards against an engine whose answers to health checks, orders, cancellations
// and generations never end: that they fill the memory of the agent or keep its call.
func TestEndlessAnswersOfEnginesFillNoMemory(t *testing.T) {
	const (
		calls = 16
		// allocatedByCall bounds all that is allocated in the course of a call.
		allocatedByCall = 8 << 20
		ok              = "HTTP/1.1 200 OK\r\n"
		chunked         = ok + "Transfer-Encoding: chunked\r\n\r\n"
	)
	text := strings.Repeat("x", 16<<10)
	d := &message.Dispatch{Generate: &message.Generate{Path: "/v1/completions"}}
	operations := map[string]func(context.Context, *Client) error{
		"health check": func(ctx context.Context, c *Client) error { _, err := c.Report(ctx); return err },
		"cache events": func(ctx context.Context, c *Client) error { _, err := c.CacheEvents(ctx); return err },
		"order":        func(ctx context.Context, c *Client) error { return c.Load(ctx, replica.Replica{}, false) },
		"cancellation": func(ctx context.Context, c *Client) error { return c.Cancel(ctx, message.Ref{}) },
		"generation": func(ctx context.Context, c *Client) error {
			_, err := c.Generate(ctx, d, func(TokenBatch) error { return nil })
			return err
		},
	}
	for name, engine := range map[string]struct{ beginning, text string }{
		"status line":   {"HTTP/1.1 200 ", text},
		"header line":   {ok + "X-Long: ", text},
		"header fields": {ok, strings.Repeat("a: b\r\n", 1000)},
		"1xx":           {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", 100)},
		"no answer":     {"", text},
		"body":          {ok + "\r\n", text},
		"refusal":       {"HTTP/1.1 500 X\r\n\r\n" + `{"code":"`, text},
		"JSON":          {ok + "\r\n[", strings.Repeat(`{"start":"x"},`, 1000)},
		"blanks":        {ok + "\r\n", strings.Repeat(" ", 16<<10)},
		"chunk line":    {chunked, text},
		"extensions":    {chunked, "1;" + strings.Repeat("e", 1000) + "\r\nx\r\n"},
		"trailer":       {chunked + "2\r\n{}\r\n0\r\n", "X-Long: " + text + "\r\n"},
		"after a whole": {ok + "Content-Length: 2\r\n\r\n{}", text},
	} {
		for operation, call := range operations {
			t.Run(operation+", "+name, func(t *testing.T) {
				var unbounded atomic.Int64
				client := New(Options{URL: serveEndless(t, engine.beginning, engine.text, &unbounded)})
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				var running sync.WaitGroup
				for range calls {
					running.Go(func() { _ = call(t.Context(), client) }) // Some are answered, and some aren't.
				}
				running.Wait()
				runtime.ReadMemStats(&after)
				require.Zero(t, unbounded.Load(), "the calls ended by themselves")
				require.LessOrEqual(t, after.TotalAlloc-before.TotalAlloc, uint64(calls*allocatedByCall))
			})
		}
	}
}

// TestLongRefusalIsNotPassedOn guards against refusals of up to a megabyte that an agent holds, for each of a thousand
// attempts, and passes on to entries. Such an answer proves no refusal.
func TestLongRefusalIsNotPassedOn(t *testing.T) {
	for size, refused := range map[int]bool{8 << 10: true, 512 << 10: false} {
		url := serveEngine(t, func(c net.Conn, _ *http.Request, _ int) {
			write(c, http.StatusServiceUnavailable, `{"code":"overloaded","reason":"`+strings.Repeat("x", size)+`"}`)
		})
		err := New(Options{URL: url}).Cancel(t.Context(), message.Ref{})
		require.Equal(t, refused, IsErrRefused(err), "%d bytes", size)
		require.Equal(t, !refused, IsErrResponseCut(err), "%d bytes", size)
		require.Less(t, len(err.Error()), 16<<10)
	}
}
