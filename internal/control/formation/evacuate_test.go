package formation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/roster"
)

// evacuatedDomain is the failure domain that the tests evacuate.
const evacuatedDomain = "fabric-1"

// tracked counts the replicas of the evacuated domain that the planner tracks.
func (s *simulation) tracked() int {
	count := 0
	for _, r := range s.planner.replicas {
		if r.fabric == evacuatedDomain {
			count++
		}
	}
	return count
}

// evacuate begins the evacuation. idle says that the heads in the domain have no requests.
func (s *simulation) evacuate(idle bool) {
	s.evacuated, s.idle = []string{evacuatedDomain}, map[string]bool{}
	for _, e := range s.engines {
		s.idle[e.ID] = idle && e.FailureDomain == evacuatedDomain
	}
}

// servingEvacuated returns the number of serving replicas in the evacuated domain.
func (s *simulation) servingEvacuated() int {
	count := 0
	for _, e := range s.engines {
		if e.FailureDomain == evacuatedDomain && e.IsServingHead() {
			count++
		}
	}
	return count
}

// TestNothingIsFormedOrLoadedInAnEvacuatedDomain guards against replicas and loads in an evacuated domain, before traffic and after.
func TestNothingIsFormedOrLoadedInAnEvacuatedDomain(t *testing.T) {
	for _, traffic := range []bool{false, true} {
		s := newSimulation(t, 1, 3, 11)
		s.trafficStarted = traffic
		s.evacuate(true)
		s.run(30 * time.Second)
		for _, e := range s.engines {
			if e.FailureDomain == evacuatedDomain {
				require.Nil(t, e.Member, e.ID)
				require.Empty(t, e.Staged, e.ID)
				require.Empty(t, e.staging, e.ID)
			}
		}
		require.Positive(t, s.serving("large"), "the other domains serve")
	}
}

// TestRunningStreamsInAnEvacuatedDomainFinish guards against a replica that is closed by force while its head has requests, also by a new
// leader, and against one that goes on when they have ended.
func TestRunningStreamsInAnEvacuatedDomainFinish(t *testing.T) {
	for _, newLeader := range []bool{false, true} {
		s := newSettledSimulation(t, 1)
		s.evacuate(false)
		if newLeader {
			s.planner, s.term = Planner{}, 2
		}
		s.run(20 * time.Second)
		require.Equal(t, 2, s.servingEvacuated())
		s.evacuate(true)
		s.runUntil(5*time.Second, func() bool { return s.tracked() == 0 })
		s.run(10 * time.Second)
		require.Zero(t, s.tracked())
	}
}

// TestHeadThatIsSlowToCloseIsNotForced guards against the end by force of a replica whose head has requests that no gateway reports.
func TestHeadThatIsSlowToCloseIsNotForced(t *testing.T) {
	s := newSettledSimulation(t, 1)
	r := s.planner.replicas[s.memberOf("large", 0).Member.Replica]
	s.evacuated = []string{r.fabric}
	s.planner.beginStep(s.now, s.view())
	s.planner.view.Heads = nil
	s.planner.advance(r)
	require.Equal(t, phaseClosing, r.phase)
	for range 100 {
		s.now = s.now.Add(time.Second)
		s.planner.beginStep(s.now, s.view())
		s.planner.view.Heads = nil
		s.planner.advance(r)
		require.Equal(t, phaseClosing, r.phase)
	}
	head := s.planner.hosts[r.head()]
	head.Member = &roster.Membership{Replica: r.Replica, Epoch: r.Epoch, State: roster.MemberReady}
	s.planner.hosts[r.head()] = head
	s.planner.advance(r)
	require.Equal(t, phaseLeaving, r.phase)
}

// TestEvacuatedReplicasAreNoCapacity guards against a planner that counts the replicas of an evacuated domain as long as their streams run.
func TestEvacuatedReplicasAreNoCapacity(t *testing.T) {
	s := newSettledSimulation(t, 1)
	s.evacuate(false)
	s.step()
	require.Equal(t, map[string]int{"large": 2, "small": 2}, s.planner.replicaCounts())
	s.evacuated = nil
	s.step()
	require.Equal(t, map[string]int{"large": 3, "small": 3}, s.planner.replicaCounts())
}

// TestWithdrawnDomainServesAtOnce guards against a domain whose engines hold their weights and don't serve soon after the withdrawal, against
// loads that the return needs, and against replicas that are closed for it.
func TestWithdrawnDomainServesAtOnce(t *testing.T) {
	for seed := range uint64(5) {
		s := newSettledSimulation(t, seed)
		s.run(3 * time.Second)
		s.evacuate(true)
		s.run(15 * time.Second)
		require.Zero(t, s.tracked())
		s.evacuated, s.idle, s.decisions = nil, nil, nil
		loads := s.joinLoads
		took := s.runUntil(10*time.Second, func() bool { return s.servingEvacuated() == 2 })
		require.Less(t, took, 3*time.Second, "seed %d", seed)
		require.Equal(t, loads, s.joinLoads)
		for _, d := range s.decisions {
			require.NotContains(t, []string{"closing", "leaving"}, d.Phase, "seed %d: %s %s", seed, d.Replica, d.Reason)
		}
	}
}

// TestReplicaThatFormsIsGivenUp guards against a replica that begins to serve in a domain that was evacuated while it formed.
func TestReplicaThatFormsIsGivenUp(t *testing.T) {
	s := newSimulation(t, 1, 3, 11)
	s.runUntil(5*time.Second, func() bool { return s.tracked() > 0 })
	require.Zero(t, s.servingEvacuated())
	s.evacuate(true)
	for range 100 {
		s.step()
		require.Zero(t, s.servingEvacuated())
	}
	require.Zero(t, s.tracked())
}

// TestNothingIsRegroupedSoonAfterAWithdrawal guards against replicas that are closed for the engines that have just come back.
func TestNothingIsRegroupedSoonAfterAWithdrawal(t *testing.T) {
	s := newSettledSimulation(t, 1)
	s.evacuate(false)
	s.run(10 * time.Second)
	s.evacuated = nil
	s.step()
	worthless := composition{value: -100}
	s.now = s.now.Add(regroupInterval - time.Second)
	s.planner.now = s.now
	require.False(t, s.planner.regroup(evacuatedDomain, nil, s.planner.replicaCounts(), worthless))
	s.planner.now = s.now.Add(2 * time.Second)
	require.True(t, s.planner.regroup(evacuatedDomain, nil, s.planner.replicaCounts(), worthless))
}
