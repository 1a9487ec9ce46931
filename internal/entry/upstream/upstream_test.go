package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/process/httphead"
	"github.com/egretreach/egretreach/internal/process/httpstatus"
)

// script serves one connection of an endpoint.
type script func(t *testing.T, c net.Conn, r *bufio.Reader)

// serve listens on loopback and runs the next script for each accepted connection, one after
// the other. It returns the address.
func serve(t *testing.T, scripts ...script) string {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for _, s := range scripts {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s(t, c, bufio.NewReader(c))
			_ = c.Close()
		}
	}()
	return listener.Addr().String()
}

// read reads one request with its body, or returns nil if the connection ends.
func read(t *testing.T, r *bufio.Reader) *http.Request {
	request, err := http.ReadRequest(r)
	if err != nil {
		return nil
	}
	body, err := io.ReadAll(request.Body)
	require.NoError(t, err)
	request.Body = io.NopCloser(strings.NewReader(string(body)))
	return request
}

// respond returns a script that responds to each request with the next of the given texts.
func respond(responses ...string) script {
	return func(t *testing.T, c net.Conn, r *bufio.Reader) {
		for _, a := range responses {
			if read(t, r) == nil {
				return
			}
			_, _ = io.WriteString(c, a)
		}
	}
}

var waitForever = WaitPolicy{CheckInterval: 10 * time.Millisecond, KeepWaiting: func() bool { return true }}

func getRequest() *Request { return &Request{Method: http.MethodGet, Target: "/a?b=%2f", Host: "h"} }

func TestConnectionIsReusedAfterACompleteResponse(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nok"
	address := serve(t, respond(response, response))
	var p Pool
	for range 2 {
		x, err := p.Do(t.Context(), address, getRequest(), waitForever)
		require.NoError(t, err)
		body, err := io.ReadAll(x)
		require.NoError(t, err)
		require.Equal(t, "ok", string(body))
		x.Close()
	}
	require.Equal(t, Stats{Dialed: 1, Reused: 1}, p.Stats())
}

func TestRequestIsSentUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	address := serve(t, func(t *testing.T, c net.Conn, r *bufio.Reader) {
		got <- read(t, r)
		_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
	})
	var p Pool
	x, err := p.Do(t.Context(), address, &Request{
		Method: http.MethodPost, Target: "/a//b/../c?x=%zz", Host: "h.example", Header: http.Header{"X-One": {"1", "2"}},
		Body: []byte("body"), HasBody: true,
	}, waitForever)
	require.NoError(t, err)
	defer x.Close()
	r := <-got
	require.Equal(t, "/a//b/../c?x=%zz", r.RequestURI)
	require.Equal(t, "h.example", r.Host)
	require.Equal(t, []string{"1", "2"}, r.Header["X-One"])
	require.Equal(t, int64(4), r.ContentLength)
}

// TestConnectionWithUnexpectedBytesIsNotReused sends bytes after a complete response, at once or
// while the connection is idle. They must not be mistaken for the response to the next request.
func TestConnectionWithUnexpectedBytesIsNotReused(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nok"
	late := make(chan struct{})
	for name, first := range map[string]script{
		"at once": respond(whole + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra"),
		"late": func(t *testing.T, c net.Conn, r *bufio.Reader) {
			respond(whole)(t, c, r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
			close(late)
			_, _ = r.ReadByte()
		},
	} {
		t.Run(name, func(t *testing.T) {
			address := serve(t, first, respond(whole))
			var p Pool
			x, err := p.Do(t.Context(), address, getRequest(), waitForever)
			require.NoError(t, err)
			_, err = io.ReadAll(x)
			require.NoError(t, err)
			x.Close()
			if name == "late" {
				<-late
			}
			x, err = p.Do(t.Context(), address, getRequest(), waitForever)
			require.NoError(t, err)
			body, err := io.ReadAll(x)
			require.NoError(t, err)
			require.Equal(t, "ok", string(body))
			x.Close()
			require.Equal(t, uint64(2), p.Stats().Dialed)
		})
	}
}

func TestTruncatedResponseIsInterrupted(t *testing.T) {
	for name, response := range map[string]string{
		"length":     "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"chunk":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
		"last chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var p Pool
			x, err := p.Do(t.Context(), serve(t, respond(response)), getRequest(), waitForever)
			require.NoError(t, err)
			_, err = io.ReadAll(x)
			require.True(t, IsErrInterrupted(err), "%v", err)
			x.Close()
		})
	}
}

