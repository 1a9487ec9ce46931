package gateway

import (
	"net"
	"net/http"
	"sync"

	"github.com/egretreach/egretreach/internal/process/inflight"
)

// busyConns records the callers' connections on which a request is being served or its response is
// being sent. The zero value records none.
type busyConns struct {
	mu   sync.Mutex
	busy map[net.Conn]bool
	// count counts the connections in busy.
	count inflight.Requests
}

// changed records a connection's new state. It is the ConnState of an http.Server.
func (b *busyConns) changed(c net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	active := state == http.StateActive
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

// whenIdle returns a channel that is closed once all responses have been sent.
func (b *busyConns) whenIdle() <-chan struct{} { return b.count.WhenIdle() }
