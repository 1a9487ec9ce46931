package server

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/team"
)

// TestRenewalsInARowReportTheSameDemand guards against an entry that reports a single request between two renewals which follow
// each other at once as a demand of thousands a second, and so gets the other entries' shares of a team's limit.
func TestRenewalsInARowReportTheSameDemand(t *testing.T) {
	sched := newScheduler(rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1000, 0)
	offer := func() { _, _ = sched.quota.Take(now, team.ID("t"), 1) }
	sched.renewal(now)
	offer()
	now = now.Add(500 * time.Millisecond)
	require.InDelta(t, 2, sched.renewal(now).Demand["t"], 0.01)
	offer()
	now = now.Add(time.Millisecond)
	require.InDelta(t, 2, sched.renewal(now).Demand["t"], 0.01)
	now = now.Add(499 * time.Millisecond)
	require.InDelta(t, 2, sched.renewal(now).Demand["t"], 0.01)
}