func TestResponseWithoutLengthEndsWithItsConnection(t *testing.T) {
	var p Pool
	x, err := p.Do(t.Context(), serve(t, respond("HTTP/1.1 200 OK\r\n\r\nall of it")), getRequest(), waitForever)
	require.NoError(t, err)
	body, err := io.ReadAll(x)
	require.NoError(t, err)
	require.Equal(t, "all of it", string(body))
	x.Close()
}

func TestResponseWithoutLengthIsInterruptedByAReset(t *testing.T) {
	reset := func(t *testing.T, c net.Conn, r *bufio.Reader) {
		read(t, r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
		tcp, ok := c.(*net.TCPConn)
		require.True(t, ok)
		_ = tcp.SetLinger(0)
	}
	var p Pool
	x, err := p.Do(t.Context(), serve(t, reset), getRequest(), waitForever)
	if err == nil {
		_, err = io.ReadAll(x)
		x.Close()
	}
	require.True(t, IsErrInterrupted(err), "%v", err)
}

func TestInvalidResponseIsInterrupted(t *testing.T) {
	for _, response := range []string{"", "nonsense\r\n\r\n", "HTTP/1.1 200", "HTTP/1.1 101 Switching Protocols\r\n\r\n"} {
		var p Pool
		_, err := p.Do(t.Context(), serve(t, respond(response)), getRequest(), waitForever)
		require.True(t, IsErrInterrupted(err), "%q: %v", response, err)
		require.False(t, IsErrNotSent(err))
	}
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	var p Pool
	_, err = p.Do(t.Context(), address, getRequest(), waitForever)
	require.True(t, IsErrNotSent(err))
	require.True(t, IsConnectionRefused(err))
}

func TestWaitIsAbandonedWhenKeepWaitingReturnsFalse(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	var p Pool
	calls := 0
	_, err := p.Do(t.Context(), serve(t, func(t *testing.T, _ net.Conn, r *bufio.Reader) {
		read(t, r)
		<-release
	}), getRequest(), WaitPolicy{CheckInterval: time.Millisecond, KeepWaiting: func() bool { calls++; return calls < 3 }})
	require.True(t, IsErrAbandoned(err))
	require.Equal(t, 3, calls)
}

// lateConn is a connection whose first read returns its timeout late, as in a process that was
// paused while the response arrived.
type lateConn struct {
	net.Conn
	delay    time.Duration
	response io.Reader
	deadline time.Time
	woken    bool
}

func (c *lateConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

func (c *lateConn) Read(b []byte) (int, error) {
	if !c.woken {
		c.woken = true
		time.Sleep(time.Until(c.deadline) + c.delay)
		return 0, os.ErrDeadlineExceeded
	}
	return c.response.Read(b)
}

// TestOwnPauseIsNotTakenForSilence guards against a gateway that is paused briefly on a busy machine
// and then cancels all its streams, although their data has arrived.
func TestOwnPauseIsNotTakenForSilence(t *testing.T) {
	for delay, asked := range map[time.Duration]int{time.Millisecond: 1, 300 * time.Millisecond: 0} {
		synctest.Test(t, func(t *testing.T) {
			client, server := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, server) }()
			p := Pool{Dial: func(context.Context, string) (net.Conn, error) {
				return &lateConn{Conn: client, delay: delay, response: strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")}, nil
			}}
			calls := 0
			x, err := p.Do(t.Context(), "a", getRequest(), WaitPolicy{CheckInterval: 50 * time.Millisecond, KeepWaiting: func() bool { calls++; return true }})
			require.NoError(t, err)
			x.abort()
			require.Equal(t, asked, calls, "late by %v", delay)
		})
	}
}

func TestCanceledContextInterruptsTheExchange(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	ctx, cancel := context.WithCancel(t.Context())
	var p Pool
	_, err := p.Do(ctx, serve(t, func(t *testing.T, _ net.Conn, r *bufio.Reader) {
		read(t, r)
		cancel()
		<-release
	}), getRequest(), waitForever)
	require.True(t, IsErrInterrupted(err))
}

// TestConnectionIsNotReusedWhileABodyIsWritten lets an endpoint respond before it has read a
// long body. Another request on the connection would mix with the rest of the body.
func TestConnectionIsNotReusedWhileABodyIsWritten(t *testing.T) {
	const response = "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\nKeep-Alive: timeout=5\r\n\r\n"
	release := make(chan struct{})
	defer close(release)
	early := func(_ *testing.T, c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, response)
		<-release
	}
	address := serve(t, early)
	var p Pool
	x, err := p.Do(t.Context(), address, &Request{
		Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, 32<<20), HasBody: true,
	}, waitForever)
	require.NoError(t, err)
	_, err = io.ReadAll(x)
	require.NoError(t, err)
	x.Close()
	require.Empty(t, p.idle[address])
}

