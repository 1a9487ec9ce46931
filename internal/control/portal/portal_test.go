package portal

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/control/formation"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/roster"
)

// All tests run in virtual time, by testing/synctest.

func TestPortalsBootstrapFromThreeSeeds(t *testing.T) {
	runCluster(t, 5, func(c *cluster) {
		began := time.Now()
		c.put("1:first")
		require.Less(t, time.Since(began), 8*time.Second)
		for _, n := range c.nodes {
			require.Len(t, n.voters.Votes(), 5)
		}
		require.Equal(t, "1:first", c.read())
	})
}

func TestHighestVersionIsInForceAndInvalidIsRefused(t *testing.T) {
	runCluster(t, 3, func(c *cluster) {
		c.put("5:five")
		c.put("3:older is acknowledged and changes nothing")
		c.put("5:other content under the same version")
		require.Equal(t, "5:five", c.read())
		for _, n := range c.nodes {
			require.True(t, IsErrRefused(n.Put(c.t.Context(), []byte("nonsense"))))
		}
		require.Equal(t, "5:five", c.read())
	})
}

// TestConcurrentPutsOfOneVersionAgree sends two documents of the same version concurrently. One
// must come into force everywhere and stay so.
func TestConcurrentPutsOfOneVersionAgree(t *testing.T) {
	runCluster(t, 3, func(c *cluster) {
		c.put("1:first")
		var both sync.WaitGroup
		for _, text := range []string{"2:left", "2:right"} {
			both.Go(func() { c.put(text) })
		}
		both.Wait()
		won := c.read()
		require.Contains(t, []string{"2:left", "2:right"}, won)
		time.Sleep(3 * time.Second)
		require.Equal(t, won, c.read())
	})
}

func TestFollowerRedirectsToLeader(t *testing.T) {
	runCluster(t, 3, func(c *cluster) {
		c.put("1:first")
		leader := c.leader()
		for _, n := range c.nodes {
			if n == leader {
				continue
			}
			_, err := n.Read(c.t.Context())
			var elsewhere ErrNotLeader
			require.ErrorAs(t, err, &elsewhere)
			require.Equal(t, leader.ip+":8229", elsewhere.Address)
		}
	})
}

// TestPartitionedLeaderNeitherReadsNorAcknowledges cuts the leader off from the others. It must
// neither answer reads nor acknowledge changes, and the others must go on.
func TestPartitionedLeaderNeitherReadsNorAcknowledges(t *testing.T) {
	runCluster(t, 5, func(c *cluster) {
		c.put("1:first")
		old := c.leader()
		c.partition(old, true)
		time.Sleep(1500 * time.Millisecond)
		_, err := old.Read(c.t.Context())
		require.Error(t, err)
		require.Error(t, old.Put(c.t.Context(), []byte("2:by the partitioned leader")))
		stopped := old.stop
		old.stop = nil
		c.put("3:by the majority")
		old.stop = stopped
		c.partition(old, false)
		time.Sleep(4 * time.Second)
		require.Equal(t, "3:by the majority", c.read())
		require.Equal(t, uint64(3), old.machine.Current().Version)
	})
}

// TestTwoWipedDisksLoseNoAcknowledgedChange wipes the disks of the host that acknowledged a
// change and of another one at once after the acknowledgement. In one case the other hosts
// restart at the same time.
func TestTwoWipedDisksLoseNoAcknowledgedChange(t *testing.T) {
	for _, others := range []bool{false, true} {
		t.Run(fmt.Sprint("others down=", others), func(t *testing.T) {
			runCluster(t, 5, func(c *cluster) {
				c.put("1:first")
				for version := range 5 {
					document := fmt.Sprintf("%d:text", version+2)
					acknowledged := c.put(document)
					second := c.nodes[(version+1)%5]
					if second == acknowledged {
						second = c.nodes[(version+2)%5]
					}
					for _, n := range c.nodes {
						if others || n == acknowledged || n == second {
							c.stopNode(n)
						}
					}
					c.wipe(acknowledged)
					c.wipe(second)
					for _, n := range c.nodes {
						if n.stop == nil {
							c.start(n, false)
						}
					}
					require.Equal(t, document, c.read())
					time.Sleep(6 * time.Second)
				}
			})
		})
	}
}

// TestNewHostReplacesDeadVoter removes a control host for good, adds an empty one at another
// address, and then wipes two of the others. By then the new voter must count.
func TestNewHostReplacesDeadVoter(t *testing.T) {
	runCluster(t, 5, func(c *cluster) {
		c.put("1:first")
		dead := c.nodes[4]
		c.stopNode(dead)
		replacement := c.add(7)
		c.start(replacement, false)
		time.Sleep(8 * time.Second)
		require.Equal(t, dead.id, replacement.voter())
		c.put("2:second")
		for _, n := range c.nodes[:2] {
			c.stopNode(n)
			c.wipe(n)
		}
		c.put("3:third")
		for _, n := range c.nodes[:2] {
			c.start(n, false)
		}
		time.Sleep(6 * time.Second)
		require.Equal(t, "3:third", c.read())
		c.stopNode(replacement)
		c.start(replacement, false)
		time.Sleep(3 * time.Second)
		require.Equal(t, dead.id, replacement.voter(), "the host keeps the voter over a restart")
	})
}

