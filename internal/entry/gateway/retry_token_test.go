package gateway

import (
	"io"
	"net"
	"net/http"
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
