package server

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/control/quorum"
	"github.com/egretreach/egretreach/internal/fleet/config"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/lease"
	"github.com/egretreach/egretreach/internal/link/message"
	link "github.com/egretreach/egretreach/internal/link/session"
)

// configTimeout is the time within which every daemon must have a new configuration in force.
const configTimeout = 5 * time.Second

// runFleet runs a test in virtual time against three control hosts.
func runFleet(t *testing.T, test func(t *testing.T, f *testFleet)) {
	runFleetWithTiming(t, Timing{}, quorum.Timing{}, test)
}

func runFleetWithTiming(t *testing.T, timing Timing, quorumTiming quorum.Timing, test func(t *testing.T, f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t)
		f.timing, f.quorumTiming = timing, quorumTiming
		f.startControls("c1", "c2", "c3")
		f.waitLeader()
		test(t, f)
	})
}

func defaultConfig() string { return string(config.DefaultYAML()) }

// configVariant returns the default configuration with a comment that contains n.
func configVariant(n int) string { return fmt.Sprintf("# change %d\n%s", n, defaultConfig()) }

// inForce reports whether every daemon has a valid lease and exactly this revision.
func (f *testFleet) inForce(revision view.Revision) bool {
	for _, d := range f.daemons {
		if d.session.Revision() != revision || !d.session.Valid() {
			return false
		}
	}
	return true
}

// TestReplicasFormAndEntriesSeeThem runs four agents and an entry with real sessions. A
// configuration must come into force, two replicas must form and the entry must see them as
// serving.
func TestReplicasFormAndEntriesSeeThem(t *testing.T) {
	runFleet(t, func(t *testing.T, f *testFleet) {
		f.startAgents("fabric-1", "a1", "a2", "a3", "a4")
		entry := f.startEntry("e1")
		result := f.applyConfig(defaultConfig(), 0, "change-1")
		require.True(t, result.Accepted, "%+v", result)
		time.Sleep(configTimeout)
		require.True(t, f.inForce(result.Revision))
		seen := entry.lastView()
		require.Len(t, seen.Routes, 2)
		for _, r := range seen.Routes {
			require.Equal(t, replica.StateServing, r.Replica.State)
			require.Len(t, r.Replica.Hosts, 2)
		}
		status := f.call(&message.StatusQuery{}).(*message.StatusResult)
		require.Equal(t, 2, status.Deployments[0].Serving)
		require.Len(t, status.Hosts, 5)
		require.Len(t, status.Control, 3)
	})
}

// TestOneOfTwoConcurrentChangesIsAccepted applies two changes on the same revision. One must be
// accepted, and the conflict of the other must name it. Sent again to the next leader, the first
// must be accepted with the same revision and the other must be refused.
func TestOneOfTwoConcurrentChangesIsAccepted(t *testing.T) {
	runFleet(t, func(t *testing.T, f *testFleet) {
		answers := make(chan *message.ApplyResult, 2)
		for n := range 2 {
			f.running.Go(func() { answers <- f.applyConfig(configVariant(n), 0, fmt.Sprint("change-", n)) })
		}
		first, second := <-answers, <-answers
		if !first.Accepted {
			first, second = second, first
		}
		require.True(t, first.Accepted)
		require.False(t, second.Accepted)
		winner := 0
		if strings.Contains(second.Conflict, "change-1") {
			winner = 1
		}
		require.Contains(t, second.Conflict, fmt.Sprint("change-", winner))
		f.servers[f.waitLeader()].stop()
		again := f.applyConfig(configVariant(winner), 0, fmt.Sprint("change-", winner))
		require.True(t, again.Accepted, "%+v", again)
		require.Equal(t, first.Revision, again.Revision)
		loser := f.applyConfig(configVariant(1-winner), 0, fmt.Sprint("change-", 1-winner))
		require.False(t, loser.Accepted)
	})
}

