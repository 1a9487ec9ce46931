package gateway

// The tests of this file run in virtual time: withFixture uses testing/synctest.

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// requireNoAnswer lets all endpoints respond with what respond writes and leave the connection open, and requires that the caller gets 502 at
// once, after at most maxRuns runs.
func (f *fixture) requireNoAnswer(path string, maxRuns int, respond func(c net.Conn, r *http.Request)) {
	forEach(append(f.heads, f.plains...), func(e *fakeEndpoint) {
		e.script = func(c net.Conn, r *http.Request, _ string) {
			e.recordRun(r)
			respond(c, r)
			_, _ = io.Copy(io.Discard, c)
		}
	})
	began := time.Now()
	got := f.send(http.MethodPost, path, "", "X-Request-Id", "req-1")
	require.Equal(f.t, http.StatusBadGateway, got.status, got.body)
	require.Less(f.t, time.Since(began), time.Second)
	require.LessOrEqual(f.t, f.runCount(), maxRuns)
	require.Empty(f.t, got.header.Get("X-Signed"))
}

// TestInvalidStatusIsNoAnswer guards against the answer of an endpoint in trouble, with a status such as 000 or 999, that its caller gets as
// complete or waits for until its deadline.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "000 Trouble", "099", "+20", "600", "999"} {
		for path, runs := range map[string]int{"/unsafe/x": 1, "/safe/x": 2, "/stream/x": 2} {
			t.Run(status+path, func(t *testing.T) {
				withFixture(t, func(f *fixture) {
					f.requireNoAnswer(path, runs, func(c net.Conn, r *http.Request) {
						_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok", status, r.Header.Get("X-Request-Id"))
					})
				})
			})
		}
	}
}
