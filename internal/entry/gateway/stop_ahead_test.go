package gateway

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRequestBehindAStreamIsRefusedByAPlannedStop guards against a request that a caller sends, after the notice of a planned stop, on the
// connection of a stream that still comes, and that gets neither a response nor a refusal.
func TestRequestBehindAStreamIsRefusedByAPlannedStop(t *testing.T) {
	var stream []byte
	var status, cut, runs int
	var retryAfter string
	var closes bool
	var streamErr, refusalErr error
	withFixture(t, func(f *fixture) {
		f.g.opts.ShutdownDelay = time.Second
		forEach(f.heads, func(e *fakeEndpoint) { e.streamEvents(20, 100*time.Millisecond, endStream) })
		c, err := f.dial()
		require.NoError(t, err)
		const request = "POST /stream/ HTTP/1.1\r\nHost: h\r\nX-Caller-Key: secret\r\nContent-Length: 1\r\n\r\nx"
		go func() { _, _ = io.WriteString(c, request) }()
		reader := bufio.NewReader(c)
		first, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.False(t, first.Close)
		time.AfterFunc(1500*time.Millisecond, func() { _, _ = io.WriteString(c, request) })
		stopped := f.shutdown(7500 * time.Millisecond)
		stream, streamErr = io.ReadAll(first.Body)
		refusal, err := http.ReadResponse(reader, nil)
		if refusalErr = err; err == nil {
			status, retryAfter, closes = refusal.StatusCode, refusal.Header.Get("Retry-After"), refusal.Close
			_, _ = io.Copy(io.Discard, refusal.Body)
		}
		_ = c.Close()
		cut, runs = <-stopped, f.runCount()
	})
	require.NoError(t, streamErr)
	require.Equal(t, eventTexts(20), string(stream))
	require.NoError(t, refusalErr, "the request behind the stream got no response")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NotEmpty(t, retryAfter)
	require.True(t, closes)
	require.Zero(t, cut)
	require.Equal(t, 1, runs, "only the stream runs")
}
