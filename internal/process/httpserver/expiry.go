package httpserver

import (
	"os"
	"time"

	"github.com/pkg/errors"
)

// expireAt lets an idle connection end at a time unless a request has arrived. A zero time means that it stays open.
func (c *limitedConn) expireAt(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expiry.Equal(t) {
		return
	}
	c.expiry = t
	_ = c.setReadDeadline(c.readDeadline) // A connection that has just ended needs none.
}

// readUnlessExpired reads from the connection. Data that has arrived is read also if the connection has expired, which a busy process may
// see late.
func (c *limitedConn) readUnlessExpired(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.hasExpired() {
		return n, err
	}
	if q, ok := queuesOf(c.Conn); !ok || q.unread == 0 {
		return n, err
	}
	c.expireAt(time.Now().Add(idleExpiry))
	return c.Conn.Read(p)
}

// hasExpired reports whether the time at which the connection ends has come.
func (c *limitedConn) hasExpired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.expiry.IsZero() && !time.Now().Before(c.expiry)
}
