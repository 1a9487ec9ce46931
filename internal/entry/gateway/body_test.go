package gateway

import (
	"bytes"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestBodiesBeyondTheMemoryForThemAreRefused sends more bodies at once than may be held. It guards against callers whose
// bodies make the gateway exceed its memory limit, and against refusals that do not arrive because the body is unread.
func TestBodiesBeyondTheMemoryForThemAreRefused(t *testing.T) {
	const callers, bodyBytes, memory = 20, 800, 5 << 10
	var got [callers]callerResponse
	var most, left int64
	withFixture(t, func(f *fixture) {
		f.g.bodies.limit = memory
		forEach(f.plains, func(e *fakeEndpoint) {
			e.respondWith(200, "done")
			respond := e.script
			e.script = func(c net.Conn, r *http.Request, body string) {
				time.Sleep(200 * time.Millisecond)
				respond(c, r, body)
			}
		})
		var all sync.WaitGroup
		for i := range callers {
			all.Go(func() { got[i] = f.send("POST", "/unsafe/", strings.Repeat("x", bodyBytes)) })
		}
		time.Sleep(100 * time.Millisecond)
		most = f.g.bodies.held.Load()
		all.Wait()
		left = f.g.bodies.held.Load()
		f.letEndpointsEnd()
	})
	served := 0
	for _, r := range got {
		require.NoError(t, r.err)
		if r.status == 200 {
			served++
			continue
		}
		require.Equal(t, 503, r.status, r.body)
		require.Contains(t, r.body, errBodyMemory.Error())
		require.Equal(t, "1", r.header.Get("Retry-After"))
	}
	require.Positive(t, served)
	require.Less(t, served, callers)
	require.LessOrEqual(t, most, int64(memory))
	require.Zero(t, left)
}

// TestBodyIsReadWholeWhateverItsLength reads bodies of lengths around the sizes of the space for them.
func TestBodyIsReadWholeWhateverItsLength(t *testing.T) {
	for _, size := range []int{0, 1, firstBodySize - 1, firstBodySize, firstBodySize + 1, 3 * firstBodySize, 1 << 20} {
		for _, length := range []int64{int64(size), -1} {
			memory := bodyMemory{limit: 4 << 20}
			b := heldBody{memory: &memory}
			sent := bytes.Repeat([]byte("x"), size)
			require.NoError(t, b.readFrom(iotest.HalfReader(bytes.NewReader(sent)), length))
			require.Equal(t, len(sent), len(b.data))
			require.LessOrEqual(t, memory.held.Load(), int64(bodyGrowth*size+firstBodySize))
			b.release()
			require.Zero(t, memory.held.Load())
		}
	}
	var short heldBody
	short.memory = &bodyMemory{limit: 1 << 20}
	require.ErrorIs(t, short.readFrom(iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader("xx"))), 2), iotest.ErrTimeout)
	require.ErrorIs(t, (&heldBody{memory: &bodyMemory{limit: 10}}).readFrom(strings.NewReader("more than ten bytes"), 19), errBodyMemory)
}
