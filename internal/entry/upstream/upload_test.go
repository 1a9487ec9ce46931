package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

const (
	// longBody exceeds what the buffers of two sockets hold, in bytes.
	longBody = 32 << 20
	// unframed is the beginning of a response that ends with its connection.
	unframed = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\n"
)

func longRequest() *Request {
	return &Request{Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, longBody), HasBody: true}
}

// heldConn is a connection that writes what follows the head of a request only once release is closed.
type heldConn struct {
	*net.TCPConn
	release <-chan struct{}
	writes  int
}

func (c *heldConn) Write(b []byte) (int, error) {
	if c.writes++; c.writes > 1 {
		<-c.release
	}
	return c.TCPConn.Write(b)
}

// dialHeld returns a Dialer of heldConns.
func dialHeld(release <-chan struct{}) Dialer {
	return func(ctx context.Context, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp4", address)
		if err != nil {
			return nil, err
		}
		return &heldConn{TCPConn: c.(*net.TCPConn), release: release}, nil
	}
}

// earlyEndpoint begins an unframed response before it has read the body of a request, and ends it on a signal.
type earlyEndpoint struct {
	// end is closed to end the response, and ended once that has been done.
	end, ended chan struct{}
}

func newEarlyEndpoint() *earlyEndpoint {
	return &earlyEndpoint{end: make(chan struct{}), ended: make(chan struct{})}
}

// script returns the script of one connection that ends with finish.
func (e *earlyEndpoint) script(finish func(c *net.TCPConn)) script {
	return func(t *testing.T, c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, unframed)
		<-e.end
		tcp, ok := c.(*net.TCPConn)
		require.True(t, ok)
		finish(tcp)
		close(e.ended)
	}
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// TestEarlyResponseThatIsResetIsNotWhole guards against a part of a response that passes for all of it. The kernel reports a reset once: to the
// write of the request's body, or to the read of the response, which then gets a plain end of file or the error.
func TestEarlyResponseThatIsResetIsNotWhole(t *testing.T) {
	for name, readsEvents := range map[string]bool{"plain": false, "events": true} {
		t.Run("the write gets the reset/"+name, func(t *testing.T) {
			e := newEarlyEndpoint()
			var p Pool
			x, err := p.Do(t.Context(), serve(t, e.script(reset)), longRequest(), waitForever)
			require.NoError(t, err)
			defer x.Close()
			close(e.end)
			<-x.upload.done
			require.Error(t, x.upload.err)
			err = readToEnd(x, readsEvents)
			require.True(t, IsErrInterrupted(err), "%v", err)
			require.True(t, IsErrRequestNotReceived(err), "%v", err)
		})
		t.Run("the read gets the reset/"+name, func(t *testing.T) {
			e, release := newEarlyEndpoint(), make(chan struct{})
			p := Pool{Dial: dialHeld(release)}
			x, err := p.Do(t.Context(), serve(t, e.script(reset)), longRequest(), waitForever)
			require.NoError(t, err)
			defer x.Close()
			close(e.end)
			<-e.ended
			err = readToEnd(x, readsEvents)
			require.True(t, IsErrInterrupted(err), "%v", err)
			close(release)
		})
	}
}

// readToEnd reads a response to its end and returns the error, which is nil if it is whole.
func readToEnd(x *Exchange, events bool) error {
	if !events {
		_, err := io.ReadAll(x)
		return err
	}
	r := NewEventReader(x)
	for {
		_, err := r.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// TestEarlyResponseOfAClosedConnectionIsNotWhole closes the connection in order while the upload has yet to be written. The endpoint hasn't read
// the request, so it can't be told from one that broke off. A short body fits into the buffers of the sockets, so that its write succeeds.
func TestEarlyResponseOfAClosedConnectionIsNotWhole(t *testing.T) {
	for _, size := range []int{2 * maxInlineBody, longBody} {
		e, release := newEarlyEndpoint(), make(chan struct{})
		p := Pool{Dial: dialHeld(release)}
		r := longRequest()
		r.Body = r.Body[:size]
		x, err := p.Do(t.Context(), serve(t, e.script(func(c *net.TCPConn) { _ = c.Close() })), r, waitForever)
		require.NoError(t, err)
		close(e.end)
		<-e.ended
		close(release) // The write is still going on when the read gets the end of file.
		err = readToEnd(x, false)
		require.True(t, IsErrInterrupted(err), "%d: %v", size, err)
		x.Close()
	}
}

// TestEarlyResponseOfAHalfClosedConnectionIsWhole guards against a response that is refused although its endpoint has ended it in order: it
// has closed only its sending side, and reads on or keeps the rest of the request unread.
func TestEarlyResponseOfAHalfClosedConnectionIsWhole(t *testing.T) {
	for name, readsOn := range map[string]bool{"reads on": true, "reads no further": false} {
		t.Run(name, func(t *testing.T) {
			var served sync.WaitGroup
			defer served.Wait()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			e := newEarlyEndpoint()
			served.Add(1)
			finish := func(c *net.TCPConn) {
				defer served.Done()
				_ = c.CloseWrite()
				if readsOn {
					_, _ = io.Copy(io.Discard, c)
				}
				<-ctx.Done()
			}
			var p Pool
			x, err := p.Do(t.Context(), serve(t, e.script(finish)), longRequest(), waitForever)
			require.NoError(t, err)
			defer x.Close()
			close(e.end)
			body, err := io.ReadAll(x)
			require.NoError(t, err)
			require.Equal(t, "data: a\n\n", string(body))
		})
	}
}

// endedConn is a connection whose endpoint has ended its side after a response. The endpoint reads only the head of a request.
type endedConn struct {
	net.Conn
	response io.Reader
}

func (c *endedConn) Read(b []byte) (int, error) { return c.response.Read(b) }

// dialEnded is a Dialer of endedConns.
func dialEnded(context.Context, string) (net.Conn, error) {
	c, endpoint := net.Pipe()
	go func() { _, _ = http.ReadRequest(bufio.NewReaderSize(endpoint, 1)) }()
	return &endedConn{Conn: c, response: strings.NewReader(unframed)}, nil
}

// TestWaitForAnUploadIsBounded guards against a response that is held back by an endpoint that reads no further, and against a request that
// outlasts its deadline.
func TestWaitForAnUploadIsBounded(t *testing.T) {
	for timeout, whole := range map[time.Duration]bool{receiptTimeout / 3: false, 3 * receiptTimeout: true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			began := time.Now()
			p := Pool{Dial: dialEnded}
			x, err := p.Do(ctx, "a", longRequest(), waitForever)
			require.NoError(t, err)
			defer x.Close()
			err = readToEnd(x, false)
			require.Equal(t, whole, err == nil, "%v", err)
			require.Equal(t, min(timeout, receiptTimeout), time.Since(began))
		})
	}
}
