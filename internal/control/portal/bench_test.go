package portal

import (
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/egretreach/egretreach/internal/fleet/roster"
)

// BenchmarkAnnounce measures how long 200 of 800 endpoints wait that announce themselves at once to five control hosts with real disks: as
// ready, which is kept in memory, and as draining, which is kept in the log.
func BenchmarkAnnounce(b *testing.B) {
	const endpoints, atOnce = 800, 200
	for name, state := range map[string]roster.State{"ready": roster.StateReady, "draining": roster.StateDraining} {
		b.Run(name, func(b *testing.B) {
			c := &cluster{t: b}
			for i := range 5 {
				c.add(i)
			}
			for _, n := range c.nodes {
				c.start(n, true)
			}
			c.put("1:first")
			incarnation := int64(endpoints)
			for b.Loop() {
				incarnation++
				var all errgroup.Group
				for i := range atOnce {
					e := engine(i%endpoints, 1)
					e.StartedMs, e.State = incarnation, state
					all.Go(func() error { return c.nodes[i%len(c.nodes)].Announce(b.Context(), e) })
				}
				require.NoError(b, all.Wait())
			}
			b.StopTimer()
			for _, n := range c.nodes {
				n.stop()
			}
		})
	}
}
