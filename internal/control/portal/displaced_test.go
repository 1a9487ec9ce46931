package portal

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// catchUp is the time after which a host that is back, or has started, counts again: the least `catch_up_s` of the users' pages.
const catchUp = 4 * time.Second

// requireFiveDisks requires that five disks count, and that two of them may be lost at once.
func (c *cluster) requireFiveDisks(acknowledged string, lost ...*node) {
	c.t.Helper()
	counting := 0
	for _, n := range c.nodes {
		if l := n.currentLog(); n.stop != nil && l != nil && n.voter() != "" && l.Status().Admitted {
			counting++
		}
	}
	require.Equal(c.t, 5, counting, "disks that count")
	c.loseDisks(lost...)
	require.Equal(c.t, acknowledged, c.read())
}

// followers returns all nodes but leader.
func (c *cluster) followers(leader *node) []*node {
	var others []*node
	for _, n := range c.nodes {
		if n != leader {
			others = append(others, n)
		}
	}
	return others
}

// awaitVote waits until a node has a vote.
func (c *cluster) awaitVote(n *node) {
	c.t.Helper()
	for began := time.Now(); n.voter() == ""; time.Sleep(time.Millisecond) {
		require.Less(c.t, time.Since(began), catchUp, "no vote")
	}
}

// TestReplacedHostBesideAnAbsentOneCatchesUp removes one host for good while another stands still or is cut off for 4 s, and starts a new
// one meanwhile. Once both had catchUp, two lost disks must be borne. It guards against votes and logs that are given up for a wrong guess
// at which of two silent hosts is gone, so that four disks hold the log for longer than is allowed and an acknowledged configuration is lost.
func TestReplacedHostBesideAnAbsentOneCatchesUp(t *testing.T) {
	absences := map[string]func(c *cluster, n *node, absent bool){
		"frozen": func(c *cluster, n *node, absent bool) {
			if absent {
				c.network.Hold(n.ip)
			} else {
				c.network.Release(n.ip)
			}
		},
		"cut off": func(c *cluster, n *node, absent bool) { c.partition(n, absent) },
	}
	for name, absence := range absences {
		for _, removed := range []string{"leader", "follower", "follower while the leader is absent"} {
			t.Run(name+" beside a lost "+removed, func(t *testing.T) {
				runCluster(t, 5, func(c *cluster) {
					c.put("1:first")
					leader := c.leader()
					others := c.followers(leader)
					gone, absent := leader, others[1]
					switch removed {
					case "follower":
						gone = others[0]
					case "follower while the leader is absent":
						gone, absent = others[0], leader
					}
					c.stopNode(gone)
					time.Sleep(800 * time.Millisecond)
					absence(c, absent, true)
					time.Sleep(300 * time.Millisecond)
					newcomer := c.add(7)
					c.start(newcomer, false)
					time.Sleep(3700 * time.Millisecond)
					absence(c, absent, false)
					c.put("2:second")
					time.Sleep(catchUp)
					c.requireFiveDisks("2:second", others[2], others[3])
				})
			})
		}
	}
}

// TestDisplacedHostKeepsItsLog moves the vote of a host that is cut off to a new one, and requires that the host comes back with its log. It
// guards against a complete log that is thrown away although it only lacks a vote.
func TestDisplacedHostKeepsItsLog(t *testing.T) {
	runCluster(t, 5, func(c *cluster) {
		c.put("1:first")
		others := c.followers(c.leader())
		displaced, lost := others[0], others[1]
		held := displaced.currentLog().Status()
		c.partition(displaced, true)
		time.Sleep(2 * time.Second)
		newcomer := c.add(7)
		c.start(newcomer, false)
		time.Sleep(catchUp)
		require.Equal(t, displaced.id, newcomer.voter())
		c.partition(displaced, false)
		time.Sleep(catchUp)
		require.Empty(t, displaced.voter())
		c.stopNode(lost)
		c.awaitVote(displaced)
		for displaced.currentLog() == nil {
			time.Sleep(time.Millisecond)
		}
		status := displaced.currentLog().Status()
		require.GreaterOrEqual(t, status.LastIndex, held.LastIndex, "the log is gone")
		require.NotEqual(t, held.Generation, status.Generation, "the disk counts under its old vote")
		time.Sleep(catchUp)
		c.requireAllVotersAdmitted()
	})
}

// TestDisplacedHostStartsWithAFullDisk restarts a host that has lost its vote while its disk is full. It guards against a process that ends
// since it can't write that it has no vote, and a lost vote that nobody takes.
func TestDisplacedHostStartsWithAFullDisk(t *testing.T) {
	runCluster(t, 5, func(c *cluster) {
		c.put("1:first")
		others := c.followers(c.leader())
		displaced, lost := others[0], others[1]
		c.partition(displaced, true)
		time.Sleep(2 * time.Second)
		c.start(c.add(7), false)
		time.Sleep(catchUp)
		c.partition(displaced, false)
		time.Sleep(catchUp)
		require.Empty(t, displaced.voter())

		c.stopNode(displaced)
		displaced.disk.SetFull(true)
		c.start(displaced, false)
		time.Sleep(time.Second)
		displaced.disk.SetFull(false)
		c.stopNode(lost)
		c.awaitVote(displaced)
		time.Sleep(catchUp)
		c.requireAllVotersAdmitted()
	})
}

// TestNewcomerThatDiesHalfWayIsReplacedInTime starts a new host that dies as soon as it has a vote, and another one after it. It guards against
// a vote that is kept for a dead host.
func TestNewcomerThatDiesHalfWayIsReplacedInTime(t *testing.T) {
	runCluster(t, 5, func(c *cluster) {
		c.put("1:first")
		others := c.followers(c.leader())
		c.stopNode(others[0])
		first := c.add(7)
		c.start(first, false)
		c.awaitVote(first)
		c.stopNode(first)
		first.gone = true
		time.Sleep(time.Second)
		c.start(c.add(8), false)
		time.Sleep(catchUp)
		c.requireFiveDisks("1:first", others[1], others[2])
	})
}

// TestRandomAbsencesCatchUpInTime strikes one or two voters in turn while another one stands still, is cut off or has a full disk, and wipes
// the disks of two voters as soon as catchUp has passed since the last of them was back or started. The leader is among them. It guards against
// any order of these in which fewer than five disks hold the log for longer.
func TestRandomAbsencesCatchUpInTime(t *testing.T) {
	const seeds, rounds = 12, 4
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			runCluster(t, 5, func(c *cluster) {
				random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // Chooses faults only.
				for round := range rounds {
					acknowledged := fmt.Sprintf("%d:round", round+1)
					c.put(acknowledged)
					voters := c.voters(random)
					require.Len(c.t, voters, 5, "a vote has no host")
					heal := c.stall(voters[0], random)
					time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
					c.strike(voters[1], random)
					time.Sleep(time.Duration(random.IntN(5000)) * time.Millisecond)
					heal()
					if random.IntN(2) == 0 {
						time.Sleep(catchUp)
						c.strike(voters[2], random)
					}
					time.Sleep(catchUp)
					voters = c.voters(random)
					c.requireFiveDisks(acknowledged, voters[0], voters[1])
					time.Sleep(catchUp)
				}
			})
		})
	}
}
