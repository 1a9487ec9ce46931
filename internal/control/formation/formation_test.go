package formation

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// settledWorld is three domains of eleven engines before callers come and a while after.
func settledWorld(t require.TestingT, seed uint64) *world {
	w := newWorld(t, seed, 3, 11)
	w.run(9 * time.Second)
	require.Equal(t, 3, w.serving("large"))
	require.Equal(t, 3, w.serving("small"))
	w.started = true
	w.demand = map[string]float64{"large": 2.6, "small": 2.3}
	w.run(time.Second)
	return w
}

func TestFormsEveryModelBeforeCallersCome(t *testing.T) {
	w := newWorld(t, 1, 3, 11)
	took := w.until(5*time.Second, func() bool { return w.serving("large") == 3 && w.serving("small") == 3 })
	require.Less(t, took, 4*time.Second)
}

func TestWaitsForTheEnginesOfADomainThatComeOneAfterTheOther(t *testing.T) {
	w := newWorld(t, 1, 2, 11)
	for range 11 {
		w.add("fabric-2")
		w.run(100 * time.Millisecond)
	}
	w.run(6 * time.Second)
	require.Equal(t, 3, w.serving("large"))
}

// TestANewLeaderWaitsForADomainsWord lets the engines of a domain announce themselves to a new
// leader one after the other: none is used for a small replica before all are known.
func TestANewLeaderWaitsForADomainsWord(t *testing.T) {
	w := newWorld(t, 1, 1, 11)
	w.since = w.now
	for _, e := range w.engines {
		e.mute = true
	}
	for _, e := range w.engines {
		e.mute = false
		w.run(100 * time.Millisecond)
		require.Empty(t, w.planner.replicas)
	}
	w.run(4 * time.Second)
	require.Equal(t, 1, w.serving("large"))
	require.Equal(t, 1, w.serving("small"))
}

func TestReplacesALostMemberFromASpare(t *testing.T) {
	for _, rank := range []int{0, -1} {
		w := settledWorld(t, 1)
		w.memberOf("large", rank).dead = true
		require.Equal(t, 2, w.serving("large"))
		took := w.until(5*time.Second, func() bool { return w.serving("large") == 3 })
		require.Less(t, took, 3*time.Second, "rank %d", rank)
		require.Empty(t, w.loads)
	}
}

func TestALateSecondLossIsMendedWithoutTheWeightStore(t *testing.T) {
	w := settledWorld(t, 1)
	first := w.memberOf("large", -1)
	first.dead = true
	w.until(5*time.Second, func() bool { return w.serving("large") == 3 })
	w.run(2 * time.Second)
	for _, e := range w.engines {
		if e.Fabric == first.Fabric && e.IsServingHead() && e.model == "large" {
			w.find(e.members[3]).dead = true
			break
		}
	}
	took := w.until(10*time.Second, func() bool { return w.serving("large") == 3 })
	require.Less(t, took, 7*time.Second)
}

func TestADarkDomainServesAgainSoonAfterItsReturn(t *testing.T) {
	w := settledWorld(t, 1)
	for _, e := range w.engines {
		e.dead = e.dead || e.Fabric == "fabric-1"
	}
	w.run(8 * time.Second)
	for _, e := range w.engines {
		if e.Fabric == "fabric-1" {
			w.restart(e)
			w.run(50 * time.Millisecond)
		}
	}
	took := w.until(8*time.Second, func() bool { return w.serving("large") == 3 && w.serving("small") == 3 })
	require.Less(t, took, 5*time.Second)
	require.Zero(t, w.joinLoads)
}

func TestANewLeaderKeepsWhatServes(t *testing.T) {
	w := settledWorld(t, 1)
	w.planner = Planner{}
	w.term = 2
	w.notes = nil
	w.run(5 * time.Second)
	require.Equal(t, 3, w.serving("large"))
	require.Equal(t, 3, w.serving("small"))
	for _, n := range w.notes {
		require.Contains(t, []string{"adopted", "serving"}, n.Phase)
	}
}

func TestAnEngineCutOffFromControlGoesOnServing(t *testing.T) {
	w := settledWorld(t, 1)
	w.memberOf("large", 0).cut = true
	w.memberOf("small", -1).cut = true
	w.run(10 * time.Second)
	require.Equal(t, 3, w.serving("large"))
	require.Equal(t, 3, w.serving("small"))
}

