package server

import "sync"

// inFlight counts the requests being served. Unlike with a sync.WaitGroup, requests may
// still begin while something waits for it; these are then refused.
type inFlight struct {
	mu    sync.Mutex
	count int
	idle  chan struct{}
}

func (f *inFlight) begin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
}

func (f *inFlight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	f.closeIfIdle()
}

// whenIdle returns a channel that is closed once no request is being served.
func (f *inFlight) whenIdle() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.idle == nil {
		f.idle = make(chan struct{})
	}
	idle := f.idle
	f.closeIfIdle()
	return idle
}

func (f *inFlight) closeIfIdle() {
	if f.count == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}
