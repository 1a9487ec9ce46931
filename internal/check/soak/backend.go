package main

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/platform/standin"
)

// backend is an address with a proxy, and the successive endpoints that serve behind it.
type backend struct {
	name           string
	failureDomain  string
	proxy          *proxy
	testbed        *testbed
	mu             sync.Mutex
	incarnations   int
	endpoint       *standin.Endpoint
	stopAnnouncing context.CancelFunc
	// lastChange is when an endpoint last started, drained or ended, and lastCrash when one last
	// ended.
	lastChange, lastCrash time.Time
	// limitedTill is the end of the time for which the endpoint names a limit.
	limitedTill time.Time
}

// endpointID returns the ID of the latest endpoint. mu is held.
func (b *backend) endpointID() string { return fmt.Sprintf("%s-%d", b.name, b.incarnations) }

// endpointsUndisturbed reports whether no endpoint and no proxy has been disturbed since a time.
func (t *testbed) endpointsUndisturbed(since time.Time) bool {
	for _, b := range t.backends {
		b.mu.Lock()
		changed := b.lastChange
		b.mu.Unlock()
		if !b.proxy.undisturbed(since) || !changed.Before(since) {
			return false
		}
	}
	return true
}

// backendsUndisturbed reports whether the connections of the endpoints that ran a request are
// undisturbed since a time, and none of them has ended. It checks all if the request didn't run.
func (t *testbed) backendsUndisturbed(ran []string, since time.Time) bool {
	for _, b := range t.backends {
		concerned := len(ran) == 0 || slices.ContainsFunc(ran, b.owns)
		if concerned && b.disturbedSince(since) {
			return false
		}
	}
	return true
}

// owns reports whether an endpoint ran behind the backend's address.
func (b *backend) owns(endpoint string) bool { return strings.HasPrefix(endpoint, b.name+"-") }

// disturbedSince reports whether an endpoint ended or the proxy held back or reset bytes since a time.
func (b *backend) disturbedSince(since time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.proxy.undisturbed(since) || !b.lastCrash.Before(since)
}

// silence makes the endpoint send nothing for a duration.
func (b *backend) silence(duration time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.endpoint != nil {
		b.endpoint.Silence(duration)
	}
}

// leave makes the endpoint say in its responses that it leaves.
func (b *backend) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.endpoint != nil {
		b.endpoint.Leave()
	}
}

// busy makes the endpoint refuse all requests for a duration.
func (b *backend) busy(duration time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.endpoint != nil {
		b.endpoint.Busy(duration)
	}
}

// unframedShare is the share of unframed responses.
const unframedShare = 0.4

// start starts a new endpoint behind the proxy, unless one runs.
func (b *backend) start(ctx context.Context) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.endpoint != nil {
		return nil
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", b.testbed.addressPrefix+".99:0")
	if err != nil {
		return errors.Wrap(err, "listen for endpoint")
	}
	b.incarnations++
	b.endpoint = standin.NewEndpoint(b.endpointID(), standin.ServiceName, listener, b.testbed.recorder)
	b.endpoint.SetFaults(b.testbed.responseFaults)
	stage := standin.CrashStage(b.incarnations % (int(standin.CrashAfterEvent) + 1)) //nolint:gosec // At most 2.
	b.endpoint.CrashOn(stage, func() { b.crashUnderRequest(context.WithoutCancel(ctx)) }, badPart)
	if err := b.proxy.setTarget(listener.Addr().String()); err != nil {
		return err
	}
	announceCtx, stopAnnouncing := context.WithCancel(ctx)
	b.stopAnnouncing, b.lastChange = stopAnnouncing, time.Now()
	go b.endpoint.Announce(announceCtx, b.proxy.address, b.failureDomain, b.testbed.portalAPIs())
	return nil
}

// crash ends the endpoint without draining.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.endpoint == nil {
		return
	}
	b.stopAnnouncing()
	_ = b.proxy.setTarget("") // Closing a listener doesn't fail.
	b.endpoint.Crash()
	b.endpoint, b.lastChange = nil, time.Now()
	b.lastCrash = b.lastChange
}

// drain makes the endpoint announce that it is draining.
func (b *backend) drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.endpoint != nil {
		b.endpoint.Drain()
		b.lastChange = time.Now()
	}
}
