package httphead

import (
	"context"
	"net"
	"sync"
)

// DialFunc opens a connection, as the DialContext of an http.Transport does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Checked returns a DialFunc of connections whose reads fail with ErrInvalidName at a head with an invalid name. Each connection checks the
// first response; call ExpectResponse before the next one.
func Checked(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// ExpectResponse lets a connection of Checked check the response that it reads next. It has no effect on others.
func ExpectResponse(c net.Conn) {
	checked, ok := c.(*conn)
	if !ok {
		return
	}
	checked.mu.Lock()
	defer checked.mu.Unlock()
	checked.scanner = Scanner{}
}

// conn is a connection that checks the heads that are read from it.
type conn struct {
	net.Conn
	// mu guards scanner: an http.Transport reads from an idle connection while it is taken for the next request.
	mu      sync.Mutex
	scanner Scanner
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if invalid := c.scanner.Scan(b[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}
