package gateway

// The tests of this file run in virtual time: withFixture uses testing/synctest.

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// receivedCount returns how many requests have reached the endpoint.
func (e *fakeEndpoint) receivedCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.received)
}

// TestLongResponseOutlastsASilentSecond guards against a response that is longer than the gateway
// buffers and is interrupted, because its endpoint is silent for a second midway and another
// endpoint has answered meanwhile.
func TestLongResponseOutlastsASilentSecond(t *testing.T) {
	const size = maxBufferedResponse + 1000
	var got callerResponse
	withFixture(t, func(f *fixture) {
		f.plains[0].script = func(c net.Conn, r *http.Request, _ string) {
			body := strings.Repeat("a", size)
			_, _ = io.WriteString(c, responseHeader(r, 200, fmt.Sprintf("Content-Length: %d\r\n", size))+body[:size-10])
			time.Sleep(silence)
			_, _ = io.WriteString(c, body[size-10:])
		}
		f.plains[1].respondWith(200, "other")
		got = f.send("GET", "/safe/", "")
		f.letEndpointsEnd()
	})
	require.NoError(t, got.err)
	require.Len(t, got.body, size)
}

// TestSlowResponseIsNotRunElsewhere guards against a safe request that is sent to another endpoint
// although its endpoint has begun its response in time and sends the rest steadily.
func TestSlowResponseIsNotRunElsewhere(t *testing.T) {
	var got callerResponse
	var others int
	withFixture(t, func(f *fixture) {
		f.plains[0].script = func(c net.Conn, r *http.Request, _ string) {
			_, _ = io.WriteString(c, responseHeader(r, 200, "Content-Length: 10\r\n"))
			for range 10 {
				time.Sleep(60 * time.Millisecond)
				_, _ = io.WriteString(c, "a")
			}
		}
		f.plains[1].respondWith(200, "other")
		got = f.send("GET", "/safe/", "")
		others = f.plains[1].receivedCount()
		f.letEndpointsEnd()
	})
	require.Equal(t, "aaaaaaaaaa", got.body)
	require.Zero(t, others)
}
