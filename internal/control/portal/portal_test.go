package portal

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/control/formation"
	"github.com/egretreach/egretreach/internal/fleet/roster"
)

// All sessions run in virtual time, by testing/synctest.

func TestPortalsFindEachOtherFromThreeSeeds(t *testing.T) {
	session(t, 5, func(f *fleet) {
		began := time.Now()
		f.put("1:first")
		require.Less(t, time.Since(began), 8*time.Second)
		for _, n := range f.nodes {
			require.Len(t, n.places(), 5)
		}
		require.Equal(t, "1:first", f.read())
	})
}

func TestTheHighestVersionIsInForceAndInvalidOnesAreRefused(t *testing.T) {
	session(t, 3, func(f *fleet) {
		f.put("5:five")
		f.put("3:older is acknowledged and changes nothing")
		f.put("5:other content under the same version")
		require.Equal(t, "5:five", f.read())
		for _, n := range f.nodes {
			require.True(t, IsErrRefused(n.Put(f.t.Context(), []byte("nonsense"))))
		}
		require.Equal(t, "5:five", f.read())
	})
}

// TestTwoOperatorsRaceUnderOneVersion lets two documents of the same version meet: one is in
// force everywhere and stays so.
func TestTwoOperatorsRaceUnderOneVersion(t *testing.T) {
	session(t, 3, func(f *fleet) {
		f.put("1:first")
		var both sync.WaitGroup
		for _, text := range []string{"2:left", "2:right"} {
			both.Go(func() { f.put(text) })
		}
		both.Wait()
		won := f.read()
		require.Contains(t, []string{"2:left", "2:right"}, won)
		time.Sleep(3 * time.Second)
		require.Equal(t, won, f.read())
	})
}

func TestAFollowerNamesTheLeader(t *testing.T) {
	session(t, 3, func(f *fleet) {
		f.put("1:first")
		leader := f.leader()
		for _, n := range f.nodes {
			if n == leader {
				continue
			}
			_, err := n.Read(f.t.Context())
			var elsewhere ErrNotLeader
			require.ErrorAs(t, err, &elsewhere)
			require.Equal(t, leader.ip+":8229", elsewhere.Address)
		}
	})
}

// TestALeaderThatIsCutOffIsNotSure cuts the leader off: it neither answers reads nor
// acknowledges, and the others go on.
func TestALeaderThatIsCutOffIsNotSure(t *testing.T) {
	session(t, 5, func(f *fleet) {
		f.put("1:first")
		old := f.leader()
		f.cut(old, true)
		time.Sleep(1500 * time.Millisecond)
		_, err := old.Read(f.t.Context())
		require.Error(t, err)
		require.Error(t, old.Put(f.t.Context(), []byte("2:by the one cut off")))
		stopped := old.stop
		old.stop = nil
		f.put("3:by the majority")
		old.stop = stopped
		f.cut(old, false)
		time.Sleep(4 * time.Second)
		require.Equal(t, "3:by the majority", f.read())
		require.Equal(t, uint64(3), old.machine.Current().Version)
	})
}

// TestTwoWipedDisksLoseNothingAcknowledged wipes the host that acknowledged a change and one
// more, at once after the acknowledgement, while the others lose power.
func TestTwoWipedDisksLoseNothingAcknowledged(t *testing.T) {
	for _, others := range []bool{false, true} {
		t.Run(fmt.Sprint("others down=", others), func(t *testing.T) {
			session(t, 5, func(f *fleet) {
				f.put("1:first")
				for version := range 5 {
					document := fmt.Sprintf("%d:text", version+2)
					acknowledged := f.put(document)
					second := f.nodes[(version+1)%5]
					if second == acknowledged {
						second = f.nodes[(version+2)%5]
					}
					for _, n := range f.nodes {
						if others || n == acknowledged || n == second {
							f.halt(n)
						}
					}
					f.wipe(acknowledged)
					f.wipe(second)
					for _, n := range f.nodes {
						if n.stop == nil {
							f.start(n, false)
						}
					}
					require.Equal(t, document, f.read())
					time.Sleep(6 * time.Second)
				}
			})
		})
	}
}

