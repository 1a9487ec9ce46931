package httpserver

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/process/inflight"
)

const (
	// lingerCheckInterval is the time between two looks at what a caller has acknowledged.
	lingerCheckInterval = 50 * time.Millisecond
	// lingerAfterReceipt is how long a connection stays open once its caller has acknowledged everything, so that what the caller is
	// just sending does not reset it.
	lingerAfterReceipt = 500 * time.Millisecond
	// finLength is what the end of the sending direction adds to the bytes that are not acknowledged.
	finLength = 1
	// discardSize is the size of the buffer for what a caller sends after the last response, in bytes.
	discardSize = 4 << 10
)

// lingering is the connections whose last response has been written, but not received by their callers (RFC 9112, section 9.6). Create it
// with newLingering.
type lingering struct {
	// ctx ends when they are closed at once.
	ctx    context.Context
	cancel context.CancelFunc
	// conns counts the connections, and unreceived those whose callers have not acknowledged everything.
	conns, unreceived inflight.Requests
}

func newLingering() *lingering {
	ctx, cancel := context.WithCancel(context.Background())
	return &lingering{ctx: ctx, cancel: cancel}
}

// close ends the sending direction of a connection, and closes it once the caller has received everything or has left. It returns at once.
func (l *lingering) close(c *limitedConn) error {
	q, ok := queuesOf(c.Conn)
	if !ok || q == (socketQueues{}) {
		return c.release()
	}
	l.conns.Begin()
	l.unreceived.Begin()
	c.budget.set(&c.account, connCost) // net/http releases the header.
	_ = c.CloseWrite()                 // The reads show whether the connection has ended.
	go l.await(c, q.unsent)
	return nil
}

// await closes a connection, of which the caller has not acknowledged unsent bytes, once its caller has received everything or has left, or
// when ctx ends.
func (l *lingering) await(c *limitedConn, unsent int) {
	defer l.conns.End()
	defer func() { _ = c.release() }() // Everything was received, or the loss is recorded.
	received := sync.OnceFunc(l.unreceived.End)
	defer received()
	switch reason, unsent := c.linger(l.ctx, unsent, received); {
	case reason == unsentNothing:
	case reason.isByCaller():
		c.recordLeft(reason, unsent)
	default:
		c.recordUnsent(reason)
	}
}

// linger reads and drops what the caller still sends until it has received everything or has left. It returns unsentNothing in the first case,
// else the reason and how many bytes the caller had not acknowledged at the last look. It calls received as soon as the caller has
// received everything. unsent is the result of the look before.
func (c *limitedConn) linger(ctx context.Context, unsent int, received func()) (unsentReason, int) {
	stop := context.AfterFunc(ctx, func() { _ = c.Conn.SetReadDeadline(longAgo) })
	defer stop()
	evicted := c.evicted.Load()
	var p receiptProgress
	buffer := make([]byte, discardSize)
	for {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerCheckInterval))
		switch {
		case ctx.Err() != nil:
			return unsentStopped, unsent
		case !evicted && c.evicted.Load():
			return unsentEvicted, unsent
		}
		if err := discard(c.Conn, buffer); !errors.Is(err, os.ErrDeadlineExceeded) {
			return c.reasonAtEnd(err, unsent)
		}
		q, ok := queuesOf(c.Conn)
		if !ok {
			return unsentNothing, 0
		}
		if unsent = q.unsent; unsent == 0 {
			received()
		}
		switch p.next(q.unsent) {
		case receiptDone:
			return unsentNothing, 0
		case receiptStalled:
			return unsentStalled, unsent
		case receiptPending:
		}
	}
}

// reasonAtEnd returns the result of linger for a connection that the caller has ended, of which it had not acknowledged unsent bytes before.
func (c *limitedConn) reasonAtEnd(err error, unsent int) (unsentReason, int) {
	if unsent == 0 {
		return unsentNothing, 0
	}
	if !errors.Is(err, io.EOF) {
		return unsentCallerLeft, unsent
	}
	if q, ok := queuesOf(c.Conn); ok && q.unsent <= finLength {
		return unsentNothing, 0
	}
	return unsentCallerEnded, unsent
}

// discard reads from a connection into buffer until a read fails.
func discard(c net.Conn, buffer []byte) error {
	for {
		if _, err := c.Read(buffer); err != nil {
			return err
		}
	}
}

// receiptState says how far a caller has received the last response.
type receiptState int

const (
	receiptPending receiptState = iota
	receiptDone
	receiptStalled
)

// receiptProgress follows how much a caller has not acknowledged. It counts its looks in place of the time, which goes on while the process
// stands still. The zero value has seen nothing.
type receiptProgress struct {
	// unsent is what the last look found, and unchanged how many looks in a row have found it.
	unsent, unchanged int
}

// next returns the state after a look that has found unsent bytes.
func (p *receiptProgress) next(unsent int) receiptState {
	if unsent != p.unsent {
		p.unsent, p.unchanged = unsent, 0
	}
	p.unchanged++
	switch {
	case unsent == 0 && p.unchanged > int(lingerAfterReceipt/lingerCheckInterval):
		return receiptDone
	case p.unchanged > int(transferTimeout/lingerCheckInterval):
		return receiptStalled
	default:
		return receiptPending
	}
}
