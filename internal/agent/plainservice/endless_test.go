package plainservice

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/link/message"
)

// serveEndless serves connections on which it begins an answer with a text and then sends another again and again until
// the caller closes. It returns the URL.
func serveEndless(t *testing.T, beginning, text string) string {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	data := []byte(text)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil {
					_, err = io.WriteString(c, beginning)
				}
				for err == nil {
					_, err = c.Write(data)
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// slowSink takes part of an answer and then no more until its context ends.
type slowSink struct {
	ctx   context.Context
	taken int
	stuck func()
}

// maxTaken is how much of an answer a slowSink takes, in bytes.
const maxTaken = 4 << 20

func (*slowSink) WriteHeader(int, http.Header) error { return nil }

func (s *slowSink) WriteData(data []byte) error {
	if s.taken += len(data); s.taken < maxTaken {
		return nil
	}
	s.stuck()
	<-s.ctx.Done()
	return s.ctx.Err()
}

// TestEndlessAnswersOfServicesFillNoMemory guards against a service that sends bytes without end, in a head or in a body
// whose receiver is slow, until the agent has no memory left.
func TestEndlessAnswersOfServicesFillNoMemory(t *testing.T) {
	const (
		calls = 64
		// heldByCall bounds what a call holds, in bytes.
		heldByCall = 128 << 10
		ok         = "HTTP/1.1 200 OK\r\n"
		chunked    = ok + "Transfer-Encoding: chunked\r\n\r\n"
	)
	text := strings.Repeat("x", 16<<10)
	for name, service := range map[string]struct{ beginning, text string }{
		"status line":   {"HTTP/1.1 200 ", text},
		"header line":   {ok + "X-Long: ", text},
		"header fields": {ok, strings.Repeat("a: b\r\n", 1000)},
		"1xx":           {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", 100)},
		"no answer":     {"", text},
		"body":          {ok + "\r\n", text},
		"long body":     {ok + "Content-Length: 1000000000000\r\n\r\n", text},
		"chunks":        {chunked, "4000\r\n" + text + "\r\n"},
		"chunk line":    {chunked, text},
		"extensions":    {chunked, "1;" + strings.Repeat("e", 1000) + "\r\nx\r\n"},
		"trailer":       {chunked + "2\r\nok\r\n0\r\n", "X-Long: " + text + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			client := New(Options{URL: serveEndless(t, service.beginning, service.text)})
			before := heapInUse()
			var settled, ended sync.WaitGroup
			for range calls {
				settled.Add(1)
				var once sync.Once
				settle := func() { once.Do(settled.Done) }
				ended.Go(func() {
					defer settle()
					d := &message.Dispatch{Call: &message.Call{Method: http.MethodGet, Path: "/a"}}
					assert.Error(t, client.Call(ctx, d, &slowSink{ctx: ctx, stuck: settle}))
				})
			}
			settled.Wait()
			require.LessOrEqual(t, heapInUse()-before, int64(calls*heldByCall))
			cancel()
			ended.Wait()
		})
	}
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