// TestExtraHostGetsNoVoterWhileAllAreHealthy adds a control host while all voters are healthy.
func TestExtraHostGetsNoVoterWhileAllAreHealthy(t *testing.T) {
	runCluster(t, 3, func(c *cluster) {
		c.put("1:first")
		extra := c.add(7)
		c.start(extra, false)
		time.Sleep(8 * time.Second)
		require.Empty(t, extra.voter())
		require.True(t, IsErrUnavailable(extra.Announce(c.t.Context(), roster.Endpoint{ID: "e"})), "the host knows no other control hosts")
		c.put("2:second")
	})
}

func engine(i int, sequence uint64) roster.Endpoint {
	return roster.Endpoint{
		ID: fmt.Sprint("e", i), Service: "llm", Address: fmt.Sprintf("10.1.0.%d:80", i+1), FailureDomain: "a", Slots: 8, Engine: true,
		StartedMs: int64(i + 1), Sequence: sequence,
	}
}

// TestAnnouncementsReachAllPortals announces engines to different portals, and then that one of
// them leaves. All portals must know within 300 ms and 200 ms.
func TestAnnouncementsReachAllPortals(t *testing.T) {
	runCluster(t, 5, func(c *cluster) {
		c.put("1:first")
		for i := range 10 {
			require.NoError(t, c.nodes[i%5].Announce(c.t.Context(), engine(i, 1)))
		}
		time.Sleep(300 * time.Millisecond)
		require.NoError(t, c.nodes[3].Announce(c.t.Context(), roster.Endpoint{ID: "e4", State: roster.StateLeft}))
		time.Sleep(200 * time.Millisecond)
		for _, n := range c.nodes {
			n.mu.Lock()
			require.Len(t, n.roster.All(), 10)
			left, _ := n.roster.Get("e4")
			require.Equal(t, roster.StateLeft, left.State)
			n.mu.Unlock()
		}
	})
}