func TestLoadsKeepBelowTheStoresRate(t *testing.T) {
	w := settledWorld(t, 3)
	for _, e := range w.engines {
		e.dead = true
	}
	for range 33 {
		w.add(fmt.Sprintf("fabric-%d", w.rng.IntN(3)))
	}
	w.run(60 * time.Second)
	requireCeiling(t, w, 5*time.Second)
}

// requireCeiling fails if in some window more loads began than the store's rate allows,
// with the part of a tenth and the three that it bears beyond.
func requireCeiling(t require.TestingT, w *world, window time.Duration) {
	for i, begin := range w.loads {
		n := 0
		for _, at := range w.loads[i:] {
			if at.Sub(begin) <= window {
				n++
			}
		}
		require.LessOrEqual(t, float64(n), w.engine.LoadRate*window.Seconds()*1.1+3)
	}
}

// TestRandomHistories plays losses, returns, cuts, drains, new leaders and orders that are
// lost or come late. The world fails if an engine is taken from a replica whose head still
// serves, or if a head opens before all its members have been ready.
func TestRandomHistories(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { randomHistory(t, seed) })
	}
}

func randomHistory(t *testing.T, seed uint64) {
	w := settledWorld(t, seed)
	w.lateShare = []float64{0, 0.2, 0.5}[seed%3]
	for range 80 {
		w.run(time.Duration(w.rng.Int64N(int64(time.Second))))
		e := w.engines[w.rng.IntN(len(w.engines))]
		switch w.rng.IntN(7) {
		case 0, 1:
			e.dead = true
		case 2:
			if e.dead {
				w.restart(e)
			}
		case 3:
			e.cut = !e.cut
		case 4:
			w.add(e.Fabric)
		case 5:
			if !e.dead {
				e.State = 1
			}
		case 6:
			w.term++
			w.planner = Planner{}
		}
	}
	requireCeiling(t, w, 5*time.Second)
	w.lateShare = 0
	for _, e := range w.engines {
		if e.dead || e.cut {
			w.restart(e)
		}
		e.State = 0
	}
	w.run(90 * time.Second)
	require.GreaterOrEqual(t, w.serving("large"), 2)
	require.GreaterOrEqual(t, w.serving("small"), 2)
}

// TestEnginesThatLackOneMoreAreKeptForIt loses members of the large model until a domain has
// five of its six engines, and brings a new engine there two seconds later: the five serve
// the large model again, and were not used for the small one, which is better off.
func TestEnginesThatLackOneMoreAreKeptForIt(t *testing.T) {
	w := newWorld(t, 1, 1, 6)
	w.run(9 * time.Second)
	require.Equal(t, 1, w.serving("large"))
	w.started = true
	w.demand = map[string]float64{"large": 2, "small": 1}
	for range 3 {
		w.add("fabric-1")
	}
	w.run(25 * time.Second)
	require.Equal(t, 1, w.serving("small"))
	for _, e := range w.engines[:6] {
		e.Staged = []string{"large"}
	}
	w.memberOf("large", -1).dead = true
	w.run(2 * time.Second)
	w.add("fabric-0")
	took := w.until(30*time.Second, func() bool { return w.serving("large") == 1 })
	require.Less(t, took, 20*time.Second)
}

// TestAnEngineIsInOneReplica lets an engine carry out an earlier leader's join when it has
// been told to join another replica, which was given up since: that later order may still
// come, so the earlier replica is not opened with the engine.
func TestAnEngineIsInOneReplica(t *testing.T) {
	w := newWorld(t, 1, 1, 5)
	earlier := ReplicaRef{"small.3.6", 3<<epochCounterBits | 6}
	join := Join{To: "e001", ReplicaRef: earlier, Model: "small", Members: []string{"e001", "e002", "e003"}}
	for _, id := range join.Members[1:] {
		o := join
		o.To = id
		require.Equal(t, AnswerDone, w.carryOut(o))
	}
	w.term = 4
	e := w.find("e001")
	w.until(5*time.Second, func() bool { return e.Member != nil })
	later := e.Member.Replica
	w.find("e004").dead = true
	e.Member, e.highest = nil, 0
	w.lateShare = 1
	w.step()
	w.late, w.lateShare = nil, 0
	require.Equal(t, AnswerDone, w.carryOut(join))
	for range 20 {
		w.step()
		require.False(t, e.IsServingHead() && e.Member.Replica == earlier.Replica, "%s opens while the join of %s may come", earlier.Replica, later)
	}
}