func TestIdleTimeoutIsBelowTheAnnouncedTimeout(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"timeout=5": 4300 * time.Millisecond, "timeout=1": 500 * time.Millisecond, "": defaultIdleTimeout, "timeout=x": defaultIdleTimeout,
	} {
		ours, _ := net.Pipe()
		c := newConn(ours, "a")
		var p Pool
		p.put(c, keepAliveTimeout(http.Header{"Keep-Alive": {header}}))
		require.Equal(t, want, c.idleTimeout, header)
	}
}

// TestInvalidStatusIsInterrupted guards against a response of an endpoint in trouble that is passed on as its answer, or taken for an
// informational one, so that the caller waits until its deadline and what follows is read as another head. The connection stays open.
func TestInvalidStatusIsInterrupted(t *testing.T) {
	for _, status := range []string{"000", "000 Trouble", "001", "099", "+20", "+99", "600", "999"} {
		for _, earlier := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
			var p Pool
			response := earlier + "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\nok"
			address := serve(t, respond(response, ""), respond(response, ""))
			for range 2 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				_, err := p.Do(ctx, address, getRequest(), waitForever)
				require.True(t, IsErrInterrupted(err), "%q: %v", response, err)
				require.True(t, httpstatus.IsErrInvalid(err), "%q: %v", response, err)
				cancel()
			}
		}
	}
}

// TestInvalidFieldNameIsInterrupted guards against a head with a line that is no field and that is left out, or joined to the line before, so
// that the response seems sound. The connection stays open.
func TestInvalidFieldNameIsInterrupted(t *testing.T) {
	for _, line := range []string{
		"X Odd: v", "X-Odd : v", "X-Odd\t: v", " X-Odd: v", "\tX-Odd: v", "Content-Length : 7", "Transfer-Encoding : chunked",
		"X\x00Odd: v", "X\x7fOdd: v", "X\x80Odd: v", ": v", "no colon",
	} {
		for _, head := range []string{
			"HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\nok",
			"HTTP/1.1 200 OK\r\nX-Sound: s\r\n" + line + "\r\nContent-Length: 2\r\n\r\nok",
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Long: " + strings.Repeat("x", 2*readBufferSize) + "\r\n" + line + "\r\n\r\nok",
			"HTTP/1.1 103 Early Hints\r\nLink: a\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
			"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\nok",
		} {
			const sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nok"
			var p Pool
			address := serve(t, respond(sound, head, ""))
			x, err := p.Do(t.Context(), address, getRequest(), waitForever)
			require.NoError(t, err)
			_, err = io.ReadAll(x)
			require.NoError(t, err)
			x.Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, err = p.Do(ctx, address, getRequest(), waitForever)
			cancel()
			require.True(t, IsErrInterrupted(err), "%q: %v", head, err)
			require.True(t, httphead.IsErrInvalidName(err), "%q: %v", head, err)
			require.Equal(t, uint64(1), p.Stats().Reused)
		}
	}
}