// TestOnlyLeaderFormsReplicas checks the orders after engines have announced themselves. Every
// join must name the same members, and a new leader's epochs must be higher.
func TestOnlyLeaderFormsReplicas(t *testing.T) {
	runCluster(t, 3, func(c *cluster) {
		c.put("1:first")
		for i := range 3 {
			require.NoError(t, c.nodes[i].Announce(c.t.Context(), engine(i, 1)))
		}
		time.Sleep(2 * time.Second)
		first := joins(c.engines.sentOrders())
		require.NotEmpty(t, first)
		for _, j := range first {
			require.Equal(t, first[0].Members, j.Members)
		}
		c.stopNode(c.leader())
		for sequence := range uint64(10) {
			time.Sleep(time.Second)
			for i := range 3 {
				for _, n := range c.nodes {
					if n.stop != nil {
						require.NoError(t, n.Announce(c.t.Context(), engine(i, sequence+2)))
						break
					}
				}
			}
		}
		last := joins(c.engines.sentOrders())
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

// TestUnannouncedEndpointIsLostOnlyAfterFailedProbes stops the announcements of two engines. The
// one that answers probes must stay, the other must count as lost.
func TestUnannouncedEndpointIsLostOnlyAfterFailedProbes(t *testing.T) {
	runCluster(t, 3, func(c *cluster) {
		c.engines.dead = map[string]bool{"e1": true}
		c.put("1:first")
		for i := range 2 {
			require.NoError(t, c.nodes[0].Announce(c.t.Context(), engine(i, 1)))
		}
		time.Sleep(4 * time.Second)
		leader := c.leader()
		leader.mu.Lock()
		defer leader.mu.Unlock()
		require.False(t, leader.health["e0"].dead)
		require.True(t, leader.health["e1"].dead)
	})
}

// TestSilentEndpointIsNotLostWithinASecond guards against the end of a sound replica whose member is
// silent for a second and goes on.
func TestSilentEndpointIsNotLostWithinASecond(t *testing.T) {
	for silence, lost := range map[time.Duration]bool{time.Second: false, 3 * time.Second: true} {
		runCluster(t, 3, func(c *cluster) {
			c.put("1:first")
			require.NoError(t, c.nodes[0].Announce(c.t.Context(), engine(0, 1)))
			time.Sleep(2 * time.Second)
			c.engines.mu.Lock()
			c.engines.silentUntil = map[string]time.Time{"e0": time.Now().Add(silence)}
			c.engines.mu.Unlock()
			wasLost := false
			for range 60 {
				time.Sleep(50 * time.Millisecond)
				leader := c.leader()
				leader.mu.Lock()
				wasLost = wasLost || leader.health["e0"].dead
				leader.mu.Unlock()
			}
			require.Equal(t, lost, wasLost, "silent for %v", silence)
		})
	}
}

// TestTwoNewHostsReplaceTwoDeadVoters removes two control hosts for good and starts two empty ones at
// the same moment. Each must take one of the two voters. It guards against a second host that takes
// the voter that the first one has just taken, which leaves a dead voter and a host without one: two
// lost disks are then too many.
func TestTwoNewHostsReplaceTwoDeadVoters(t *testing.T) {
	runCluster(t, 5, func(c *cluster) {
		c.put("1:first")
		dead := c.nodes[3:5]
		for _, n := range dead {
			c.stopNode(n)
		}
		replacements := []*node{c.add(7), c.add(8)}
		for _, n := range replacements {
			c.start(n, false)
		}
		time.Sleep(12 * time.Second)
		var taken []host.ID
		for _, n := range replacements {
			taken = append(taken, n.voter())
		}
		require.ElementsMatch(t, []host.ID{dead[0].id, dead[1].id}, taken)
		for _, p := range c.leader().currentLog().Status().Peers {
			require.True(t, p.Admitted, p.Host)
		}
		c.put("2:second")
		running := slices.Concat(c.nodes[:3], replacements)
		for _, n := range running {
			c.stopNode(n)
		}
		for _, n := range running[:2] {
			c.wipe(n)
		}
		for _, n := range running {
			c.start(n, false)
		}
		require.Equal(t, "2:second", c.read())
	})
}

// TestAcknowledgementNamesItsHolders checks the log line of an acknowledged configuration: it must
// name the entry and a majority of hosts that hold it. Without them a configuration that is gone later
// can't be traced.
func TestAcknowledgementNamesItsHolders(t *testing.T) {
	runCluster(t, 3, func(c *cluster) {
		c.put("1:first")
		logged, err := os.Create(filepath.Join(c.t.TempDir(), "log"))
		require.NoError(c.t, err)
		c.logger = &log.Logger{Writer: &log.IOWriter{Writer: logged}}
		for _, n := range c.nodes {
			c.stopNode(n)
			c.start(n, false)
		}
		c.put("2:second")
		for _, n := range c.nodes {
			c.stopNode(n)
		}
		require.NoError(c.t, logged.Close())
		text, err := os.ReadFile(logged.Name())
		require.NoError(c.t, err)
		line := regexp.MustCompile(`"revision_taken".*"version":2,"held":2,"changed":true,"term":\d+,"index":\d+,"holders":"\[(.*)\]"`).
			FindStringSubmatch(string(text))
		require.NotNil(c.t, line, string(text))
		require.GreaterOrEqual(c.t, len(strings.Fields(line[1])), 2)
	})
}

// TestInvalidChangeIsRefusedBesideAChangeOfTheLeader guards against an invalid configuration that is acknowledged or comes into force
// because it is sent under the version held, or to hosts that are about to lead or to stop.
func TestInvalidChangeIsRefusedBesideAChangeOfTheLeader(t *testing.T) {
	runCluster(t, 3, func(c *cluster) {
		for version := range 3 {
			held := fmt.Sprintf("%d:valid", version+1)
			c.put(held)
			leader := c.leader()
			var senders sync.WaitGroup
			for _, n := range c.nodes {
				for _, invalid := range []string{"nonsense", strings.TrimSuffix(held, ":valid"), ""} {
					senders.Go(func() {
						for range 40 {
							require.True(t, IsErrRefused(n.Put(c.t.Context(), []byte(invalid))))
							time.Sleep(50 * time.Millisecond)
						}
					})
				}
			}
			time.Sleep(100 * time.Millisecond)
			c.partition(leader, true)
			time.Sleep(1500 * time.Millisecond)
			c.partition(leader, false)
			senders.Wait()
			require.Equal(t, held, c.read())
		}
	})
}

// TestPortalsWhoseDisksFillInTurnGoOn fills the disks of all control hosts for a few seconds each, one after another, in a storm of changes with large documents. It
// guards against changes that are refused or stay unanswered long after the last disk has room again.
func TestPortalsWhoseDisksFillInTurnGoOn(t *testing.T) {
	const documentBytes = 64 << 10
	runCluster(t, 5, func(c *cluster) {
		version := 0
		change := func() string {
			version++
			document := fmt.Sprintf("%d:%s", version, strings.Repeat("x", documentBytes))
			c.put(document)
			return document
		}
		change()
		for _, n := range c.nodes {
			n.disk.SetFull(true)
			for began := time.Now(); time.Since(began) < 3*time.Second; time.Sleep(100 * time.Millisecond) {
				change()
			}
			n.disk.SetFull(false)
			time.Sleep(time.Second)
		}
		time.Sleep(4 * time.Second)
		c.requireAllVotersAdmitted()
		last := change()
		c.loseDisks(c.nodes[0], c.nodes[1])
		require.Equal(t, last, c.read())
	})
}