// TestRevisionsNeverDecrease applies changes while the leader is cut off and while control hosts
// are restarted. testFleet checks the revisions of every daemon at the end of the test.
func TestRevisionsNeverDecrease(t *testing.T) {
	runFleet(t, func(t *testing.T, f *testFleet) {
		agents := f.startAgents("fabric-1", "a1", "a2")
		f.startEntry("e1")
		base := view.Revision(0)
		change := func() {
			result := f.applyConfig(configVariant(int(base)), base, fmt.Sprint("change-", base))
			require.True(t, result.Accepted, "%+v", result)
			base = result.Revision
		}
		change()
		time.Sleep(configTimeout)
		oldLeader := f.waitLeader()
		for _, d := range append(f.daemons, &testDaemon{info: host.Info{ID: "c1"}}, &testDaemon{info: host.Info{ID: "c2"}}, &testDaemon{info: host.Info{ID: "c3"}}) {
			if d.info.ID != oldLeader && d != agents[0] {
				f.cut(oldLeader, d.info.ID)
			}
		}
		time.Sleep(10 * time.Second)
		require.False(t, agents[0].session.Valid() && agents[0].session.Revision() < base)
		change()
		time.Sleep(configTimeout)
		require.True(t, f.inForce(base), "the agent has found the new leader")
		for id := range f.servers {
			f.heal(oldLeader, id)
		}
		for _, d := range f.daemons {
			f.heal(oldLeader, d.info.ID)
		}
		change()
		time.Sleep(configTimeout)
		require.True(t, f.inForce(base))
		for id, c := range f.servers {
			c.stop()
			f.startControl(id)
			time.Sleep(3 * time.Second)
			change()
		}
		time.Sleep(configTimeout)
		require.True(t, f.inForce(base))
	})
}

// TestControlHostPartitionedForAnHourCatchesUp partitions a follower for an hour and a hundred
// changes. When it is back, leader and term must be unchanged, the follower must catch up, and no
// daemon may return to an old revision.
func TestControlHostPartitionedForAnHourCatchesUp(t *testing.T) {
	timing := Timing{LeaseTTL: 15 * time.Second, RenewInterval: 5 * time.Second, ReconcileInterval: 5 * time.Second}
	quorumTiming := quorum.Timing{HeartbeatInterval: 2 * time.Second, ElectionTimeout: 10 * time.Second}
	runFleetWithTiming(t, timing, quorumTiming, func(t *testing.T, f *testFleet) {
		f.startAgent("fabric-1", "a1", 1)
		f.applyConfig(configVariant(0), 0, "change-0")
		cutOff := host.ID("c1")
		if f.waitLeader() == cutOff {
			cutOff = "c2"
		}
		for id := range f.servers {
			if id != cutOff {
				f.cut(cutOff, id)
			}
		}
		for n := 1; n <= 100; n++ {
			require.True(t, f.applyConfig(configVariant(n), view.Revision(n), fmt.Sprint("change-", n)).Accepted)
			time.Sleep(36 * time.Second)
		}
		before := f.servers[f.waitLeader()].log.Status()
		for id := range f.servers {
			f.heal(cutOff, id)
		}
		// Heartbeats are ten times slower here than by default, where configTimeout is 25 of them.
		time.Sleep(5 * quorumTiming.HeartbeatInterval)
		after := f.servers[f.waitLeader()].log.Status()
		require.Equal(t, before.Leader, after.Leader)
		require.Equal(t, before.Term, after.Term)
		require.Equal(t, after.Match[before.Leader], after.Match[cutOff], "the follower has caught up")
		require.True(t, f.inForce(101))
	})
}

// TestPartitionedDaemonStopsWithinItsLease partitions an agent while the configuration changes. Its
// session must be invalid when the lease has expired, and until the agent has the new revision.
func TestPartitionedDaemonStopsWithinItsLease(t *testing.T) {
	runFleet(t, func(t *testing.T, f *testFleet) {
		agent := f.startAgent("fabric-1", "a1", 1)
		f.applyConfig(configVariant(0), 0, "change-0")
		time.Sleep(configTimeout)
		require.True(t, agent.session.Valid())
		for id := range f.servers {
			f.cut("a1", id)
		}
		time.Sleep(lease.HolderDuration(DefaultLeaseTTL))
		require.False(t, agent.session.Valid())
		f.applyConfig(configVariant(1), 1, "change-1")
		for id := range f.servers {
			f.heal("a1", id)
		}
		for range 100 {
			time.Sleep(configTimeout / 100)
			require.False(t, agent.session.Valid() && agent.session.Revision() < 2, "serves an old revision")
		}
		require.True(t, f.inForce(2))
	})
}

