package gateway

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRefusedStandbyLetsOneRetryPass guards against retries that the budget has not been charged for,
// after the silent endpoint has failed while its standby waited for capacity.
func TestRefusedStandbyLetsOneRetryPass(t *testing.T) {
	var received int
	withFixture(t, func(f *fixture) {
		f.g.opts.Retries = RetryLimits{Burst: 1 / burstShare} // A single retry.
		f.announceHead("h2").streamEvents(5, 10*time.Millisecond, endStream)
		f.heads[0].script = func(c net.Conn, r *http.Request, _ string) {
			beginStream(c, r)
			_, _ = io.WriteString(c, chunk(eventText(1)))
			time.Sleep(800 * time.Millisecond)
			_ = c.Close()
		}
		f.heads[1].decline()
		go f.keepFull(2200*time.Millisecond, "h1", "h2")
		synctest.Wait()
		f.send("POST", "/stream/", "x")
		f.letEndpointsEnd()
		received = f.heads[1].receivedCount() + f.heads[2].receivedCount()
	})
	require.LessOrEqual(t, received, 1, "the budget allows one retry")
}

// TestRefusedStandbysKeepTheRetryBudget guards against streams that are not resumed after a crash,
// because silent streams that no endpoint could take over have used up the retry budget before.
func TestRefusedStandbysKeepTheRetryBudget(t *testing.T) {
	const streams = 20
	var got [streams]callerResponse
	withFixture(t, func(f *fixture) {
		f.g.opts.Retries = RetryLimits{Burst: streams / burstShare}
		go f.keepFull(1500*time.Millisecond, "h1")
		synctest.Wait()
		f.heads[0].pauseAfter(3, 8, silence, false)
		f.sendStreams(make([]callerResponse, streams))
		f.heads[0].streamEvents(3, 50*time.Millisecond, func(c net.Conn) {
			f.heads[0].refuses.Store(true)
			_ = c.Close()
		})
		go f.keepFull(100*time.Millisecond, "h1")
		synctest.Wait()
		f.heads[1].streamEvents(8, 50*time.Millisecond, endStream)
		f.sendStreams(got[:])
		f.letEndpointsEnd()
	})
	for _, r := range got {
		require.NoError(t, r.err)
		require.Equal(t, eventTexts(8), r.body)
	}
}

// sendStreams sends a request for a stream for each element of got at the same time, and waits for
// the responses.
func (f *fixture) sendStreams(got []callerResponse) {
	var running sync.WaitGroup
	for i := range got {
		running.Go(func() { got[i] = f.send("POST", "/stream/", "x") })
	}
	running.Wait()
}
