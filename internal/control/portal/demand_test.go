package portal

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/link/message"
)

// reportDemand adds reports of a model that keeps two replicas busy, one each interval, and returns the time of the last.
func reportDemand(d *demandAverage, from time.Time, duration time.Duration) time.Time {
	const interval = 100 * time.Millisecond
	now := from
	for ; now.Before(from.Add(duration)); now = now.Add(interval) {
		d.add([]message.Demand{{Model: "m", EngineTime: 2 * interval}}, now)
	}
	return now
}

// TestGapIsNoTimeWithoutDemand guards against a leader that closes replicas since it takes the time in which another host led, and got the
// reports of the gateways, or in which all gateways were down, for a time without requests.
func TestGapIsNoTimeWithoutDemand(t *testing.T) {
	var d demandAverage
	now := reportDemand(&d, time.Unix(1_000_000, 0), demandWindow/2)
	require.Nil(t, d.replicas(now), "too few reports")
	now = reportDemand(&d, now, demandWindow)
	require.InDelta(t, 2, d.replicas(now)["m"], 0.3)
	for _, gap := range []time.Duration{2 * demandGap, 3 * demandWindow} {
		now = now.Add(gap)
		require.InDelta(t, 2, d.replicas(now)["m"], 0.3, "silence of %v", gap)
		now = reportDemand(&d, now, demandWindow/2)
		require.InDelta(t, 2, d.replicas(now)["m"], 0.3, "half a window after %v", gap)
		now = reportDemand(&d, now, demandWindow)
		require.InDelta(t, 2, d.replicas(now)["m"], 0.3)
	}
}

// TestDemandForModelsOfTheConfigurationCounts guards against a portal whose memory grows with the names of models that callers choose.
func TestDemandForModelsOfTheConfigurationCounts(t *testing.T) {
	table, err := decode([]byte("1:one"))
	require.NoError(t, err)
	demand := []message.Demand{{Model: "invented"}, {Model: "m", EngineTime: time.Second}, {Model: ""}}
	p := Portal{}
	require.Empty(t, p.knownModels(demand))
	p.table = table
	require.Equal(t, []message.Demand{{Model: "m", EngineTime: time.Second}}, p.knownModels(demand))
}