// TestSecondProcessWaitsForLeaseOfFirst starts a second process on a host. It may get a lease only
// when that of the first process has expired. The first process must be notified that it is
// superseded.
func TestSecondProcessWaitsForLeaseOfFirst(t *testing.T) {
	runFleet(t, func(t *testing.T, f *testFleet) {
		f.applyConfig(defaultConfig(), 0, "change-0")
		first := f.startAgent("fabric-1", "a1", 1)
		time.Sleep(configTimeout)
		require.True(t, first.session.Valid())
		second := f.startDaemon(&testDaemon{role: host.RoleAgent, info: host.Info{ID: "a1", Incarnation: 2}}, "10.9.9.9:7000")
		for range 100 {
			time.Sleep(2 * configTimeout / 100)
			require.False(t, first.session.Valid() && second.session.Valid())
		}
		require.True(t, second.session.Valid())
		first.mu.Lock()
		defer first.mu.Unlock()
		require.Equal(t, codeSuperseded, first.failures[0].Code)
	})
}

// TestCertificatesLimitCalls checks that the role and the host in a peer's certificate limit its
// calls.
func TestCertificatesLimitCalls(t *testing.T) {
	runFleet(t, func(t *testing.T, f *testFleet) {
		agent, entry := f.startAgent("fabric-1", "a1", 1), f.startEntry("e1")
		operator, closeSocket := f.newOperator()
		defer closeSocket()
		for _, c := range []struct {
			from interface {
				Call(ctx context.Context, m message.Message) (message.Message, error)
			}
			call message.Message
			code string
		}{
			{agent.session, &message.ApplyConfig{}, codeForbidden},
			{entry.session, &message.Drain{Host: "a1"}, codeForbidden},
			{operator, &message.Claim{}, codeForbidden},
			{agent.session, &message.Settle{}, codeForbidden},
			{entry.session, &message.CrashReport{}, codeForbidden},
			{agent.session, &message.Quorum{}, codeForbidden},
			{operator, &message.Announce{}, codeForbidden},
			{agent.session, &message.Announce{Role: host.RoleAgent, Info: host.Info{ID: "a2", Incarnation: 9}}, codeForbidden},
			{agent.session, &message.Announce{Role: host.RoleEntry, Info: host.Info{ID: "a1", Incarnation: 9}}, codeForbidden},
			{operator, &message.Drain{Host: "nobody"}, codeRefused},
			{operator, &message.ConfigQuery{Revision: 9}, codeNotFound},
			{operator, &message.Beat{}, codeMalformed},
		} {
			ctx, cancel := context.WithTimeout(f.ctx, configTimeout)
			_, err := c.from.Call(ctx, c.call)
			cancel()
			var refused link.ErrRefused
			require.ErrorAs(t, err, &refused, "%T", c.call)
			require.Equal(t, c.code, refused.Code, "%T", c.call)
		}
	})
}

// TestLostHostsAreForgottenAfterAWeek guards against the unbounded growth of the replicated state
// of a fleet whose hosts are replaced over time.
func TestLostHostsAreForgottenAfterAWeek(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 3)
		s.configure(defaultConfig())
		s.run(4)
		s.agents[2].unreachable = true
		s.run(12)
		time.Sleep(forgetAfter)
		s.agents[0].unreachable, s.agents[1].unreachable = false, false
		s.run(2)
		require.Len(t, s.leader.table.Daemons(), 2)
		status := s.leader.status()
		require.Len(t, status.Hosts, 2)
	})
}

// sleep waits in the virtual time of the test.
func sleep(d time.Duration) { time.Sleep(d) }
