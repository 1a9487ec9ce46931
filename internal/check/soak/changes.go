package main

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

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
