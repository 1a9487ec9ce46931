package httpserver

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/egretreach/egretreach/internal/process/inflight"
)

// connections records the open connections: those on which a request is being served or its response is
// being sent, and those that are idle. The zero value records none.
type connections struct {
	mu sync.Mutex
	// open is the number of open connections.
	open int
	busy map[net.Conn]bool
	// idle has the timer that closes an idle connection in a planned stop, or nil before the stop.
	idle map[net.Conn]*time.Timer
	// unused are the connections on which no request has been read yet.
	unused map[net.Conn]bool
	// count counts the connections in busy.
	count inflight.Requests
	// expiry is how long an idle connection is kept in a planned stop, in which it counts as busy. It is 0 before the stop.
	expiry time.Duration
}

// expiringConn is a connection that ends by itself at a time unless a request has arrived.
type expiringConn interface {
	// expireAt sets the time. A zero time means that the connection stays open.
	expireAt(t time.Time)
}

// changed records a connection's new state. It is the ConnState of an http.Server.
func (b *connections) changed(c net.Conn, state http.ConnState) {
	if limited, ok := c.(*limitedConn); ok && state == http.StateIdle {
		limited.requestEnded()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch state {
	case http.StateNew:
		b.open++
	case http.StateClosed, http.StateHijacked:
		b.open--
	case http.StateActive, http.StateIdle:
	}
	b.setUnused(c, state == http.StateNew)
	b.setIdle(c, state == http.StateIdle)
	b.setBusy(c, state == http.StateActive || state == http.StateIdle && b.expiry > 0)
}

// setUnused records whether a connection is unused; mu must be held.
func (b *connections) setUnused(c net.Conn, unused bool) {
	if !unused {
		delete(b.unused, c)
		return
	}
	if b.unused == nil {
		b.unused = map[net.Conn]bool{}
	}
	b.unused[c] = true
}

// setIdle records whether a connection is idle, and lets an idle one expire in a planned stop; mu must be held.
func (b *connections) setIdle(c net.Conn, idle bool) {
	if !idle {
		if timer := b.idle[c]; timer != nil {
			timer.Stop()
		}
		delete(b.idle, c)
		expire(c, time.Time{})
		return
	}
	if b.idle == nil {
		b.idle = map[net.Conn]*time.Timer{}
	}
	b.idle[c] = nil
	if b.expiry > 0 {
		b.startExpiry(c)
	}
}

// startExpiry lets an idle connection end by itself, and closes it if it has not; mu must be held.
func (b *connections) startExpiry(c net.Conn) {
	expire(c, time.Now().Add(b.expiry))
	b.idle[c] = time.AfterFunc(maxIdleWait, func() { b.closeIdle(c) })
}

// closeIdle closes a connection if it is idle and no part of a request has arrived, which a process that stood still comes to read late.
func (b *connections) closeIdle(c net.Conn) {
	b.mu.Lock()
	timer, idle := b.idle[c]
	if limited, ok := c.(*limitedConn); ok && idle && limited.hasArrivals() {
		timer.Reset(maxIdleWait)
		idle = false
	}
	b.mu.Unlock()
	if idle {
		_ = c.Close() // One that has just ended needs none.
	}
}

// setBusy records whether a connection counts as busy; mu must be held.
func (b *connections) setBusy(c net.Conn, busy bool) {
	if busy == b.busy[c] {
		return
	}
	if !busy {
		delete(b.busy, c)
		b.count.End()
		return
	}
	if b.busy == nil {
		b.busy = map[net.Conn]bool{}
	}
	b.busy[c] = true
	b.count.Begin()
}

// expire sets when a connection ends by itself, if it can.
func expire(c net.Conn, at time.Time) {
	if expiring, ok := c.(expiringConn); ok {
		expiring.expireAt(at)
	}
}

// openCount returns the number of open connections.
func (b *connections) openCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}

// end lets idle connections, also those that become idle later, end by themselves after expiry unless a request arrives on them. They count
// as busy until they are closed.
func (b *connections) end(expiry time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.expiry > 0 {
		return
	}
	b.expiry = expiry
	for c := range b.idle {
		b.startExpiry(c)
		b.setBusy(c, true)
	}
}

// expireUnused lets unused connections end by themselves like idle ones, and reports whether there are any. end must have been called.
func (b *connections) expireUnused() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := len(b.unused) > 0
	for c := range b.unused {
		delete(b.unused, c)
		b.setIdle(c, true)
		b.setBusy(c, true)
	}
	return found
}

// whenIdle returns a channel that is closed once all responses have been sent.
func (b *connections) whenIdle() <-chan struct{} { return b.count.WhenIdle() }
