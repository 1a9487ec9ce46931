package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/standin/memnet"
)

// captureLog lets the gateway log to the buffer that it returns.
func (f *fixture) captureLog() *lockedBuffer {
	var lines lockedBuffer
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
// callers have disconnected.
func TestCutRequestIsLoggedAsFailed(t *testing.T) {
	var got callerResponse
	var cut int
	var lines *lockedBuffer
	withFixture(t, func(f *fixture) {
		lines = f.captureLog()
		forEach(f.heads, func(e *fakeEndpoint) { e.streamEvents(20, 100*time.Millisecond, endStream) })
		done := make(chan callerResponse, 1)
		go func() { done <- f.send("POST", "/stream/", "x") }()
		time.Sleep(550 * time.Millisecond)
		cut = <-f.shutdown(500 * time.Millisecond)
		got = <-done
		f.letEndpointsEnd()
	})
	require.Equal(t, 1, cut)
	require.Error(t, got.err)
	require.Contains(t, lines.String(), `"name":"request_failed","request":"req-1"`)
	require.Contains(t, lines.String(), `"reason":"cut by the end of the planned stop","begun":true`)
	require.NotContains(t, lines.String(), "request_left")
}

// closingListener accepts connections on which a request can arrive while the gateway closes the connection.
type closingListener struct {
	net.Listener
	armed chan struct{}
	// stop is called once a request has been read from a connection after armed was closed. The
	// request is delivered when the connection has been closed.
	stop func()
}

func (l *closingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &closingConn{Conn: c, listener: l, closed: make(chan struct{})}, nil
}

type closingConn struct {
	net.Conn
	listener *closingListener
	once     sync.Once
	closed   chan struct{}
}

func (c *closingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	select {
	case <-c.listener.armed:
		if n > 1 {
			go c.listener.stop()
			<-c.closed
		}
	default:
	}
	return n, err
}

func (c *closingConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// TestRequestOnAConnectionBeingClosedIsNotPassedOn guards against a request that has been read from an
// idle connection, which the planned stop closes, and runs at an endpoint although its answer can't
// be sent.
func TestRequestOnAConnectionBeingClosedIsNotPassedOn(t *testing.T) {
	var first, crossing, whole callerResponse
	var runs int
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		forEach(f.heads, func(e *fakeEndpoint) { e.streamEvents(20, 100*time.Millisecond, endStream) })
		forEach(f.plains, func(e *fakeEndpoint) { e.respondWith(200, "x") })
		inner := memnet.NewListener("gateway")
		listener := &closingListener{Listener: inner, armed: make(chan struct{})}
		stopped := make(chan struct{})
		listener.stop = func() {
			defer close(stopped)
			f.g.Shutdown(t.Context())
		}
		go func() { _ = f.g.server.Serve(framingListener{listener}) }()
		transport := &http.Transport{DialContext: inner.Dial}
		f.client = &http.Client{Transport: transport}
		stream := make(chan callerResponse, 1)
		go func() { stream <- f.send("POST", "/stream/", "x") }()
		synctest.Wait()
		first = f.send("POST", "/unsafe/", "x")
		synctest.Wait()
		close(listener.armed)
		crossing = f.send("POST", "/unsafe/", "x")
		<-stopped
		whole, runs = <-stream, f.runCount()
		transport.CloseIdleConnections()
		f.g.upstream.CloseExpired(time.Now().Add(time.Hour))
		synctest.Wait()
	})
	require.Equal(t, 200, first.status)
	require.Error(t, crossing.err)
	require.NoError(t, whole.err)
	require.Equal(t, eventTexts(20), whole.body)
	require.Equal(t, 2, runs, "only the stream and the first request run")
}

// TestRequestAfterTheNoticeIsRefused guards against a request that arrives late in a planned stop, on a
// connection that was opened before, and gets neither a response nor a refusal.
func TestRequestAfterTheNoticeIsRefused(t *testing.T) {
	var whole, late callerResponse
	var cut, runs int
	withFixture(t, func(f *fixture) {
		f.g.opts.ShutdownDelay = time.Second
		forEach(f.heads, func(e *fakeEndpoint) { e.streamEvents(20, 100*time.Millisecond, endStream) })
		forEach(f.plains, func(e *fakeEndpoint) { e.respondWith(200, "x") })
		opened, err := f.dial()
		require.NoError(t, err)
		stream := make(chan callerResponse, 1)
		go func() { stream <- f.send("POST", "/stream/", "x") }()
		synctest.Wait()
		stopped := f.shutdown(7500 * time.Millisecond)
		time.Sleep(1500 * time.Millisecond)
		late = sendOn(opened, "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nX-Caller-Key: secret\r\nContent-Length: 1\r\n\r\nx")
		_ = opened.Close()
		whole, cut, runs = <-stream, <-stopped, f.runCount()
	})
	require.NoError(t, whole.err)
	require.Equal(t, eventTexts(20), whole.body)
	require.Zero(t, cut)
	require.NoError(t, late.err)
	require.Equal(t, http.StatusServiceUnavailable, late.status)
	require.NotEmpty(t, late.header.Get("Retry-After"))
	require.True(t, late.closed)
	require.Equal(t, 1, runs, "only the stream runs")
}

