package quorum

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// toDisk reports whether m is an Append or a part of a snapshot for the disk of n.
func toDisk(m Message, n *simNode) bool {
	switch m.Body.(type) {
	case Append, SnapshotChunk:
		return m.ToGeneration == n.disk.Hard.Generation
	default:
		return false
	}
}

// TestListedDiskCountsUntilAnotherHoldsTheLog replaces a host that is cut off by a process that gets nothing of the log. The host returns
// and must count. It guards against a sound disk that is given up for one that holds less.
func TestListedDiskCountsUntilAnotherHoldsTheLog(t *testing.T) {
	s, leader, others := newSimulationWithLeader(t, 31)
	absent, third := others[0], others[1]
	listed := absent.disk.Hard.Generation
	absent.cutUntil = s.now.Add(time.Second)
	s.run(testTiming.ElectionTimeout)
	s.displace(absent)
	successor := s.nodes[absent.id]
	s.drop = func(m Message) bool { return toDisk(m, successor) }
	s.run(time.Second)
	require.Equal(t, listed, leader.node.log.membership().Current[absent.id])

	s.block(third.id, true, true)
	committed := len(s.committed)
	s.propose(leader, 1)
	s.run(time.Second)
	require.Greater(t, len(s.committed), committed, "the host that returned does not count")
	require.Equal(t, listed, absent.disk.Hard.Generation)
}

// TestLearnerWithTheLogIsSentOnlyWhatItLacks moves a displaced disk to another lost host. It guards against a copy of the whole log for each
// vote that a host gets.
func TestLearnerWithTheLogIsSentOnlyWhatItLacks(t *testing.T) {
	s := newSimulation(t, 5, 32)
	s.run(time.Second)
	leader := s.leader()
	displaced, lost := s.others(leader)[0], s.others(leader)[1]
	s.propose(leader, 50)
	s.run(time.Second)
	displaced.cutUntil = s.now.Add(time.Hour)
	s.run(testTiming.ElectionTimeout)
	s.displace(displaced)
	s.run(time.Second)
	require.True(t, s.isDisplaced(displaced))

	sent := 0
	s.drop = func(m Message) bool {
		if a, ok := m.Body.(Append); ok && m.To == lost.id {
			sent += len(a.Entries)
		}
		return false
	}
	held := displaced.node.log.last()
	s.moveStray(displaced, lost)
	s.run(time.Second)
	require.True(t, s.hasVotingDisk(lost))
	require.LessOrEqual(t, sent, int(leader.node.log.last()-held)+1)
}

// TestNewLeaderKnowsHowLongTheOldOneIsSilent guards against a vote that is taken from a host that froze after the leader was lost: a new
// leader that counts the silence of both from its election can't tell them apart.
func TestNewLeaderKnowsHowLongTheOldOneIsSilent(t *testing.T) {
	s := newSimulation(t, 5, 33)
	s.run(time.Second)
	old := s.leader()
	s.crash(old.id)
	lost := s.now
	for s.leader() == nil {
		s.run(tick)
	}
	leader := s.leader()
	for _, p := range leader.node.Status(s.clock(leader)).Peers {
		if p.Host == old.id {
			require.GreaterOrEqual(t, p.SinceLastReply, s.now.Sub(lost)*9/10)
		} else {
			require.Less(t, p.SinceLastReply, testTiming.HeartbeatInterval)
		}
	}
}

// TestReelectedLeaderTakesNoFollowerForSilent lets a host lead twice after another one, which has followed it in between. It guards against the
// vote of a host that answers, and that is taken for silent since it led itself.
func TestReelectedLeaderTakesNoFollowerForSilent(t *testing.T) {
	s := newSimulation(t, 3, 34)
	s.run(time.Second)
	first := s.leader()
	s.step(first, TransferLeadership{})
	s.run(time.Second)
	second := s.leader()
	require.NotEqual(t, first, second)
	s.run(10 * time.Second)

	second.node.startElection(s.clock(second))
	for second.node.role != RoleLeader {
		s.run(tick)
	}
	for _, p := range second.node.Status(s.clock(second)).Peers {
		require.Less(t, p.SinceLastReply, testTiming.ElectionTimeout, "%s", p.Host)
	}
}
