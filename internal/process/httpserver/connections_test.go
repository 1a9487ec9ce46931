package httpserver

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/standin/memnet"
)

// TestKeptConnectionsAreBounded guards against idle connections that use up the descriptors of the process, so that it accepts callers
// seconds late.
func TestKeptConnectionsAreBounded(t *testing.T) {
	const maxKept, callers = 3, 10
	synctest.Test(t, func(t *testing.T) {
		s := New(&http.Server{Handler: handle(200, "served", 0)}, handle(503, "refused", 0))
		s.maxKept = maxKept
		listener := memnet.NewListener("h")
		go func() { _ = s.Serve(listener) }()
		var conns []net.Conn
		for range callers {
			c, err := listener.Dial(t.Context(), "", "")
			require.NoError(t, err)
			answer, err := get(c)
			require.NoError(t, err)
			require.Equal(t, "200 served", answer)
			synctest.Wait()
			conns = append(conns, c)
		}
		require.Equal(t, maxKept, s.conns.openCount())

		require.NoError(t, conns[0].Close())
		synctest.Wait()
		c, err := listener.Dial(t.Context(), "", "")
		require.NoError(t, err)
		_, err = get(c)
		require.NoError(t, err)
		_, err = get(c)
		require.NoError(t, err, "there is room to keep this one")
		require.NoError(t, s.Close())
		time.Sleep(time.Second)
	})
}

// TestConnectionIsBusyUntilItIsClosedAtTheEnd guards against a planned stop that takes the last response for received, since net/http calls
// its connection idle before it closes it.
func TestConnectionIsBusyUntilItIsClosedAtTheEnd(t *testing.T) {
	var b connections
	c := &net.TCPConn{}
	b.changed(c, http.StateNew)
	b.changed(c, http.StateActive)
	b.end(idleExpiry)
	b.changed(c, http.StateIdle)
	require.Equal(t, 1, b.count.Count())
	b.changed(c, http.StateClosed)
	<-b.whenIdle()
	require.Zero(t, b.openCount())
}
