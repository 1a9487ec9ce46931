package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/egretreach/egretreach/platform"
	"github.com/egretreach/egretreach/platform/standin"
)

// versionInterval is the mean time between two changes of the configuration.
const versionInterval = 500 * time.Millisecond

// putNextVersion sends the next configuration version to a portal, and reports whether the portal
// acknowledged it.
func (t *testbed) putNextVersion(ctx context.Context, portal int) bool {
	version := t.sentVersion.Add(1)
	sent := t.changeSent()
	err := standin.PutVersion(ctx, t.portals[portal%len(t.portals)].apiAddress(), version)
	t.changeSettled(sent)
	if err != nil {
		return false // It may be in force all the same, but need not be.
	}
	for {
		acked := t.ackedVersion.Load()
		if acked >= version || t.ackedVersion.CompareAndSwap(acked, version) {
			return true
		}
	}
}

// changeConfig changes the configuration and reads it back until ctx ends.
func (t *testbed) changeConfig(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		if t.putNextVersion(ctx, rng.IntN(portalCount)) {
			t.recorder.count("versions")
		}
		t.readBack(ctx, t.portals[rng.IntN(portalCount)])
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(versionInterval)))
	}
}

const (
	// addedRouteInterval is the mean time between two requests on a route that was just added.
	addedRouteInterval = 40 * time.Millisecond
	// addedRouteTimeout bounds one of them.
	addedRouteTimeout = 2 * time.Second
)

// requestAddedRoutes sends requests on the route that the latest acknowledged version has added, to all gateways in
// whatever state they are, until ctx ends. None may be denied with 404.
func (t *testbed) requestAddedRoutes(ctx context.Context, rng *rand.Rand) {
	client := &http.Client{Timeout: addedRouteTimeout}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		t.requestAddedRoute(ctx, client, t.gateways[rng.IntN(gatewayCount)], fmt.Sprint("added-", n))
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(addedRouteInterval)))
	}
}

func (t *testbed) requestAddedRoute(ctx context.Context, client *http.Client, to *process, id string) {
	acked := t.ackedVersion.Load()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+to.apiAddress()+standin.VersionPath(acked), http.NoBody)
	if err != nil {
		return
	}
	setCallerHeaders(r, id, addedRouteTimeout)
	response, err := client.Do(r)
	if err != nil {
		return // The checks of the callers tell which responses must come.
	}
	_ = response.Body.Close()
	t.recorder.count(fmt.Sprint("added ", response.StatusCode))
	if response.StatusCode == http.StatusNotFound && response.Header.Get(platform.Dialect().Headers.Signature) == "" {
		t.recorder.reportViolation("%s denies the route of version %d, which was acknowledged before the request %s", to.name, acked, id)
	}
}

// readBack reads the configuration, whose version must not be older than the highest one
// acknowledged before. It reports whether the portal responded.
func (t *testbed) readBack(ctx context.Context, from *process) bool {
	acked := t.ackedVersion.Load()
	version, err := standin.GetVersion(ctx, from.apiAddress())
	if err != nil {
		return false
	}
	if version < acked {
		t.recorder.reportViolation("%s reads version %d after %d was acknowledged", from.name, version, acked)
	}
	return true
}

// changeSent records the sending of a configuration, and returns its index.
func (t *testbed) changeSent() int {
	t.changesMu.Lock()
	defer t.changesMu.Unlock()
	t.changes = append(t.changes, change{sent: time.Now()})
	return len(t.changes) - 1
}

// changeSettled records that a configuration was acknowledged or refused, or got no response.
func (t *testbed) changeSettled(index int) {
	t.changesMu.Lock()
	defer t.changesMu.Unlock()
	t.changes[index].settled = time.Now()
}

func (t *testbed) changesSoFar() []change {
	t.changesMu.Lock()
	defer t.changesMu.Unlock()
	return slices.Clone(t.changes)
}
