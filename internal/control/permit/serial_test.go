package permit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/link/message"
)

// TestSerialsRiseAfterASilence guards against a gateway that ignores all permits for cold endpoints, since it was silent for so long that the
// allocator forgot it and numbered its grants from the beginning.
func TestSerialsRiseAfterASilence(t *testing.T) {
	var a Allocator
	start := time.Unix(1000, 0)
	cold := []Cold{{Endpoint: roster.Incarnation{ID: "e", StartedMs: 1}, Scope: "llm/m", PerSecond: 32}}
	grant := func(at time.Duration) uint64 {
		serial := uint64(0)
		for step := time.Duration(0); step < time.Second && serial == 0; step += 100 * time.Millisecond {
			now := start.Add(at + step)
			a.Report("g", message.LimitReport{}, func(roster.Incarnation) string { return "llm/m" }, now)
			a.GrantCold(cold, now)
			_, _, serial = a.TakeCold("g")
		}
		return serial
	}
	first := grant(0)
	require.Positive(t, first)
	a.Grant(start.Add(10*time.Second), func(roster.Incarnation) bool { return false })
	require.Empty(t, a.gateways)
	require.Greater(t, grant(10*time.Second), first)
}
