package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/lease"
	"github.com/egretreach/egretreach/internal/link/message"
)

var start = time.UnixMilli(1_000_000)

func info(i host.Incarnation) host.Info { return host.Info{ID: "a1", Incarnation: i} }

func renewal(i host.Incarnation) message.Renewal {
	return message.Renewal{Host: "a1", Incarnation: i, EngineHealthy: true}
}

// TestNewLeaderWaitsForLeasesOfFormerLeader checks that a host which has not renewed
// with the new leader is not lost before every lease of the former leader has expired.
func TestNewLeaderWaitsForLeasesOfFormerLeader(t *testing.T) {
	table := New(start, ttl)
	table.RecordAdmitted(start, host.RoleAgent, info(1))
	settled := start.Add(lease.GrantorDuration(ttl))
	require.Empty(t, table.ExpireLeases(settled.Add(-time.Millisecond)))
	require.True(t, table.Daemon("a1").Alive)
	require.Equal(t, []host.ID{"a1"}, table.ExpireLeases(settled))
	require.False(t, table.Daemon("a1").Alive)
	require.Equal(t, 1, table.Daemon("a1").Losses(settled))
	require.Zero(t, table.Daemon("a1").Losses(settled.Add(time.Hour)))
}

// TestNewLeaderGrantsAdmittedIncarnationAtOnce checks that the hosts keep their leases
// over a change of leader, so that the fleet continues to serve.
func TestNewLeaderGrantsAdmittedIncarnationAtOnce(t *testing.T) {
	table := New(start, ttl)
	table.RecordAdmitted(start, host.RoleAgent, info(1))
	table.Announce(start, host.RoleAgent, info(1))
	require.True(t, table.Renew(start, renewal(1)))
	require.False(t, table.Renew(start, renewal(2)))
}

// TestSecondProcessWaitsForLeaseOfFirst checks a second process on a host after a
// restart without a goodbye, after one with it, and when it ends its session again.
func TestSecondProcessWaitsForLeaseOfFirst(t *testing.T) {
	at := start.Add
	table := New(start, ttl)
	table.Announce(at(0), host.RoleAgent, info(1))
	require.Len(t, table.Admissible(at(0)), 1, "no process can hold a lease yet")
	table.RecordAdmitted(at(0), host.RoleAgent, info(1))
	require.True(t, table.Renew(at(time.Second), renewal(1)))

	table.Announce(at(2*time.Second), host.RoleAgent, info(2))
	require.False(t, table.Renew(at(2*time.Second), renewal(1)), "the first process gets no more grants")
	free := at(time.Second).Add(lease.GrantorDuration(ttl))
	require.Empty(t, table.Admissible(free.Add(-time.Millisecond)))
	require.Len(t, table.Admissible(free), 1)
	table.SessionEnded("a1", 2)
	require.Empty(t, table.Admissible(free))
	require.True(t, table.Renew(free, renewal(1)), "the first continues after the session of the second ended")

	table.Announce(free, host.RoleAgent, info(3))
	table.Goodbye(free, "a1", 1, false)
	require.Len(t, table.Admissible(free), 1, "the first has given up its lease")
	require.False(t, table.Daemon("a1").Alive)
}