// TestTheEndOfAReplicaIsNoted takes in the answer to an order between two steps.
func TestTheEndOfAReplicaIsNoted(t *testing.T) {
	w := settledWorld(t, 1)
	w.memberOf("small", -1).dead = true
	w.run(time.Second)
	var ends []string
	for _, n := range w.notes {
		if n.Phase == "dropped" {
			ends = append(ends, n.Model)
		}
	}
	require.Equal(t, []string{"small"}, ends)
}

// TestHalfOfTheOrdersAreLeftUnanswered loses a member of the large model while engines leave
// half of all orders unanswered and carry them out seconds later: the replica is whole again
// nearly as soon as otherwise.
func TestHalfOfTheOrdersAreLeftUnanswered(t *testing.T) {
	var total time.Duration
	const days = 20
	for seed := range uint64(days) {
		w := settledWorld(t, seed)
		w.lateShare = 0.5
		w.memberOf("large", -1).dead = true
		total += w.until(20*time.Second, func() bool { return w.serving("large") == 3 })
	}
	require.Less(t, total/days, 3*time.Second)
}

// TestAWaveOfLosses loses an engine for good every two seconds, in turn in each domain, while
// an empty one comes in every two and a half, as on the days with most trouble. Of the demand
// for each model, weighed by its share, more than two thirds must be met on average.
func TestAWaveOfLosses(t *testing.T) {
	const (
		days = 20
		span = 30 * time.Second
	)
	met := 0.0
	for seed := range uint64(days) {
		w := settledWorld(t, seed)
		w.lateShare = 0.5
		met += w.wave(span)
	}
	require.Greater(t, met/days, 0.67)
}

// wave plays losses and arrivals, and returns the part of the demand that was met.
func (w *world) wave(span time.Duration) float64 {
	met, steps := 0.0, 0
	began := w.now
	for ; w.now.Sub(began) < span; steps++ {
		at := w.now.Sub(began)
		if at%(2*time.Second) < worldStep {
			e := w.engines[w.rng.IntN(len(w.engines))]
			e.dead = true
		}
		if at%(2500*time.Millisecond) < worldStep {
			w.add(fmt.Sprintf("fabric-%d", w.rng.IntN(3)))
		}
		w.step()
		for _, m := range w.engine.Models {
			met += m.Share * min(1, float64(w.serving(m.Name))/w.demand[m.Name])
		}
	}
	return met / float64(steps)
}

// TestAnEngineWhoseReportsDoNotArriveIsNotTaken lets a new leader know of three engines only
// what they said before an earlier leader formed a replica of them.
func TestAnEngineWhoseReportsDoNotArriveIsNotTaken(t *testing.T) {
	w := newWorld(t, 1, 1, 3)
	w.step()
	for _, e := range w.engines {
		e.Staged = []string{"small"}
	}
	w.step()
	w.engines[0].mute, w.engines[1].mute, w.engines[2].mute = true, true, true
	before := w.planner
	w.planner = Planner{}
	for _, e := range w.engines {
		place := ReplicaRef{"small.1.9", 1<<epochCounterBits | 9}
		w.carryOut(Join{e.ID, place, "small", []string{"e001", "e002", "e003"}})
	}
	w.planner = before
	for range 30 {
		w.now = w.now.Add(worldStep)
		for _, e := range w.engines {
			w.advance(e)
		}
	}
	w.carryOut(Open{"e001", ReplicaRef{"small.1.9", 1<<epochCounterBits | 9}})
	w.planner, w.term, w.since = Planner{}, 2, w.now
	w.run(5 * time.Second)
	require.Equal(t, 1, w.serving("small"))
	for _, e := range w.engines {
		e.mute = false
	}
	w.run(5 * time.Second)
	require.Equal(t, 1, w.serving("small"))
}
