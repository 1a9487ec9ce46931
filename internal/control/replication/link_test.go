package replication

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/link/message"
)

// TestPeerIsReachedAtItsNewAddressAtOnce moves a host to another address while the leader tries to connect to the old one, and while it
// waits before its next attempt. It guards against a host that gets nothing of the log until the attempt to its old address, or the pause
// after it, has ended.
func TestPeerIsReachedAtItsNewAddressAtOnce(t *testing.T) {
	// The attempts to connect to a silent address last longer than each of these times.
	for _, absence := range []time.Duration{1700 * time.Millisecond, 2 * time.Second, 2500 * time.Millisecond, 3 * time.Second, 3500 * time.Millisecond} {
		t.Run(absence.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3)
				c.startAll()
				leader := c.leader()
				c.propose(leader, "first")
				moved := c.other(leader)
				c.hosts[moved].stop()
				time.Sleep(absence)

				c.addresses[moved] = "10.0.0.9:7000"
				for _, h := range c.hosts {
					h.log.opts.Voters.Learn([]message.Founder{{Host: moved, Address: c.addresses[moved], Sequence: 1}}, "test")
				}
				c.start(moved)
				time.Sleep(2 * c.hosts[leader].log.timing.HeartbeatInterval)
				require.Equal(t, leader, c.hosts[moved].log.Status().Leader)
				c.stopAll()
			})
		})
	}
}
