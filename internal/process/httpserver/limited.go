package httpserver

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxEmptyLines is how many empty lines may come before a request.
	maxEmptyLines = 64
	// writeCheckInterval is how long a write may block before the rest of it counts as a response that is not read.
	writeCheckInterval = time.Second
	// transferTimeout bounds the time without progress of a body that is read and of a response that is written.
	transferTimeout = 30 * time.Second
	// refusalTimeout bounds the time to write a refusal, which an empty send buffer takes at once.
	refusalTimeout = 50 * time.Millisecond
	// refusal is the response to a request that has not run, and to a connection too many.
	refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// limitedConn is a caller's connection that accounts for what the caller makes the process hold.
type limitedConn struct {
	net.Conn
	budget  *Budget
	account account
	// lingering is what takes the connection over when it is closed.
	lingering *lingering
	closed    atomic.Bool
	// evicted says that the connection is being closed for the memory that it holds.
	evicted atomic.Bool
	// brokenOff says that the end of the connection would look like that of a whole response, so that it is reset in place of it.
	brokenOff atomic.Bool

	// mu guards the other fields. It is not held while the budget is called.
	mu    sync.Mutex
	meter meter
	// request is the ID of the last request, or empty.
	request string
	// response is the size of the response that the handler holds whole, and unread that of the part of a response that the caller
	// doesn't read.
	response, unread int64
	// hasTrailer says that a trailer may follow the body.
	hasTrailer bool
	// readDeadline and writeDeadline are those that net/http or a handler has set.
	readDeadline, writeDeadline time.Time
	// expiry is when the connection ends unless a request has arrived. It is zero if it doesn't.
	expiry time.Time
	// refused says that a read has failed because of the memory, cut that this was while a handler ran, so that nothing may be written
	// any more.
	refused, cut bool
}

// evict ends the reads of the connection, which ends its request.
func (c *limitedConn) evict() {
	c.evicted.Store(true)
	_ = c.Conn.SetReadDeadline(longAgo) // A connection that has just ended needs none.
}

// longAgo is a deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// Read implements net.Conn. It doesn't copy what is read.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	if c.evicted.Load() {
		return 0, c.refuse(len(p))
	}
	limited := c.limitBodyRead(len(p))
	n, err := c.readUnlessExpired(p)
	if c.closed.Load() {
		return 0, net.ErrClosed // No response to what has been read could be sent.
	}
	if limited {
		c.endBodyRead()
	}
	if n > 0 && !c.count(p[:n], len(p) <= readBufferSize) || c.evicted.Load() {
		return 0, c.refuse(len(p))
	}
	return n, err
}

// count accounts for data that has been read. It returns false if there is no room for it, or if the caller sends too many empty lines.
func (c *limitedConn) count(data []byte, buffered bool) bool {
	c.mu.Lock()
	c.meter.read(data, buffered)
	cost, tooEmpty, begun := c.cost(), c.meter.emptyLines > maxEmptyLines, c.meter.known
	c.mu.Unlock()
	set := c.budget.set
	if begun {
		set = c.budget.setBegun
	}
	return !tooEmpty && set(&c.account, cost)
}

// cost returns the cost of the connection; mu must be held.
func (c *limitedConn) cost() int64 {
	cost := connCost + c.meter.cost() + c.unread
	if c.hasTrailer {
		cost += c.meter.trailerCost()
	}
	return cost
}

// refuse ends the connection for the memory of callers. A caller whose header is being read, and whose earlier requests have thus been
// answered, gets a refusal. net/http reads single bytes while a handler runs: such a read ends the request's context and its writes, since
// net/http sends 200 for a handler that returns without a response.
func (c *limitedConn) refuse(size int) error {
	c.mu.Lock()
	first := !c.refused
	c.refused = true
	c.cut = c.cut || size == 1
	mayAnswer := first && size > 1 && c.meter.isReading()
	c.mu.Unlock()
	if mayAnswer {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = io.WriteString(c.Conn, refusal) // The connection is closed in any case.
	}
	switch {
	case first && c.evicted.Load():
		c.budget.logCounts() // Its eviction counts already.
	case first:
		c.budget.countRefusal()
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: ErrCallerMemory} // net/http answers other errors with 400.
}

// limitBodyRead sets a deadline for a read of a body for which there is none, and reports whether it has.
func (c *limitedConn) limitBodyRead(size int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.meter.known || size == 1 || !c.readDeadline.IsZero() {
		return false
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(transferTimeout))
	return true
}

// endBodyRead removes the deadline of limitBodyRead.
func (c *limitedConn) endBodyRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readDeadline.IsZero() && !c.evicted.Load() {
		_ = c.setReadDeadline(time.Time{})
	}
}

// SetReadDeadline implements net.Conn. The reads of an evicted connection stay ended.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.setReadDeadline(t)
}

// setReadDeadline sets a deadline unless the connection is evicted or closed or expires before; mu must be held.
func (c *limitedConn) setReadDeadline(t time.Time) error {
	if c.closed.Load() {
		return net.ErrClosed
	}
	if !c.expiry.IsZero() && (t.IsZero() || c.expiry.Before(t)) {
		t = c.expiry
	}
	err := c.Conn.SetReadDeadline(t)
	if c.evicted.Load() {
		return c.Conn.SetReadDeadline(longAgo)
	}
	return err
}

// SetWriteDeadline implements net.Conn.
func (c *limitedConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return nil // Write sets it.
}

// SetDeadline implements net.Conn.
func (c *limitedConn) SetDeadline(t time.Time) error {
	_ = c.SetWriteDeadline(t)
	return c.SetReadDeadline(t)
}

