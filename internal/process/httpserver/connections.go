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
	// idle says of each idle connection whether expireIdle has set its end.
	idle map[net.Conn]bool
	// count counts the connections in busy.
	count inflight.Requests
	// ending says that no connection is kept any more, so that a busy one stays busy until it is closed.
	ending bool
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
	delete(b.idle, c)
	if state == http.StateIdle {
		if b.idle == nil {
			b.idle = map[net.Conn]bool{}
		}
		b.idle[c] = false
	}
	active := state == http.StateActive || state == http.StateIdle && b.ending
	if active == b.busy[c] {
		return
	}
	if active {
		if b.busy == nil {
			b.busy = map[net.Conn]bool{}
		}
		b.busy[c] = true
		b.count.Begin()
		return
	}
	delete(b.busy, c)
	b.count.End()
}

// openCount returns the number of open connections.
func (b *connections) openCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}

// end lets the connections that are busy count as busy until they are closed. net/http calls a connection idle before it closes it.
func (b *connections) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ending = true
}

// whenIdle returns a channel that is closed once all responses have been sent.
func (b *connections) whenIdle() <-chan struct{} { return b.count.WhenIdle() }

// expireIdle lets idle connections end after a time unless a request arrives on them. Their own
// goroutines end them, so that no request is read on a connection that is being closed. It reports
// whether there are any.
func (b *connections) expireIdle(after time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c, expiring := range b.idle {
		if expiring {
			continue
		}
		b.idle[c] = true
		_ = c.SetReadDeadline(time.Now().Add(after)) // A connection that has just ended needs none.
	}
	return len(b.idle) > 0
}
