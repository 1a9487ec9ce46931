package gateway

import (
	"bytes"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/entry/dialect"
	"github.com/egretreach/egretreach/internal/link/message"
)

// lockedBuffer is a log destination for several requests at once, which may be read while the gateway writes.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// String returns what was written since the last take.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// take returns what was written since the last call.
func (b *lockedBuffer) take() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	text := b.buf.String()
	b.buf.Reset()
	return text
}

// TestLastLineNamesTheConfiguration changes the configuration before and during a request. The last
// line must name the version by which the request was served, the version in force at the end and its
// age. Without them a request that fails during a change can't be distinguished from others.
func TestLastLineNamesTheConfiguration(t *testing.T) {
	withFixture(t, func(f *fixture) {
		var logged lockedBuffer
		f.g.opts.Logger = &log.Logger{Writer: &log.IOWriter{Writer: &logged}}
		forEach(f.plains, func(e *fakeEndpoint) { e.respondWith(http.StatusOK, "whole") })
		f.g.applyUpdate(&message.Picture{Version: 5, Document: []byte("five5")})
		time.Sleep(250 * time.Millisecond)
		logged.take()
		require.Equal(t, http.StatusOK, f.send(http.MethodPost, "/safe/x", "").status)
		synctest.Wait()
		line := logged.take()
		require.Contains(t, line, `"revision":5,"revision_age":250,`)
		require.NotContains(t, line, "revision_now")

		f.heads[0].streamEvents(3, 100*time.Millisecond, endStream)
		f.heads[1].streamEvents(3, 100*time.Millisecond, endStream)
		time.AfterFunc(200*time.Millisecond, func() {
			f.g.applyUpdate(&message.Picture{Version: 6, Document: []byte("sixsix")})
		})
		require.Equal(t, http.StatusOK, f.send(http.MethodPost, "/stream/x", "").status)
		synctest.Wait()
		require.Contains(t, logged.take(), `"revision":5,"revision_age":100,"revision_now":6,`)
	})
}

// TestLastLineNamesTheLoadThatDecided guards against placements that the log doesn't explain: the line has the load that was assumed at the
// endpoint, its source and its age.
func TestLastLineNamesTheLoadThatDecided(t *testing.T) {
	withFixture(t, func(f *fixture) {
		var logged lockedBuffer
		f.g.opts.Logger = &log.Logger{Writer: &log.IOWriter{Writer: &logged}}
		f.g.balancer.Gateways = 3
		forEach(f.heads, func(e *fakeEndpoint) { e.streamEvents(1, time.Millisecond, endStream) })
		require.Equal(t, http.StatusOK, f.send(http.MethodPost, "/stream/x", "").status)
		synctest.Wait()
		require.Contains(t, logged.take(), `"load":0,"load_from":"own","load_age":0,`)

		for _, head := range []string{"h0", "h1"} {
			f.g.balancer.SetLoad(head, dialect.Load{Running: 7, Waiting: 2, Slots: 48}, time.Now())
		}
		time.Sleep(40 * time.Millisecond)
		require.Equal(t, http.StatusOK, f.send(http.MethodPost, "/stream/x", "").status)
		synctest.Wait()
		require.Contains(t, logged.take(), `"load":9,"load_from":"endpoint","load_age":40,`)
	})
}
