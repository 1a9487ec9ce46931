// Package upstream sends requests to endpoints over HTTP/1.1 (RFC 9112).
//
// A connection carries one request at a time. The package never retries a request by itself. It
// closes a connection on which unexpected bytes arrive, so that they can't be mistaken for the
// response to a later request.
package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/process/httphead"
	"github.com/egretreach/egretreach/internal/process/httpstatus"
)

const (
	readBufferSize = 8 << 10
	// TCP keep-alive probes detect connections whose peer has disappeared without closing them.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// wait is the wait policy of the present exchange.
	wait WaitPolicy
	// idleSince is when the connection became idle. It is not used again after idleTimeout,
	// since the endpoint may be closing it then.
	idleSince   time.Time
	idleTimeout time.Duration
	// reused says that the connection was kept idle in the pool before.
	reused bool
	// served says that it has carried a request before.
	served bool
	closed atomic.Bool
	// head counts what is read while the head of a response is read, and is nil otherwise.
	head *headMeter
	// scanner checks the head of the present response.
	scanner httphead.Scanner
}

func dial(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	d := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	c, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return newConn(c, address), nil
}

func newConn(c net.Conn, address string) *conn {
	result := &conn{Conn: c, address: address}
	result.reader = bufio.NewReaderSize(result, readBufferSize)
	return result
}

// Close closes the connection. Only the first call has an effect.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	return c.Conn.Close()
}

// isUsable reports whether an idle connection is open and has no bytes to read.
func (c *conn) isUsable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// Read implements net.Conn. While no data arrives it consults the wait policy, and returns ErrAbandoned if that ends the wait. It
// doesn't consult the policy after a wait that took much longer than its timeout: this process was paused then, and data may have
// arrived in the meantime. It still calls Unwanted.
func (c *conn) Read(b []byte) (int, error) {
	if err := c.head.beforeRead(); err != nil {
		return 0, err
	}
	for {
		deadline := time.Now().Add(c.wait.interval())
		if err := c.SetReadDeadline(deadline); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(b)
		c.head.read(b[:n])
		if err := c.scanner.Scan(b[:n]); err != nil {
			return 0, err
		}
		var timeout net.Error
		if n > 0 || !errors.As(err, &timeout) || !timeout.Timeout() {
			return n, err
		}
		if c.wait.Unwanted != nil && c.wait.Unwanted() {
			return 0, ErrAbandoned{}
		}
		stoodStill := time.Since(deadline) > c.wait.CheckInterval
		if !stoodStill && !c.wait.KeepWaiting() {
			return 0, ErrAbandoned{}
		}
	}
}

// readResponse reads the status and headers of the final response. It skips informational (1xx)
// responses and returns an error for any other status that no final response may have, and for a header field with an invalid name. The
// size of all of them is bounded by maxHead, and an incomplete head is reserved with reserve.
func (c *conn) readResponse(method string, reserve func(n int) bool) (*http.Response, error) {
	c.head, c.scanner = &headMeter{reserve: reserve}, httphead.Scanner{}
	defer c.endHead()
	for range maxInformational + 1 {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if httpstatus.IsInformational(response.StatusCode) {
			continue
		}
		if err := httpstatus.CheckFinal(response.StatusCode); err != nil {
			return nil, err
		}
		return response, nil
	}
	return nil, errTooMuch
}

// endHead ends the reading of a head.
func (c *conn) endHead() {
	c.head.release()
	c.head = nil
}

// keepAliveTimeout returns the timeout of a Keep-Alive header, 0 if there is none.
func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return 0
		}
		return time.Duration(seconds) * time.Second
	}
	return 0
}