// TestANewHostTakesTheDeadOnesPlace removes a control host for good, brings an empty one at
// another address, and then wipes two of the others: the place must count by then.
func TestANewHostTakesTheDeadOnesPlace(t *testing.T) {
	session(t, 5, func(f *fleet) {
		f.put("1:first")
		dead := f.nodes[4]
		f.halt(dead)
		fresh := f.add(7)
		f.start(fresh, false)
		time.Sleep(8 * time.Second)
		require.Equal(t, dead.id, fresh.place())
		f.put("2:second")
		for _, n := range f.nodes[:2] {
			f.halt(n)
			f.wipe(n)
		}
		f.put("3:third")
		for _, n := range f.nodes[:2] {
			f.start(n, false)
		}
		time.Sleep(6 * time.Second)
		require.Equal(t, "3:third", f.read())
		f.halt(fresh)
		f.start(fresh, false)
		time.Sleep(3 * time.Second)
		require.Equal(t, dead.id, fresh.place(), "it keeps the place over a restart")
	})
}

// TestAHostThatIsOnlySlowKeepsItsPlace brings a host without a place while all are well.
func TestAHostThatIsOnlySlowKeepsItsPlace(t *testing.T) {
	session(t, 3, func(f *fleet) {
		f.put("1:first")
		extra := f.add(7)
		f.start(extra, false)
		time.Sleep(8 * time.Second)
		require.Empty(t, extra.place())
		require.True(t, IsErrUnavailable(extra.Announce(roster.Endpoint{ID: "e"})), "it has nobody to tell")
		f.put("2:second")
	})
}

func engine(i int, sequence uint64) roster.Endpoint {
	return roster.Endpoint{
		ID: fmt.Sprint("e", i), Service: "llm", Address: fmt.Sprintf("10.1.0.%d:80", i+1), FailureDomain: "a", Slots: 8, Engine: true,
		StartedMs: int64(i + 1), Sequence: sequence,
	}
}

// TestWhatOnePortalHearsAllKnow announces engines to followers and one that leaves: every
// portal knows within a fraction of the time that it may still get work.
func TestWhatOnePortalHearsAllKnow(t *testing.T) {
	session(t, 5, func(f *fleet) {
		f.put("1:first")
		for i := range 10 {
			require.NoError(t, f.nodes[i%5].Announce(engine(i, 1)))
		}
		time.Sleep(300 * time.Millisecond)
		require.NoError(t, f.nodes[3].Announce(roster.Endpoint{ID: "e4", State: roster.StateLeft}))
		time.Sleep(200 * time.Millisecond)
		for _, n := range f.nodes {
			n.mu.Lock()
			require.Len(t, n.roster.All(), 10)
			left, _ := n.roster.Get("e4")
			require.Equal(t, roster.StateLeft, left.State)
			n.mu.Unlock()
		}
	})
}

// TestOnlyTheLeaderFormsReplicas lets engines announce themselves and looks at the orders:
// every join names the same members, and a new leader's epochs are higher.
func TestOnlyTheLeaderFormsReplicas(t *testing.T) {
	session(t, 3, func(f *fleet) {
		f.put("1:first")
		for i := range 3 {
			require.NoError(t, f.nodes[i].Announce(engine(i, 1)))
		}
		time.Sleep(2 * time.Second)
		first := joins(f.engines.given())
		require.NotEmpty(t, first)
		for _, j := range first {
			require.Equal(t, first[0].Members, j.Members)
		}
		f.halt(f.leader())
		for sequence := range uint64(10) {
			time.Sleep(time.Second)
			for i := range 3 {
				for _, n := range f.nodes {
					if n.stop != nil {
						require.NoError(t, n.Announce(engine(i, sequence+2)))
						break
					}
				}
			}
		}
		last := joins(f.engines.given())
		require.Greater(t, last[len(last)-1].Epoch, first[0].Epoch)
	})
}

func joins(orders []formation.Order) []formation.Join {
	var all []formation.Join
	for _, o := range orders {
		if j, ok := o.(formation.Join); ok {
			all = append(all, j)
		}
	}
	return all
}

// TestALongSilenceIsProbedAndOnlyThenBelieved lets engines fall silent: one answers probes
// and stays, the other counts as lost.
func TestALongSilenceIsProbedAndOnlyThenBelieved(t *testing.T) {
	session(t, 3, func(f *fleet) {
		f.engines.dead = map[string]bool{"e1": true}
		f.put("1:first")
		for i := range 2 {
			require.NoError(t, f.nodes[0].Announce(engine(i, 1)))
		}
		time.Sleep(4 * time.Second)
		leader := f.leader()
		leader.mu.Lock()
		defer leader.mu.Unlock()
		require.False(t, leader.health["e0"].dead)
		require.True(t, leader.health["e1"].dead)
	})
}
