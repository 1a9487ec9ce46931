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

// reach is the time within which a configuration is in force in every daemon.
const reach = 5 * time.Second

// runFleet runs a test in virtual time against three control hosts.
func runFleet(t *testing.T, test func(t *testing.T, f *testFleet)) {
	runFleetAt(t, Timing{}, quorum.Timing{}, test)
}

func runFleetAt(t *testing.T, timing Timing, pace quorum.Timing, test func(t *testing.T, f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t)
		f.timing, f.quorum = timing, pace
		f.controls("c1", "c2", "c3")
		f.leader()
		test(t, f)
	})
}

func defaultConfig() string { return string(config.DefaultYAML()) }

// revised returns a configuration that differs from others by n.
func revised(n int) string { return fmt.Sprintf("# change %d\n%s", n, defaultConfig()) }

func (f *testFleet) inForce(revision view.Revision) bool {
	for _, d := range f.daemons {
		if d.session.Revision() != revision || !d.session.Valid() {
			return false
		}
	}
	return true
}

// TestFleetForms runs real sessions: agents announce themselves, a configuration
// is accepted and put in force, replicas form and entries see them.
func TestFleetForms(t *testing.T) {
	runFleet(t, func(t *testing.T, f *testFleet) {
		f.agents("fabric-1", "a1", "a2", "a3", "a4")
		entry := f.entry("e1")
		result := f.apply(defaultConfig(), 0, "change-1")
		require.True(t, result.Accepted, "%+v", result)
		time.Sleep(reach)
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

// TestOperatorsRace: two operators offer changes on one revision. One wins, the
// other's conflict names the winner, and a resend gets the first answer, also from
// the next leader.
func TestOperatorsRace(t *testing.T) {
	runFleet(t, func(t *testing.T, f *testFleet) {
		answers := make(chan *message.ApplyResult, 2)
		for n := range 2 {
			f.running.Go(func() { answers <- f.apply(revised(n), 0, fmt.Sprint("change-", n)) })
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
		f.servers[f.leader()].stop()
		again := f.apply(revised(winner), 0, fmt.Sprint("change-", winner))
		require.True(t, again.Accepted, "%+v", again)
		require.Equal(t, first.Revision, again.Revision)
		loser := f.apply(revised(1-winner), 0, fmt.Sprint("change-", 1-winner))
		require.False(t, loser.Accepted)
	})
}

// TestRevisionsNeverFall applies changes while control hosts and daemons are cut
// off, stop and come back. The fleet's Cleanup checks every daemon's revisions.
func TestRevisionsNeverFall(t *testing.T) {
	runFleet(t, func(t *testing.T, f *testFleet) {
		agents := f.agents("fabric-1", "a1", "a2")
		f.entry("e1")
		base := view.Revision(0)
		change := func() {
			result := f.apply(revised(int(base)), base, fmt.Sprint("change-", base))
			require.True(t, result.Accepted, "%+v", result)
			base = result.Revision
		}
		change()
		time.Sleep(reach)
		old := f.leader()
		for _, d := range append(f.daemons, &daemon{info: host.Info{ID: "c1"}}, &daemon{info: host.Info{ID: "c2"}}, &daemon{info: host.Info{ID: "c3"}}) {
			if d.info.ID != old && d != agents[0] {
				f.cut(old, d.info.ID)
			}
		}
		time.Sleep(10 * time.Second)
		require.False(t, agents[0].session.Valid() && agents[0].session.Revision() < base)
		change()
		time.Sleep(reach)
		require.True(t, f.inForce(base), "the cut-off leader grants nothing; the agent finds the new one")
		for id := range f.servers {
			f.heal(old, id)
		}
		for _, d := range f.daemons {
			f.heal(old, d.info.ID)
		}
		change()
		time.Sleep(reach)
		require.True(t, f.inForce(base))
		for id, c := range f.servers {
			c.stop()
			f.startControl(id)
			time.Sleep(3 * time.Second)
			change()
		}
		time.Sleep(reach)
		require.True(t, f.inForce(base))
	})
}

// TestControlHostSilentForAnHour: a control host on the far side of a partition
// comes back after an hour and a hundred changes. It unseats nobody, catches up and
// brings no old revision.
func TestControlHostSilentForAnHour(t *testing.T) {
	slow := Timing{LeaseTTL: 15 * time.Second, RenewInterval: 5 * time.Second, ReconcileInterval: 5 * time.Second}
	pace := quorum.Timing{HeartbeatInterval: 2 * time.Second, ElectionTimeout: 10 * time.Second}
	runFleetAt(t, slow, pace, func(t *testing.T, f *testFleet) {
		f.agent("fabric-1", "a1", 1)
		f.apply(revised(0), 0, "change-0")
		silent := host.ID("c1")
		if f.leader() == silent {
			silent = "c2"
		}
		for id := range f.servers {
			if id != silent {
				f.cut(silent, id)
			}
		}
		for n := 1; n <= 100; n++ {
			require.True(t, f.apply(revised(n), view.Revision(n), fmt.Sprint("change-", n)).Accepted)
			time.Sleep(36 * time.Second)
		}
		before := f.servers[f.leader()].log.Status()
		for id := range f.servers {
			f.heal(silent, id)
		}
		// At the default pace, reach is 25 heartbeats; this pace is ten times slower.
		time.Sleep(5 * pace.HeartbeatInterval)
		after := f.servers[f.leader()].log.Status()
		require.Equal(t, before.Leader, after.Leader)
		require.Equal(t, before.Term, after.Term)
		require.Equal(t, after.Match[before.Leader], after.Match[silent], "it has caught up")
		require.True(t, f.inForce(101))
	})
}

// TestCutOffDaemonStopsWithinItsLease: a daemon that cannot confirm its revision
// takes no new work once its lease has lapsed, and none before it has the new one.
func TestCutOffDaemonStopsWithinItsLease(t *testing.T) {
	runFleet(t, func(t *testing.T, f *testFleet) {
		agent := f.agent("fabric-1", "a1", 1)
		f.apply(revised(0), 0, "change-0")
		time.Sleep(reach)
		require.True(t, agent.session.Valid())
		for id := range f.servers {
			f.cut("a1", id)
		}
		time.Sleep(lease.HolderDuration(DefaultLeaseTTL))
		require.False(t, agent.session.Valid())
		f.apply(revised(1), 1, "change-1")
		for id := range f.servers {
			f.heal("a1", id)
		}
		for range 100 {
			time.Sleep(reach / 100)
			require.False(t, agent.session.Valid() && agent.session.Revision() < 2, "serves an old revision")
		}
		require.True(t, f.inForce(2))
	})
}

// TestSecondProcessOfAHost: a second process takes the place over only after the
// lease of the first, which is told so and stays out.
func TestSecondProcessOfAHost(t *testing.T) {
	runFleet(t, func(t *testing.T, f *testFleet) {
		f.apply(defaultConfig(), 0, "change-0")
		first := f.agent("fabric-1", "a1", 1)
		time.Sleep(reach)
		require.True(t, first.session.Valid())
		second := f.start(&daemon{role: host.RoleAgent, info: host.Info{ID: "a1", Incarnation: 2}}, "10.9.9.9:7000")
		for range 100 {
			time.Sleep(2 * reach / 100)
			require.False(t, first.session.Valid() && second.session.Valid())
		}
		require.True(t, second.session.Valid())
		first.mu.Lock()
		defer first.mu.Unlock()
		require.Equal(t, codeSuperseded, first.failures[0].Code)
	})
}

// TestCertificatesLimitCalls: what a peer may ask depends on the role and the host in
// its certificate.
func TestCertificatesLimitCalls(t *testing.T) {
	runFleet(t, func(t *testing.T, f *testFleet) {
		agent, entry := f.agent("fabric-1", "a1", 1), f.entry("e1")
		operator, leave := f.operator()
		defer leave()
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
			ctx, cancel := context.WithTimeout(f.ctx, reach)
			_, err := c.from.Call(ctx, c.call)
			cancel()
			var refused link.ErrRefused
			require.ErrorAs(t, err, &refused, "%T", c.call)
			require.Equal(t, c.code, refused.Code, "%T", c.call)
		}
	})
}

// TestLongGoneHostsAreForgotten: a fleet whose hosts are replaced day by day does not
// grow without bound.
func TestLongGoneHostsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSim(t, 3)
		s.configure(defaultConfig())
		s.run(4)
		s.agents[2].silent = true
		s.run(12)
		time.Sleep(forgetAfter)
		s.agents[0].silent, s.agents[1].silent = false, false
		s.run(2)
		require.Len(t, s.leader.table.Daemons(), 2)
		status := s.leader.status()
		require.Len(t, status.Hosts, 2)
	})
}

// pass lets virtual time go by.
func pass(d time.Duration) { time.Sleep(d) }