// sendOn sends the text of a request on an open connection and reads the response.
func sendOn(c net.Conn, request string) callerResponse {
	if _, err := io.WriteString(c, request); err != nil {
		return callerResponse{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return callerResponse{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return callerResponse{status: response.StatusCode, header: response.Header, body: string(body), err: err, closed: response.Close}
}

// TestCutRequestIsAnswered guards against a planned stop whose end closes the connections of callers
// to which nothing has been sent, instead of responding that the request may have run.
func TestCutRequestIsAnswered(t *testing.T) {
	var got callerResponse
	var cut int
	var lines *lockedBuffer
	withFixture(t, func(f *fixture) {
		lines = f.captureLog()
		forEach(f.plains, func(e *fakeEndpoint) {
			e.script = func(c net.Conn, r *http.Request, _ string) {
				e.recordRun(r)
				keepConnectionOpen(c)
			}
		})
		done := make(chan callerResponse, 1)
		go func() { done <- f.send("POST", "/unsafe/", "x") }()
		synctest.Wait()
		cut = <-f.shutdown(500 * time.Millisecond)
		got = <-done
		f.letEndpointsEnd()
	})
	require.Equal(t, 1, cut)
	require.NoError(t, got.err)
	require.Equal(t, http.StatusBadGateway, got.status)
	require.True(t, got.closed)
	require.Equal(t, 500*time.Millisecond, got.took)
	require.Contains(t, lines.String(), `"name":"request_failed","request":"req-1"`)
	require.Contains(t, lines.String(), `"status":502,"reason":"cut by the end of the planned stop"`)
}

// TestRequestThatEndsAfterTheNoticeIsRefused guards against a request whose body is complete only after
// the notice, and that is forwarded and cut by the end of the planned stop.
func TestRequestThatEndsAfterTheNoticeIsRefused(t *testing.T) {
	var late callerResponse
	var runs int
	withFixture(t, func(f *fixture) {
		f.g.opts.ShutdownDelay = time.Second
		forEach(f.plains, func(e *fakeEndpoint) {
			e.script = func(c net.Conn, r *http.Request, _ string) {
				e.recordRun(r)
				time.Sleep(time.Second)
				_, _ = io.WriteString(c, responseHeader(r, 200, "Content-Length: 1\r\n")+"x")
			}
		})
		opened, err := f.dial()
		require.NoError(t, err)
		stopped := f.shutdown(2500 * time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		_, err = io.WriteString(opened, "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nX-Caller-Key: secret\r\nContent-Length: 2\r\n\r\nx")
		require.NoError(t, err)
		time.Sleep(1300 * time.Millisecond)
		late = sendOn(opened, "x")
		_ = opened.Close()
		<-stopped
		f.letEndpointsEnd()
		runs = f.runCount()
	})
	require.NoError(t, late.err)
	require.Equal(t, http.StatusServiceUnavailable, late.status)
	require.Zero(t, runs)
}

// failingListener accepts one connection and then fails.
type failingListener struct {
	net.Listener
	accepted bool
	fail     <-chan struct{}
}

func (l *failingListener) Accept() (net.Conn, error) {
	if !l.accepted {
		l.accepted = true
		return l.Listener.Accept()
	}
	<-l.fail
	return nil, errors.New("accept failed")
}

// TestFailedListenerCutsNoRequests guards against a failure of the callers' listener that interrupts
// the requests on the connections that it has accepted.
func TestFailedListenerCutsNoRequests(t *testing.T) {
	var whole callerResponse
	var serveErr error
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		forEach(f.heads, func(e *fakeEndpoint) { e.streamEvents(20, 100*time.Millisecond, endStream) })
		inner, fail := memnet.NewListener("gateway"), make(chan struct{})
		served := make(chan struct{})
		go func() {
			defer close(served)
			serveErr = f.g.serveCallers(t.Context(), &failingListener{Listener: inner, fail: fail})
			_ = f.g.server.Close()
		}()
		transport := &http.Transport{DialContext: inner.Dial}
		f.client = &http.Client{Transport: transport}
		stream := make(chan callerResponse, 1)
		go func() { stream <- f.send("POST", "/stream/", "x") }()
		time.Sleep(500 * time.Millisecond)
		close(fail)
		<-served
		whole = <-stream
		f.letEndpointsEnd()
		transport.CloseIdleConnections()
		f.g.upstream.CloseExpired(time.Now().Add(time.Hour))
		synctest.Wait()
	})
	require.ErrorContains(t, serveErr, "accept failed")
	require.NoError(t, whole.err)
	require.Equal(t, eventTexts(20), whole.body)
}
