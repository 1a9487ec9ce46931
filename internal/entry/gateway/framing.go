package gateway

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// framedConn is a caller's connection that notes whether both ways to frame a body, a length
// and chunks, have come up on it. RFC 9112 (section 6.1) asks to close the connection behind
// such a request, since another reader may see another request's start in it; net/http takes
// the chunks and drops the length without a word. Text in a body that looks the same costs
// no more than a new connection.
type framedConn struct {
	net.Conn
	tail    []byte
	lengths atomic.Bool
	codings atomic.Bool
}

var (
	lengthLine = []byte("\ncontent-length")
	codingLine = []byte("\ntransfer-encoding")
)

// Read implements net.Conn.
func (c *framedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 || c.lengths.Load() && c.codings.Load() {
		return n, err
	}
	seen := bytes.ToLower(append(c.tail, b[:n]...))
	if bytes.Contains(seen, lengthLine) {
		c.lengths.Store(true)
	}
	if bytes.Contains(seen, codingLine) {
		c.codings.Store(true)
	}
	c.tail = append(c.tail[:0], seen[max(0, len(seen)-len(codingLine)):]...)
	return n, err
}

// ambiguous reports whether a request with both ways may have come, and begins anew.
func (c *framedConn) ambiguous() bool {
	lengths, codings := c.lengths.Swap(false), c.codings.Swap(false)
	return lengths && codings
}

// framedListener wraps the connections of callers.
type framedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l framedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &framedConn{Conn: c}, nil
}

type connKey struct{}

// withConn lets a request's handler find its connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// closesBehind reports whether a request's connection must not carry another one.
func closesBehind(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*framedConn)
	return ok && c.ambiguous() && len(r.TransferEncoding) > 0
}
