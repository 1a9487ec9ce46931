package quorum

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// powerLoss stops all hosts at once. Each keeps a random number of its pending writes. The hosts
// in lost come back with an empty disk.
func (s *simulation) powerLoss(lost ...host.ID) {
	for _, id := range s.hosts {
		s.crash(id)
		s.nodes[id].syncTime = defaultSyncTime
	}
	for _, n := range s.strays {
		s.crashNode(n)
	}
	s.inFlight = nil
	for _, id := range lost {
		s.loseDisk(id)
	}
	s.heal()
}

// requireRecovered requires that the hosts elect a leader that has applied all entries up to last.
func (s *simulation) requireRecovered(last int) {
	s.run(10 * time.Second)
	leader := s.leader()
	if leader == nil {
		s.t.Fatalf("no leader after the final fault")
		return
	}
	if int(leader.applied) < last {
		s.t.Fatalf("%s leads with %d of %d entries", leader.id, leader.applied, last)
	}
}

// uncountedDisks counts the hosts whose disk neither has a durable vote nor is counted by the leader.
func (s *simulation) uncountedDisks() int {
	count := 0
	for _, n := range s.nodes {
		if !s.hasVotingDisk(n) && !s.leaderCounts(n) {
			count++
		}
	}
	return count
}

func (s *simulation) leaderCounts(n *simNode) bool {
	leader := s.leader()
	if leader == nil || leader == n {
		return leader == n
	}
	p := leader.node.progress[n.id]
	return p != nil && p.admitted && p.generation == n.disk.Hard.Generation
}

// isAppendAfter reports whether m contains an entry after index.
func isAppendAfter(m Message, index Index) bool {
	a, ok := m.Body.(Append)
	return ok && len(a.Entries) > 0 && a.Entries[len(a.Entries)-1].Index > index
}

// TestAdmissionCountsOnlyOnceItIsDurable replaces a disk and stalls the new disk before the write
// that admits it. An entry that needs this host for its majority must not be committed before that
// write is done, since two other lost disks would then leave too few voters to elect a leader.
func TestAdmissionCountsOnlyOnceItIsDurable(t *testing.T) {
	s := newSimulation(t, 5, 21)
	s.run(time.Second)
	leader := s.leader()
	s.propose(leader, 1)
	s.run(200 * time.Millisecond)
	others := s.others(leader)
	replaced, third := others[0], others[1]
	s.crash(replaced.id)
	s.loseDisk(replaced.id)
	for _, n := range others[1:] {
		n.syncTime = 100 * time.Millisecond // The new disk gets the entry before the membership is committed.
	}
	s.boot(replaced.id)
	for leader.node.log.membership().Current[replaced.id] != replaced.node.hard.Generation {
		s.run(tick)
	}
	membership := leader.node.log.last()
	s.drop = func(m Message) bool { return m.To != replaced.id && isAppendAfter(m, membership) }
	s.propose(leader, 1)
	last := leader.node.log.last()
	for replaced.node.log.last() < last {
		s.run(tick)
	}
	require.Less(t, leader.node.commit, membership)
	replaced.syncTime = time.Hour
	for leader.node.commit < membership {
		s.run(tick)
	}
	s.run(3 * testTiming.HeartbeatInterval)
	s.drop = func(m Message) bool { return m.To != replaced.id && m.To != third.id && isAppendAfter(m, membership) }
	s.run(time.Second)
	require.False(t, replaced.disk.Hard.Admitted)
	require.Less(t, len(s.committed), int(last), "committed by a host whose admission is not on disk")

	for i := range replaced.pendingWrites {
		replaced.pendingWrites[i].at = s.now
	}
	replaced.syncTime = 0
	s.run(time.Second)
	require.GreaterOrEqual(t, len(s.committed), int(last))
	s.drop = nil
	s.powerLoss(leader.id, third.id)
	s.requireRecovered(int(last))
}

// TestFinalFaultLosesNoCommittedEntry stops five hosts at once right after an entry was committed,
// during random faults, replaced disks, transfers and snapshots. Two of them, less those that are
// being replaced, lose their disks, the others what they had not synced. The hosts must come back with
// every committed entry. It guards against an acknowledged configuration that is gone afterwards.
func TestFinalFaultLosesNoCommittedEntry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 5, rapid.Uint64().Draw(t, "seed"))
		s.run(time.Second)
		s.lossy = true
		for range rapid.IntRange(1, 4).Draw(t, "final faults") {
			for range rapid.IntRange(5, 30).Draw(t, "steps") {
				injectFault(t, s, faultOfPresentDisk)
				slowDisk(t, s)
				proposeAndRead(s)
				s.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")) * tick)
			}
			s.runUntilCommit()
			last := len(s.committed)
			s.powerLoss(drawDisks(t, s)...)
			s.requireRecovered(last)
			s.lossy = true
		}
	})
}

// slowDisk sets how long the syncs of a host take.
func slowDisk(t *rapid.T, s *simulation) {
	n := s.nodes[rapid.SampledFrom(s.hosts).Draw(t, "disk")]
	n.syncTime = rapid.SampledFrom([]time.Duration{0, defaultSyncTime, 50 * time.Millisecond, 2 * time.Second}).Draw(t, "sync time")
}

// drawDisks returns the hosts that lose their disks in the final fault: as many as may be lost at
// once, less those whose disk does not count yet.
func drawDisks(t *rapid.T, s *simulation) []host.ID {
	const faultTolerance = 2
	order := rapid.Permutation(s.hosts).Draw(t, "lost disks")
	return order[:max(0, faultTolerance-s.uncountedDisks())]
}

// runUntilCommit proposes and runs until another entry is committed, for at most a second.
func (s *simulation) runUntilCommit() {
	before := len(s.committed)
	proposeAndRead(s)
	for range int(time.Second / tick) {
		if len(s.committed) > before {
			return
		}
		s.run(tick)
	}
}
