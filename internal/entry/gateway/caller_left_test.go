package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/process/clock"
)

// TestRequestWhoseCallerLeftIsNotSent guards against requests that reach endpoints although their callers closed the connection
// before the gateway, whose scheduling was delayed, accepted it.
func TestRequestWhoseCallerLeftIsNotSent(t *testing.T) {
	const callers = 200
	f := newFixture(t)
	defer f.answerQuestions()()
	forEach(f.plains, func(e *fakeEndpoint) { e.respondWith(200, "answer") })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	for n := range callers {
		c, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		_, err = fmt.Fprintf(c, "POST /safe/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: r%d\r\nX-Caller-Key: secret\r\nContent-Length: 4\r\n\r\nbody", n)
		require.NoError(t, err)
		require.NoError(t, c.Close())
	}
	served := make(chan error, 1)
	go func() { served <- f.g.server.Serve(framingListener{listener}) }()

	// The last caller waits for its answer, so the requests before it have been accepted.
	c, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	_, err = io.WriteString(c, "GET /safe/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: last\r\nX-Caller-Key: secret\r\nConnection: close\r\n\r\n")
	require.NoError(t, err)
	answer, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Contains(t, string(answer), "200 OK")
	<-f.g.server.WhenIdle()
	require.Equal(t, 1, f.runCount(), "runs of requests whose callers had left, and one")

	require.NoError(t, f.g.server.Close())
	require.NoError(t, <-served)
	f.g.upstream.CloseExpired(clock.Now().Add(time.Hour))
}

// TestCallerThatSendsNoMoreGetsNoFalseSuccess guards against an empty 200 for a caller that has closed only its sending side: a request
// whose caller counts as disconnected is not run.
func TestCallerThatSendsNoMoreGetsNoFalseSuccess(t *testing.T) {
	for _, path := range []string{"/safe/", "/unsafe/", "/stream/"} {
		f := newFixture(t)
		stopAnswers := f.answerQuestions()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		c, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nX-Caller-Key: secret\r\nX-Model: m\r\nContent-Length: 4\r\n\r\nbody", path)
		require.NoError(t, err)
		require.NoError(t, c.(*net.TCPConn).CloseWrite())
		served := make(chan error, 1)
		go func() { served <- f.g.server.Serve(framingListener{listener}) }()
		answer, _ := io.ReadAll(c) // The connection may end with a reset.
		require.Empty(t, string(answer), path)
		require.NoError(t, c.Close())
		require.NoError(t, f.g.server.Close())
		require.NoError(t, <-served)
		stopAnswers()
		require.Zero(t, f.runCount(), path)
	}
}

// lateListener accepts connections whose close is not detected by reading: once a request has been read, further reads wait until
// late is closed, as the goroutine of net/http does in a process whose scheduling is delayed.
type lateListener struct {
	net.Listener
	late chan struct{}
}

func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{TCPConn: c.(*net.TCPConn), late: l.late}, nil
}

type lateConn struct {
	*net.TCPConn
	late chan struct{}
	read atomic.Bool
}

func (c *lateConn) Read(b []byte) (int, error) {
	if c.read.Swap(true) {
		<-c.late
	}
	return c.TCPConn.Read(b)
}

// TestDepartureIsNoticedByALateProcess guards against endpoints that keep processing requests of callers that disconnected after the
// requests were sent, while the gateway's scheduling is delayed: the attempt ends before net/http has detected the end of the connection.
// Neither request has a standby, whose send would check the connection as well: an unsafe request never has one, and a stream has none
// before its first event.
func TestDepartureIsNoticedByALateProcess(t *testing.T) {
	for _, path := range []string{"/unsafe/", "/stream/"} {
		f := newFixture(t)
		stopAnswers := f.answerQuestions()
		begun, ended := make(chan struct{}), make(chan struct{})
		markBegun, markEnded := sync.OnceFunc(func() { close(begun) }), sync.OnceFunc(func() { close(ended) })
		script := func(c net.Conn, _ *http.Request, _ string) {
			markBegun()
			_, _ = io.Copy(io.Discard, c) // Ends when the gateway closes the connection.
			markEnded()
		}
		forEach(append(f.plains, f.heads...), func(e *fakeEndpoint) { e.script = script })
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		late := make(chan struct{})
		served := make(chan error, 1)
		go func() { served <- f.g.server.Serve(framingListener{lateListener{listener, late}}) }()
		c, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nX-Caller-Key: secret\r\nX-Model: m\r\nContent-Length: 4\r\n\r\nbody", path)
		require.NoError(t, err)
		<-begun
		require.NoError(t, c.Close())
		<-ended
		<-f.g.server.WhenIdle()
		require.EqualValues(t, 1, f.g.metrics.left.Count(), "requests whose callers left: %s", path)
		require.Zero(t, f.g.metrics.failed.Count(), path)
		close(late)
		require.NoError(t, f.g.server.Close())
		require.NoError(t, <-served)
		stopAnswers()
	}
}
