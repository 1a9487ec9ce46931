package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/entry/overload"
)

// beginAndStaySilent lets the endpoint begin to run a request, possibly send the header of its response, and send nothing else.
func (e *fakeEndpoint) beginAndStaySilent(header bool) {
	e.script = func(c net.Conn, r *http.Request, _ string) {
		e.recordRun(r)
		if header {
			beginStream(c, r)
		}
		keepConnectionOpen(c)
	}
}

// TestStreamWithoutAnEventIsTriedElsewhere guards against a stream that waits for its first event until its deadline, because the
// gateway has no other stream at the endpoint, by which it could detect the silence. It runs at most twice, as its route allows.
func TestStreamWithoutAnEventIsTriedElsewhere(t *testing.T) {
	for _, header := range []bool{false, true} {
		var got callerResponse
		runs := 0
		withFixture(t, func(f *fixture) {
			f.heads[0].beginAndStaySilent(header)
			f.heads[1].streamEvents(3, 50*time.Millisecond, endStream)
			got = f.send("POST", "/stream/", "x")
			runs = f.runCount()
		})
		require.NoError(t, got.err)
		require.Equal(t, eventTexts(3), got.body)
		require.Less(t, got.took, overload.Patience(400*time.Millisecond, 0), "header sent %t; then the caller gives up", header)
		require.Equal(t, 2, runs)
	}
}

// TestStreamWithoutAnEventStaysInTheRetryBudget guards against attempts elsewhere that the retry budget doesn't allow.
func TestStreamWithoutAnEventStaysInTheRetryBudget(t *testing.T) {
	var got callerResponse
	runs := 0
	withFixture(t, func(f *fixture) {
		f.g.opts.Retries = RetryLimits{}
		f.heads[0].pauseAfter(0, 3, silence, false)
		f.heads[1].streamEvents(3, 50*time.Millisecond, endStream)
		got = f.send("POST", "/stream/", "x")
		f.letEndpointsEnd()
		runs = f.runCount()
	})
	require.NoError(t, got.err)
	require.Equal(t, eventTexts(3), got.body)
	require.Equal(t, 1, runs)
}
