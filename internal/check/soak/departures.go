package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// departurePause is the mean time between two requests of a leaver.
	departurePause = 50 * time.Millisecond
	// maxDepartureLag is how long after its caller has left a request may still reach an endpoint.
	maxDepartureLag = 500 * time.Millisecond
)

// departures records when callers left, and which of their requests reached an endpoint long after that. The zero value has none.
type departures struct {
	mu   sync.Mutex
	left map[string]time.Time
	late []lateArrival
}

// lateArrival is a request that reached an endpoint long after its caller had left.
type lateArrival struct {
	request, endpoint string
	left, arrived     time.Time
}

func (d *departures) leave(request string, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.left == nil {
		d.left = map[string]time.Time{}
	}
	d.left[request] = at
}

func (d *departures) arrived(request, endpoint string, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	left, known := d.left[request]
	if known && at.Sub(left) > maxDepartureLag {
		d.late = append(d.late, lateArrival{request, endpoint, left, at})
	}
}

// takeLate returns the late arrivals since the last call.
func (d *departures) takeLate() []lateArrival {
	d.mu.Lock()
	defer d.mu.Unlock()
	late := d.late
	d.late = nil
	return late
}

// runLeaver sends requests to a gateway, leaves before their responses, and checks that they are not sent on long after that,
// until ctx ends.
func (t *testbed) runLeaver(ctx context.Context, g *process) {
	for n := 0; ctx.Err() == nil; n++ {
		if err := t.sendAndLeave(ctx, g, fmt.Sprintf("leaver-%s-%d", g.name, n)); err != nil {
			time.Sleep(connectPause)
		}
		time.Sleep(departurePause)
		t.checkDepartures()
	}
}

// sendAndLeave sends a request and closes the connection.
func (t *testbed) sendAndLeave(ctx context.Context, g *process, id string) error {
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", g.apiAddress())
	if err != nil {
		return errors.Wrap(err, "open connection")
	}
	defer func() { _ = c.Close() }() // Closed below already if the request was sent.
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.apiAddress()+"/safe/x", strings.NewReader("body"))
	if err != nil {
		return errors.Wrap(err, "compose request")
	}
	setCallerHeaders(r, id, plainDeadline)
	if err := r.Write(c); err != nil {
		return errors.Wrap(err, "send request")
	}
	if err := c.Close(); err != nil {
		return errors.Wrap(err, "close connection")
	}
	t.recorder.count("left by their callers")
	t.recorder.departures.leave(id, time.Now())
	return nil
}

// checkDepartures reports the late arrivals that no disturbed endpoint or connection to one explains.
func (t *testbed) checkDepartures() {
	for _, late := range t.recorder.departures.takeLate() {
		if t.endpointsUndisturbed(late.left) {
			t.recorder.reportViolation("GONE %s reached %s %v after its caller had left", late.request, late.endpoint, late.arrived.Sub(late.left))
		}
	}
}
