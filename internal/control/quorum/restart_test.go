package quorum

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newClusterWithLeader returns a simulation of five hosts with a leader, and its other hosts.
func newClusterWithLeader(t *testing.T, seed uint64) (*simulation, *simNode, []*simNode) {
	s := newSimulation(t, 5, seed)
	s.run(5 * time.Second)
	leader := s.leader()
	require.NotNil(t, leader)
	var others []*simNode
	for _, id := range s.hosts {
		if n := s.nodes[id]; n != leader {
			others = append(others, n)
		}
	}
	return s, leader, others
}

// runUntilLeader runs until a host other than former leads, at most for limit, and returns the time that it took.
func runUntilLeader(s *simulation, former *simNode, limit time.Duration) time.Duration {
	began := s.now
	for s.now.Sub(began) < limit {
		if n := s.leader(); n != nil && n != former {
			break
		}
		s.run(s.tick)
	}
	return s.now.Sub(began)
}

// TestRestartOfAllHostsNeedsNoWait guards against an election timeout without a leader after a restart of all hosts: each of them is bound to a
// leader that none remembers, but all together they know that there is none.
func TestRestartOfAllHostsNeedsNoWait(t *testing.T) {
	slow := 0
	const seeds = 40
	for seed := range uint64(seeds) {
		s, _, _ := newClusterWithLeader(t, seed)
		for _, id := range s.hosts {
			s.crash(id)
		}
		s.run(100 * time.Millisecond)
		for _, id := range s.hosts {
			s.boot(id)
			s.run(2 * tick)
		}
		if runUntilLeader(s, nil, 5*time.Second) > testTiming.ElectionTimeout/2 {
			slow++
		}
	}
	require.LessOrEqual(t, slow, seeds/10, "of %d restarts that took more than half an election timeout", seeds)
}

// TestRestartBesideALeaderEndsNoLease restarts all other hosts, or most of them, while the leader holds its lease and can't be reached, or answers
// late. checkLeases fails if another host is elected before the lease has ended.
func TestRestartBesideALeaderEndsNoLease(t *testing.T) {
	for seed := range uint64(60) {
		s, leader, others := newClusterWithLeader(t, seed)
		spreadClocks(s, leader)
		s.tick = time.Millisecond
		s.run(testTiming.HeartbeatInterval * 2)
		if seed%2 == 0 {
			s.block(leader.id, true, true)
		}
		for i, n := range others {
			if i == 3 && seed%3 == 0 {
				continue
			}
			s.crash(n.id)
			s.boot(n.id)
			s.run(time.Duration(seed%5) * time.Millisecond)
		}
		s.run(3 * testTiming.ElectionTimeout)
		if seed%2 == 0 {
			require.NotEqual(t, leader, s.leader(), "seed %d: a leader without a majority", seed)
		}
		s.heal()
		s.run(3 * time.Second)
		require.NotNil(t, s.leader(), "seed %d", seed)
	}
}

// TestLeaderIsNeverLeaderless lets a host that gets the leader's answers, but none of its heartbeats, ask for votes while the leader holds its lease.
// The leader's own answer must keep it from being elected.
func TestLeaderIsNeverLeaderless(t *testing.T) {
	for seed := range uint64(20) {
		s, leader, others := newClusterWithLeader(t, seed)
		cut := others[0]
		s.drop = func(m Message) bool {
			if m.From != leader.id || m.To != cut.id {
				return false
			}
			_, answer := m.Body.(PreVoteReply)
			return !answer
		}
		term := leader.node.hard.Term
		s.run(10 * testTiming.ElectionTimeout)
		require.Equal(t, leader, s.leader(), "seed %d", seed)
		require.Equal(t, term, leader.node.hard.Term, "seed %d", seed)
	}
}

// TestAnswerOfAnEarlierTermClaimsNothing guards against an election that ends a lease: a host that answers in an earlier term may still become
// the leader of the one that the asking host is in.
func TestAnswerOfAnEarlierTermClaimsNothing(t *testing.T) {
	s, _, others := newClusterWithLeader(t, 1)
	asking := others[0]
	term := asking.node.hard.Term
	asking.node.startPreVote(s.clock(asking))
	answer := func(from *simNode, in Term) {
		s.step(asking, Received{Message: Message{
			From: from.id, To: asking.id, Generation: from.node.hard.Generation, Term: in, Admitted: true,
			Body: PreVoteReply{Next: term + 1, UpToDate: true, NeverLeads: true},
		}})
	}
	for _, id := range s.hosts {
		if id != asking.id {
			answer(s.nodes[id], term-1)
		}
	}
	require.Equal(t, RolePreCandidate, asking.node.role)
	for _, id := range s.hosts {
		if id != asking.id {
			answer(s.nodes[id], term)
		}
	}
	require.Equal(t, RoleCandidate, asking.node.role)
}
