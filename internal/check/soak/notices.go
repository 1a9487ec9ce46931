package main

import (
	"fmt"
	"sync"
	"time"
)

// Bounds of the rules on endpoints that leave or are busy.
const (
	// drainTime is how long after a gateway has passed on a response of a leaving endpoint a caller
	// may still send a request that reaches the endpoint from there.
	drainTime = 2 * time.Second
	// busyNoticeTime is how long after the response of a busy endpoint requests may reach it, and
	// maxBusyRequests how many may until the end of its busy time.
	busyNoticeTime  = 500 * time.Millisecond
	maxBusyRequests = 2
)

// noticeCheck checks that gateways obey what endpoints say of themselves in their responses. The ID of
// an endpoint is unique to its incarnation. The zero value has seen nothing.
type noticeCheck struct {
	// linkDisturbed reports whether the connections to an endpoint have been disturbed since a time.
	// It is nil if they never are.
	linkDisturbed func(endpoint string, since time.Time) bool

	mu sync.Mutex
	// sent holds the requests of all callers by ID.
	sent map[string]sentRequest
	// leaving holds when a gateway first passed on that an endpoint leaves.
	leaving map[noticeKey]time.Time
	busy    map[noticeKey][]*busyWindow
}

// sentRequest is when a caller sent a request, and to which gateway.
type sentRequest struct {
	gateway *process
	at      time.Time
}

// noticeKey is an endpoint's incarnation as a gateway sees it.
type noticeKey struct {
	gateway  *process
	endpoint string
}

// busyWindow is a time for which an endpoint wants no requests from a gateway.
type busyWindow struct {
	answered, until time.Time
	// arrivals is the number of requests that reached the endpoint from busyNoticeTime after the
	// response until the end.
	arrivals int
}

// recordSent records that a caller sends a request to a gateway.
func (n *noticeCheck) recordSent(request string, g *process, at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sent == nil {
		n.sent = map[string]sentRequest{}
	}
	n.sent[request] = sentRequest{gateway: g, at: at}
}

// passedOn records that a caller has got a response of an endpoint that leaves. A response that the
// gateway's last disturbance may have delayed is ignored.
func (n *noticeCheck) passedOn(request, endpoint string, at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s, ok := n.sent[request]
	if !ok || s.gateway.forgetfulSince(s.at) {
		return
	}
	key := noticeKey{s.gateway, endpoint}
	if first, known := n.leaving[key]; known && !s.gateway.forgetfulSince(first) {
		return
	}
	if n.leaving == nil {
		n.leaving = map[noticeKey]time.Time{}
	}
	n.leaving[key] = at
}

// refused records that an endpoint has refused a request because it is busy until a time.
func (n *noticeCheck) refused(request, endpoint string, at, until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s, ok := n.sent[request]
	if !ok {
		return
	}
	key := noticeKey{s.gateway, endpoint}
	for _, w := range n.busy[key] {
		if !w.until.Before(until) && !s.gateway.forgetfulSince(w.answered) {
			return // The earlier window contains this one.
		}
	}
	if n.busy == nil {
		n.busy = map[noticeKey][]*busyWindow{}
	}
	n.busy[key] = append(n.busy[key], &busyWindow{answered: at, until: until})
}

// arrived checks a request that has reached an endpoint, and returns the violations.
func (n *noticeCheck) arrived(request, endpoint string, at time.Time) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	s, ok := n.sent[request]
	if !ok {
		return nil
	}
	key := noticeKey{s.gateway, endpoint}
	var violations []string
	if since, leaving := n.leaving[key]; leaving && s.at.After(since.Add(drainTime)) && !s.gateway.forgetfulSince(since) {
		violations = append(violations, fmt.Sprintf("DRAIN %s reached %s from %s: sent %v after the gateway had passed on that it leaves",
			request, endpoint, s.gateway.name, s.at.Sub(since)))
	}
	for _, w := range n.busy[key] {
		if n.exceeds(w, key, at) {
			violations = append(violations, fmt.Sprintf("BUDGET %s is the third to reach %s from %s: %v after it was busy for %v",
				request, endpoint, s.gateway.name, at.Sub(w.answered), w.until.Sub(w.answered)))
		}
	}
	return violations
}

// exceeds counts a request in a busy window, and reports whether it is the first one too many.
func (n *noticeCheck) exceeds(w *busyWindow, key noticeKey, at time.Time) bool {
	if !at.After(w.answered.Add(busyNoticeTime)) || !at.Before(w.until) || key.gateway.forgetfulSince(w.answered) {
		return false
	}
	if n.linkDisturbed != nil && n.linkDisturbed(key.endpoint, w.answered) {
		return false
	}
	w.arrivals++
	return w.arrivals == maxBusyRequests+1
}

// forgetfulSince reports whether the process has started, or has been killed, paused or continued,
// since a time, so that it may not know what it got before.
func (p *process) forgetfulSince(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paused || !p.forcedAt.Before(since) || !p.started.Before(since)
}

// linkDisturbed reports whether the connections to an endpoint have been disturbed since a time.
func (t *testbed) linkDisturbed(endpoint string, since time.Time) bool {
	for _, b := range t.backends {
		if b.owns(endpoint) {
			return !b.proxy.undisturbed(since)
		}
	}
	return false
}
