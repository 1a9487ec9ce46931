package httpserver

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/standin/memnet"
)

// gatedListener accepts connections once its gate is open, as a process that is busy does.
type gatedListener struct {
	*net.TCPListener
	gate chan struct{}
}

func (l *gatedListener) Accept() (net.Conn, error) {
	<-l.gate
	return l.TCPListener.Accept()
}

// TestStopRefusesRequestsOfTheAcceptQueue guards against a planned stop that resets connections which callers have opened, and on which they
// have sent requests, before the process has accepted them.
func TestStopRefusesRequestsOfTheAcceptQueue(t *testing.T) {
	inner := listenTCP(t).Listener.(*net.TCPListener)
	l := &gatedListener{inner, make(chan struct{})}
	s := New(&http.Server{Handler: handle(200, "served", 0)}, handle(503, "refused", 0))
	go func() { _ = s.Serve(l) }()
	require.Eventually(t, func() bool { return s.listener.Load() != nil }, time.Second, time.Millisecond)
	var callers []net.Conn
	for range 10 {
		c := dialSlow(t, l)
		send(t, c, simpleRequest)
		callers = append(callers, c)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(t.Context()) }()
	require.Eventually(t, s.Stopping, time.Second, time.Millisecond)
	require.NoError(t, inner.SetDeadline(longAgo), "the process comes to the queue late")
	close(l.gate)
	for _, c := range callers {
		answer, err := read(c)
		require.NoError(t, err)
		require.Equal(t, "503 refused", answer)
	}
	require.NoError(t, <-stopped)
}

// duringStop serves on connections in memory, calls before with one of them, begins a planned stop and calls during. The stop must end by
// itself.
func duringStop(t *testing.T, before, during func(c net.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		s := New(&http.Server{Handler: handle(200, "served", 0)}, handle(503, "refused", 0))
		l := memnet.NewListener("h")
		go func() { _ = s.Serve(l) }()
		c, err := l.Dial(t.Context(), "", "")
		require.NoError(t, err)
		before(c)
		synctest.Wait()
		stopped := make(chan error, 1)
		go func() { stopped <- s.Stop(t.Context()) }()
		synctest.Wait()
		during(c)
		require.NoError(t, <-stopped)
	})
}

// TestStopAnswersTheFirstRequestOfAConnection guards against a planned stop that closes connections which have not carried a request yet,
// while the first one arrives.
func TestStopAnswersTheFirstRequestOfAConnection(t *testing.T) {
	duringStop(t, func(net.Conn) {}, func(c net.Conn) {
		answer, err := get(c)
		require.NoError(t, err)
		require.Equal(t, "503 refused", answer)
	})
}

// TestStopAnswersARequestWhoseHeaderComesInParts guards against a planned stop that closes a connection while a header arrives, of which
// a part was lost on its way and is sent again.
func TestStopAnswersARequestWhoseHeaderComesInParts(t *testing.T) {
	for name, before := range map[string]func(c net.Conn){
		"first request": func(net.Conn) {},
		"later request": func(c net.Conn) { _, _ = get(c) },
	} {
		t.Run(name, func(t *testing.T) {
			duringStop(t, before, func(c net.Conn) {
				_, err := io.WriteString(c, simpleRequest[:10])
				require.NoError(t, err)
				time.Sleep(headerExpiry / 2)
				go func() { _, _ = io.WriteString(c, simpleRequest[10:]) }()
				answer, err := read(c)
				require.NoError(t, err)
				require.Equal(t, "503 refused", answer)
			})
		})
	}
}

// TestStopRefusesAllRequestsAlike guards against a caller that keeps a planned stop going by requests which net/http answers by itself.
func TestStopRefusesAllRequestsAlike(t *testing.T) {
	duringStop(t, func(net.Conn) {}, func(c net.Conn) {
		go func() { _, _ = io.WriteString(c, "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n") }()
		answer, err := read(c)
		require.NoError(t, err)
		require.Equal(t, "503 refused", answer)
	})
}

// admitted returns a connection of a caller that a server has accepted.
func admitted(t *testing.T) (s *Server, caller *net.TCPConn, c *limitedConn) {
	l := listenTCP(t)
	s = New(&http.Server{}, handle(503, "refused", 0))
	t.Cleanup(func() { _ = s.Close() })
	caller = dialSlow(t, l)
	inner, err := l.Accept()
	require.NoError(t, err)
	return s, caller, s.admit(inner)
}

// sendAndAwait sends a request and waits until it has arrived.
func sendAndAwait(t *testing.T, caller net.Conn, c *limitedConn) {
	send(t, caller, simpleRequest)
	require.Eventually(t, func() bool {
		q, ok := queuesOf(c.Conn)
		return ok && q.unread == len(simpleRequest)
	}, time.Second, time.Millisecond)
}

// TestConnectionWithUnreadDataIsNotClosedByForce guards against a planned stop of a process that stood still, which closes idle connections
// before it reads what has arrived on them.
func TestConnectionWithUnreadDataIsNotClosedByForce(t *testing.T) {
	s, caller, c := admitted(t)
	s.conns.changed(c, http.StateNew)
	s.conns.changed(c, http.StateIdle)
	s.conns.end(idleExpiry)
	sendAndAwait(t, caller, c)
	s.conns.closeIdle(c)
	require.False(t, c.closed.Load())
	buffer := make([]byte, len(simpleRequest))
	_, err := c.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, simpleRequest, string(buffer))
	s.conns.changed(c, http.StateActive)
}

// TestRequestThatArrivesBeforeTheEndOfTheIdleTimeIsRead guards against a process that stood still, and closes kept connections for their idle time
// although the next request has arrived on them.
func TestRequestThatArrivesBeforeTheEndOfTheIdleTimeIsRead(t *testing.T) {
	_, caller, c := admitted(t)
	sendAndAwait(t, caller, c)
	require.NoError(t, c.SetReadDeadline(longAgo))
	buffer := make([]byte, len(simpleRequest))
	_, err := c.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, simpleRequest, string(buffer))
}

// TestRequestWithoutAnIDHasNotThatOfTheOneBefore guards against a log line that names another request of the connection.
func TestRequestWithoutAnIDHasNotThatOfTheOneBefore(t *testing.T) {
	_, _, c := admitted(t)
	c.request = "request-1"
	c.headerRead(false)
	require.Empty(t, c.lastRequest())
}
