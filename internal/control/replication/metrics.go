package replication

import (
	"github.com/egretreach/egretreach/internal/control/quorum"
	"github.com/egretreach/egretreach/internal/telemetry/metric"
)

// RegisterMetrics registers the gauges of a log's memory. status returns the status of the log that runs, or the zero Status if none does.
func RegisterMetrics(r *metric.Registry, status func() Status) {
	memory := func(name, help string, of func(quorum.Memory) int) {
		r.GaugeFunc(name, help, func() float64 { return float64(of(status().Memory)) })
	}
	memory("log_entries_bytes", "Entries of the replicated log in memory.", func(m quorum.Memory) int { return m.Entries })
	memory("log_uncommitted_bytes", "Entries that no majority holds yet.", func(m quorum.Memory) int { return m.Uncommitted })
	memory("log_pending_bytes", "Entries that wait for the disk.", func(m quorum.Memory) int { return m.Pending })
	memory("log_snapshot_bytes", "The latest snapshot, in memory.", func(m quorum.Memory) int { return m.Snapshot })
	memory("log_incoming_bytes", "What has arrived of the leader's snapshot.", func(m quorum.Memory) int { return m.Incoming })
	r.GaugeFunc("log_unacked_bytes", "The most that was sent to one control host and not acknowledged; at the leader.", func() float64 {
		most := 0
		for _, p := range status().Peers {
			most = max(most, p.UnackedBytes)
		}
		return float64(most)
	})
}
