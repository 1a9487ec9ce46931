//go:build callers

package callers

import (
	"bytes"
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/platform"
	"github.com/egretreach/egretreach/platform/standin"
)

const (
	// coreMemory is the memory of a host with a portal, in bytes.
	coreMemory = 280_000_000
	// changeCount and changeBytes are the number of changes and the size of the configuration.
	changeCount = 360
	changeBytes = 844 << 10
	// stallPeriod is the number of changes in which one portal stands still during stallLength of them, the portals in turn.
	stallPeriod = 40
	stallLength = 10
	// putTimeout is the time after which an operator tries the next portal.
	putTimeout = time.Second
)

// putLarge sends a version of a large configuration to the portals in turn until one acknowledges it.
func (s *system) putLarge(t *testing.T, version int) {
	document := append(standin.ConfigDocument(uint64(version)), bytes.Repeat([]byte(" "), changeBytes)...)
	next := version
	waitFor(t, fmt.Sprint("version ", version, " is acknowledged"), func() bool {
		next++
		ctx, cancel := context.WithTimeout(t.Context(), putTimeout)
		defer cancel()
		return platform.Client{Address: s.portalAPIs[next%len(s.portalAPIs)]}.PutTable(ctx, document) == nil
	})
}

// TestPortalsStayWithinTheirMemoryBesideChanges guards against portals that grow by the size of a configuration with each change, until all
// of them are killed at nearly the same time, and against a portal that stands still and so lets the others grow.
func TestPortalsStayWithinTheirMemoryBesideChanges(t *testing.T) {
	s := startSystemOf(t, callerSettings("gateway"), fmt.Sprintf("memory: {process: %dB}\n", coreMemory))
	for version := 2; version <= changeCount; version++ {
		stalled := s.portals[version/stallPeriod%len(s.portals)]
		switch version % stallPeriod {
		case 0:
			require.NoError(t, stalled.command.Process.Signal(syscall.SIGSTOP))
		case stallLength:
			require.NoError(t, stalled.command.Process.Signal(syscall.SIGCONT))
		}
		s.putLarge(t, version)
	}
	for i, p := range s.portals {
		require.True(t, p.lives(), "portal %d has exited", i+1)
		peak := p.peakMemory(t)
		t.Logf("portal %d: peak %d MB", i+1, peak/1_000_000)
		require.LessOrEqual(t, peak, coreMemory)
	}
}
