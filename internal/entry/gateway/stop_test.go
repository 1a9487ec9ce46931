package gateway

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
)

// captureLog lets the gateway log to the buffer that it returns.
func (f *fixture) captureLog() *bytes.Buffer {
	var lines bytes.Buffer
	f.g.opts.Logger = &log.Logger{Writer: &log.IOWriter{Writer: &lines}}
	return &lines
}

// shutdown begins a planned stop that ends after limit at the latest, and returns a channel for the
// number of requests that were cut.
func (f *fixture) shutdown(limit time.Duration) <-chan int {
	ctx, cancel := context.WithTimeout(f.t.Context(), limit)
	cut := make(chan int, 1)
	go func() {
		defer cancel()
		cut <- f.g.Shutdown(ctx)
	}()
	return cut
}

// TestCutRequestIsLoggedAsFailed guards against a planned stop that cuts requests and logs that their
// callers have left.
func TestCutRequestIsLoggedAsFailed(t *testing.T) {
	withFixture(t, func(f *fixture) {
		lines := f.captureLog()
		forEach(f.heads, func(e *fakeEndpoint) { e.streamEvents(20, 100*time.Millisecond, endStream) })
		done := make(chan callerResponse, 1)
		go func() { done <- f.send("POST", "/stream/", "x") }()
		time.Sleep(550 * time.Millisecond)
		require.Equal(t, 1, f.g.InFlight())
		require.Equal(t, 1, <-f.shutdown(500*time.Millisecond))
		require.Error(t, (<-done).err)
		f.letEndpointsEnd()
		require.Contains(t, lines.String(), `"name":"request_failed","request":"req-1"`)
		require.Contains(t, lines.String(), `"reason":"cut by the end of the planned stop","begun":true`)
		require.NotContains(t, lines.String(), "request_left")
	})
}
