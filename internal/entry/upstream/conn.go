// Package upstream sends requests to endpoints over HTTP/1.1 (RFC 9112).
//
// A connection carries one request at a time. Nothing is sent again by itself, and
// bytes that nobody asked for end a connection before they can reach a caller.
package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	readBuffer = 8 << 10
	// keepAliveIdle and keepAliveEvery find connections that have gone silent for good.
	keepAliveIdle  = 2 * time.Second
	keepAliveEvery = time.Second
	keepAliveCount = 2
)

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// idleSince and idleLimit tell when the endpoint may close it.
	idleSince time.Time
	idleLimit time.Duration
	// used says that it has carried a request before.
	used   bool
	closed atomic.Bool
}

func dial(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	d := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: keepAliveCount,
		},
	}
	c, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return newConn(c, address), nil
}

func newConn(c net.Conn, address string) *conn {
	return &conn{Conn: c, address: address, reader: bufio.NewReaderSize(c, readBuffer)}
}

// Close closes the connection once.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	return c.Conn.Close()
}

// clean reports whether an idle connection is open and holds no bytes.
func (c *conn) clean() bool {
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

// waitByte returns when a byte can be read, or with the error of the connection. Each
// time that nothing came for tick it asks goOn, and gives up with ErrAbandoned.
func (c *conn) waitByte(tick time.Duration, goOn func() bool) error {
	for c.reader.Buffered() == 0 {
		if err := c.SetReadDeadline(time.Now().Add(tick)); err != nil {
			return err
		}
		_, err := c.reader.Peek(1)
		if err == nil {
			return nil
		}
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			return err
		}
		if !goOn() {
			return ErrAbandoned{}
		}
	}
	return nil
}

// readHead reads the head of the final answer.
func (c *conn) readHead(method string, timeout time.Duration) (*http.Response, error) {
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	for {
		answer, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if answer.StatusCode >= http.StatusOK {
			return answer, nil
		}
		if answer.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("endpoint switched protocols")
		}
	}
}

// keepAliveOf returns how long the endpoint keeps an idle connection, 0 if it does not say.
func keepAliveOf(h http.Header) time.Duration {
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

// ErrAbandoned is an answer that the caller of this package stopped waiting for.
type ErrAbandoned struct{}

func (ErrAbandoned) Error() string { return "given up" }

// IsErrAbandoned reports whether err is an ErrAbandoned.
func IsErrAbandoned(err error) bool {
	var e ErrAbandoned
	return errors.As(err, &e)
}

// ErrNotSent is a request of which no byte reached the endpoint.
type ErrNotSent struct{ Cause error }

func (e ErrNotSent) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e ErrNotSent) Unwrap() error { return e.Cause }

// IsErrNotSent reports whether err is an ErrNotSent.
func IsErrNotSent(err error) bool {
	var e ErrNotSent
	return errors.As(err, &e)
}

// IsConnectionRefused reports whether err says that nobody listens at the address.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// ErrInterrupted is an exchange that failed after bytes were sent. The request may have run.
type ErrInterrupted struct {
	Cause error
	// Reused says that the connection had carried another request before.
	Reused bool
}

func (e ErrInterrupted) Error() string {
	if e.Reused {
		return "broken off on a kept connection: " + e.Cause.Error()
	}
	return "broken off: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e ErrInterrupted) Unwrap() error { return e.Cause }

// IsErrInterrupted reports whether err is an ErrBroken.
func IsErrInterrupted(err error) bool {
	var e ErrInterrupted
	return errors.As(err, &e)
}

// unexpectedEnd turns a clean end of the connection into a failure.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
