package httpserver

import (
	"os"
	"time"

	"github.com/pkg/errors"
)

// headerExpiry is how long a connection that expires stays open once a part of a header has arrived: some retransmissions.
const headerExpiry = time.Second

// expireAt lets an idle connection end at a time unless a request has arrived. A zero time means that it stays open.
func (c *limitedConn) expireAt(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expiry.Equal(t) {
		return
	}
	c.expiry, c.extended = t, false
	_ = c.setReadDeadline(c.readDeadline) // A connection that has just ended needs none.
}

// extendExpiry gives the rest of a header, of which a part has been read, time to arrive; mu must be held.
func (c *limitedConn) extendExpiry() {
	if c.expiry.IsZero() || c.extended || c.meter.known || !c.meter.hasText() {
		return
	}
	c.expiry, c.extended = time.Now().Add(headerExpiry), true
	_ = c.setReadDeadline(c.readDeadline)
}

// readInTime reads from the connection. If the connection has expired or was idle for too long, data that has arrived is read all the same,
// as a busy process may come to it late.
func (c *limitedConn) readInTime(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.awaitsRequest(len(p)) {
		return n, err
	}
	if q, ok := queuesOf(c.Conn); !ok || q.unread == 0 {
		return n, err
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(idleExpiry)) // Until net/http sets another one, behind the header at the latest.
	return c.Conn.Read(p)
}

// awaitsRequest reports whether a read into a buffer of size bytes waits for a request, or for the rest of its header on a connection that has
// expired. net/http ends reads of single bytes by their deadlines, and a header that is too slow.
func (c *limitedConn) awaitsRequest(size int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if size == 1 || c.meter.known || c.evicted.Load() {
		return false
	}
	return !c.meter.isReading() || !c.expiry.IsZero() && !time.Now().Before(c.expiry)
}

// hasArrivals reports whether a part of a request has arrived.
func (c *limitedConn) hasArrivals() bool {
	if q, ok := queuesOf(c.Conn); ok && q.unread > 0 {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.extended && time.Now().Before(c.expiry)
}
