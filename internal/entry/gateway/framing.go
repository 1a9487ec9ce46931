package gateway

import (
	"bytes"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/process/httpserver"
)

// framingConn is a caller's connection that records whether both a Content-Length and a
// Transfer-Encoding header have been read from it. RFC 9112 (section 6.1) asks a server to
// close the connection after a request with both, since another reader may find the start of
// another request in its body (request smuggling). net/http uses the chunks and silently drops
// the length. A body that contains such text costs at most a new connection.
type framingConn struct {
	net.Conn
	// mu guards tail and tailSize: while an idle connection is closed, net/http and the server of callers both read.
	mu sync.Mutex
	// tail is the end of the data read so far, in which a header name may have begun.
	tail                [maxFramingLine]byte
	tailSize            int
	sawLength           atomic.Bool
	sawTransferEncoding atomic.Bool
}

const (
	contentLengthName    = "content-length"
	transferEncodingName = "transfer-encoding"
	// maxFramingLine is the length of the longest of these names with the line feed before it, in bytes.
	maxFramingLine = len("\n" + transferEncodingName)
)

// Read implements net.Conn.
func (c *framingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 || c.sawLength.Load() && c.sawTransferEncoding.Load() {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lookAt(b[:n])
	return n, err
}

// lookAt looks for the names in data that follows the tail, and across the border. It allocates nothing, since it processes every
// body.
func (c *framingConn) lookAt(data []byte) {
	var border [2 * maxFramingLine]byte
	size := copy(border[:], c.tail[:c.tailSize])
	size += copy(border[size:], data[:min(len(data), maxFramingLine)])
	c.findNames(border[:size])
	c.findNames(data)
	if len(data) >= maxFramingLine {
		c.tailSize = copy(c.tail[:], data[len(data)-maxFramingLine:])
		return
	}
	c.tailSize = copy(c.tail[:], border[max(0, size-maxFramingLine):size])
}

// findNames records the names at the beginnings of lines.
func (c *framingConn) findNames(data []byte) {
	for {
		i := bytes.IndexByte(data, '\n')
		if i < 0 {
			return
		}
		data = data[i+1:]
		if beginsWithName(data, contentLengthName) {
			c.sawLength.Store(true)
		}
		if beginsWithName(data, transferEncodingName) {
			c.sawTransferEncoding.Store(true)
		}
	}
}

// beginsWithName reports whether a line begins with a name, in letters of either case.
func beginsWithName(line []byte, name string) bool {
	return len(line) >= len(name) && bytes.EqualFold(line[:len(name)], []byte(name))
}

// SyscallConn implements syscall.Conn.
func (c *framingConn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("the connection is no socket")
	}
	return socket.SyscallConn()
}

// CloseWrite ends the sending direction of a connection that supports it.
func (c *framingConn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// takeAmbiguous reports whether both headers have been read, and resets the record.
func (c *framingConn) takeAmbiguous() bool {
	sawLength, sawTransferEncoding := c.sawLength.Swap(false), c.sawTransferEncoding.Swap(false)
	return sawLength && sawTransferEncoding
}

// framingListener accepts connections as framingConns.
type framingListener struct{ net.Listener }

// SetDeadline limits the time of Accept if the inner listener supports that.
func (l framingListener) SetDeadline(t time.Time) error {
	if inner, ok := l.Listener.(interface{ SetDeadline(t time.Time) error }); ok {
		return inner.SetDeadline(t)
	}
	return errors.New("the listener has no deadlines")
}

// Accept implements net.Listener.
func (l framingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &framingConn{Conn: c}, nil
}

// mustCloseAfter reports whether the connection must be closed after the request.
func mustCloseAfter(r *http.Request) bool {
	c, ok := httpserver.Conn(r.Context()).(*framingConn)
	return ok && c.takeAmbiguous() && len(r.TransferEncoding) > 0
}