// Write implements net.Conn. What the caller doesn't read counts from writeCheckInterval on. The write fails after transferTimeout without
// progress, and if there is no room for what is left.
func (c *limitedConn) Write(p []byte) (int, error) {
	if c.isCut() {
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: ErrCallerMemory}
	}
	written := 0
	// stalled is the time without progress by the checks of the write, which doesn't count the time that the process stood still.
	stalled := time.Duration(0)
	for {
		until, last := c.nextWriteDeadline(time.Now())
		_ = c.Conn.SetWriteDeadline(until)
		n, err := c.Conn.Write(p[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) || last {
			c.setUnread(0)
			return written, err
		}
		stalled += writeCheckInterval
		if n > 0 {
			stalled = 0
		}
		if stalled >= transferTimeout || c.evicted.Load() || !c.setUnread(max(int64(len(p)-written), c.heldResponse())) {
			return written, err
		}
	}
}

// isCut reports whether nothing may be written any more.
func (c *limitedConn) isCut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut
}

// heldResponse returns the size of the response that the handler holds.
func (c *limitedConn) heldResponse() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.response
}

// HeaderSize returns the size of a request's header as it was sent, in bytes, or a higher number if the request followed another one without
// a pause. The request is found by its context. It returns false if the size isn't known.
func HeaderSize(ctx context.Context) (int, bool) {
	c, ok := ctx.Value(connKey{}).(*limitedConn)
	if !ok {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.meter.headerSize, c.meter.headerSize > 0
}

// IsClosedForMemory reports whether the connection of a request, which is found by its context, is closed for the memory that it held.
func IsClosedForMemory(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*limitedConn)
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

// HoldResponse tells the server of a request, by the context of which it is found, that its handler holds size bytes of the response until
// they are written. They count as long as the caller doesn't read.
func HoldResponse(ctx context.Context, size int) {
	c, ok := ctx.Value(connKey{}).(*limitedConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.response = int64(size)
}

// nextWriteDeadline returns when a write is checked for the next time, and whether it ends then.
func (c *limitedConn) nextWriteDeadline(now time.Time) (until time.Time, last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	until = now.Add(writeCheckInterval)
	if c.writeDeadline.IsZero() || until.Before(c.writeDeadline) {
		return until, false
	}
	return c.writeDeadline, true
}

// setUnread accounts for size bytes of a response that the caller doesn't read. It returns false if there is no room for them.
func (c *limitedConn) setUnread(size int64) bool {
	c.mu.Lock()
	if c.unread == size {
		c.mu.Unlock()
		return true
	}
	c.unread = size
	cost := c.cost()
	c.mu.Unlock()
	if c.budget.setBegun(&c.account, cost) {
		return true
	}
	c.budget.countRefusal()
	return false
}

// headerRead records that net/http has parsed the header of a request. hasTrailer says that a trailer may follow its body.
func (c *limitedConn) headerRead(hasTrailer bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.meter.headerRead()
	c.hasTrailer = hasTrailer
}

// requestEnded releases what a request has held.
func (c *limitedConn) requestEnded() {
	c.mu.Lock()
	c.meter.next()
	c.hasTrailer, c.response, c.unread = false, 0, 0
	cost := c.cost()
	c.mu.Unlock()
	if !c.budget.setBegun(&c.account, cost) { // The header of the next request may have been read, too.
		c.evict()
	}
}

// CloseWrite ends the sending direction of a connection that supports it. net/http calls it before it closes a connection of which it has
// not read everything.
func (c *limitedConn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. It returns at once, and the connection is closed when the caller has received everything.
func (c *limitedConn) Close() error {
	c.mu.Lock() // A deadline of net/http must not follow that of linger.
	wasClosed := c.closed.Swap(true)
	c.mu.Unlock()
	if wasClosed {
		return nil
	}
	if c.brokenOff.Load() {
		resetAtClose(c.Conn)
		return c.release()
	}
	if c.lingering.ctx.Err() != nil {
		c.recordUnsent(unsentStopped)
		return c.release()
	}
	return c.lingering.close(c)
}

// breakOff lets the connection of a request, which is found by its context, be reset when it is closed. The handler has panicked in the
// middle of a response that may have neither a length nor chunks.
func breakOff(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*limitedConn); ok {
		c.brokenOff.Store(true)
	}
}

// release closes the connection and gives back what it costs.
func (c *limitedConn) release() error {
	c.budget.close(&c.account)
	return c.Conn.Close()
}

// recordUnsent records a response that is cut if the connection is closed now.
func (c *limitedConn) recordUnsent(reason unsentReason) {
	q, ok := queuesOf(c.Conn)
	if !ok || q.unsent == 0 {
		return
	}
	c.budget.unsent.add(c.lastRequest(), reason, q)
}

// recordLeft records a response whose caller has ended the connection, and had not acknowledged unsent bytes.
func (c *limitedConn) recordLeft(reason unsentReason, unsent int) {
	c.budget.unsent.addLeft(c.lastRequest(), reason, unsent)
}

// lastRequest returns the ID of the last request, or an empty one.
func (c *limitedConn) lastRequest() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.request
}

// limitedListener accepts connections as limitedConns, and refuses those beyond the limits.
type limitedListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.server.admit(inner); c != nil {
			return c, nil
		}
		_ = inner.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = io.WriteString(inner, refusal) // The connection is closed in any case.
		_ = inner.Close()
		l.server.limits.Budget.countRefusal()
	}
}

// admit returns a connection with its account, or nil if there is no room for it.
func (s *Server) admit(inner net.Conn) *limitedConn {
	if s.openCount() >= s.limits.Connections {
		return nil
	}
	c := &limitedConn{Conn: inner, budget: s.limits.Budget, lingering: s.lingering}
	c.account.evict = c.evict
	c.account.reserved = s.limits.Reserved
	if !c.budget.open(&c.account) {
		return nil
	}
	return c
}
