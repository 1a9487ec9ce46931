package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/process/httpserver"
	"github.com/egretreach/egretreach/internal/standin/memnet"
)

// oddRequest returns a request whose header has size bytes, in as many lines as possible.
func oddRequest(size int, more string) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	b.WriteString("POST /unsafe/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: odd\r\nX-Caller-Key: secret\r\n" + more)
	for i := 0; b.Len() <= size-len("a:\n\r\n"); i++ {
		b.WriteString(string(letters[i%len(letters)]) + ":\n")
	}
	return b.String() + "\r\n"
}

// statusOf reads a response.
func statusOf(c net.Conn) (status int, retryAfter string) {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header.Get("Retry-After")
}

// TestHeaderOfTheAllowedSizeIsServedWhateverItsLines guards against a legal header that is denied because its lines are shorter than those
// of most callers.
func TestHeaderOfTheAllowedSizeIsServedWhateverItsLines(t *testing.T) {
	var status int
	withFixture(t, func(f *fixture) {
		forEach(f.plains, func(e *fakeEndpoint) { e.respondWith(200, "done") })
		c, err := f.dial()
		require.NoError(t, err)
		request := oddRequest(4<<10, "Content-Length: 0\r\n")
		require.Greater(t, len(request), 4<<10-3)
		go func() { _, _ = io.WriteString(c, request) }()
		status, _ = statusOf(c)
		_ = c.Close()
		f.letEndpointsEnd()
	})
	require.Equal(t, 200, status)
}

// TestWithheldBodiesAreRefusedAsNotRun guards against callers that block others with many legal headers whose bodies are not sent, and against
// refusals sent to such callers for requests that run.
func TestWithheldBodiesAreRefusedAsNotRun(t *testing.T) {
	const callers = 100
	refused, runs := 0, 0
	var ordinary callerResponse
	withFixture(t, func(f *fixture) {
		forEach(f.plains, func(e *fakeEndpoint) { e.respondWith(200, "done") })
		answers := make(chan string, callers)
		var conns []net.Conn
		for range callers {
			c, err := f.dial()
			require.NoError(t, err)
			conns = append(conns, c)
			go func() { _, _ = io.WriteString(c, oddRequest(4<<10, "Content-Length: 9\r\n")) }()
			go func() {
				status, retryAfter := statusOf(c)
				answers <- fmt.Sprint(status, " ", retryAfter)
			}()
		}
		synctest.Wait()
		ordinary = f.send("POST", "/unsafe/", "body")
		time.Sleep(time.Second)
		runs = f.runCount()
		refused = len(answers)
		for range refused {
			require.Equal(t, "503 1", <-answers)
		}
		for _, c := range conns {
			_ = c.Close()
		}
		f.letEndpointsEnd()
	})
	require.Equal(t, 200, ordinary.status, ordinary.body)
	require.Equal(t, 1, runs, "only the ordinary request runs")
	require.Positive(t, refused)
	require.Less(t, refused, callers)
}

// TestRequestClosedForMemoryIsLoggedAsFailed guards against a log that reports that callers have left, although the gateway has
// closed their connections for the memory that they hold.
func TestRequestClosedForMemoryIsLoggedAsFailed(t *testing.T) {
	var lines *lockedBuffer
	withFixture(t, func(f *fixture) {
		lines = f.captureLog()
		forEach(f.heads, func(e *fakeEndpoint) { e.streamEvents(20, 100*time.Millisecond, endStream) })
		f.g.opts.Callers = httpserver.NewBudget(httpserver.BudgetOptions{Memory: 560 << 10})
		server, listener := f.g.newServer(nil), memnet.NewListener("limited")
		go func() { _ = server.Serve(framingListener{listener}) }()
		for _, size := range []int{4 << 10, 3 << 10} {
			c, err := listener.Dial(f.t.Context(), "", "")
			require.NoError(t, err)
			request := strings.Replace(oddRequest(size, "Content-Length: 0\r\n"), "/unsafe/", "/stream/", 1)
			go func() { _, _ = io.WriteString(c, request) }()
			go func() { _, _ = io.Copy(io.Discard, c) }()
			synctest.Wait()
		}
		time.Sleep(3 * time.Second)
		_ = server.Close()
		f.letEndpointsEnd()
	})
	require.Contains(t, lines.String(), `"name":"request_failed","request":"odd"`)
	require.Contains(t, lines.String(), `"reason":"closed for the memory that callers hold"`)
	require.NotContains(t, lines.String(), "request_left")
}
