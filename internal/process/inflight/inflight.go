// Package inflight counts the requests that a daemon is serving, so that a planned stop can wait for
// them.
package inflight

import "sync"

// Requests counts the requests being served. The zero value counts none and accepts all. Unlike with
// a sync.WaitGroup, requests may begin while something waits for the end of all.
type Requests struct {
	mu       sync.Mutex
	count    int
	refusing bool
	idle     chan struct{}
}

// Begin counts a request and reports whether it may be served. If not, it must be refused. In both
// cases End must be called at its end.
func (r *Requests) Begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
	return !r.refusing
}

// Refuse lets Begin return false from now on.
func (r *Requests) Refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusing = true
}

// End ends a request.
func (r *Requests) End() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count--
	r.closeIfIdle()
}

// Count returns how many requests are being served.
func (r *Requests) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// WhenIdle returns a channel that is closed once no request is being served.
func (r *Requests) WhenIdle() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.idle == nil {
		r.idle = make(chan struct{})
	}
	idle := r.idle
	r.closeIfIdle()
	return idle
}

// closeIfIdle closes idle if no request is being served; mu must be held.
func (r *Requests) closeIfIdle() {
	if r.count == 0 && r.idle != nil {
		close(r.idle)
		r.idle = nil
	}
}
