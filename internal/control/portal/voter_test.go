package portal

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/control/portalstate"
)

// requireAllVotersAdmitted waits until the leader counts the disks of all voters.
func (c *cluster) requireAllVotersAdmitted() {
	c.t.Helper()
	allAdmitted := func() bool {
		for _, p := range c.leader().currentLog().Status().Peers {
			if !p.Admitted || p.Silent {
				return false
			}
		}
		return true
	}
	for began := time.Now(); !allAdmitted(); time.Sleep(100 * time.Millisecond) {
		require.Less(c.t, time.Since(began), 10*time.Second, "a voter does not count")
	}
}

// loseDisks empties the disks of two nodes at the same time and starts the nodes again.
func (c *cluster) loseDisks(nodes ...*node) {
	for _, n := range nodes {
		c.stopNode(n)
		c.wipe(n)
	}
	for _, n := range nodes {
		c.start(n, false)
	}
}

// TestVoterReplacedWhileItStoodStillTakesTheFreeVote cuts a control host off, removes another one for good and starts a new one, which
// takes the vote of the wrong one. It guards against five hosts of which four vote: two lost disks then end the quorum, and an acknowledged
// configuration is gone.
func TestVoterReplacedWhileItStoodStillTakesTheFreeVote(t *testing.T) {
	runCluster(t, 5, func(c *cluster) {
		c.put("1:first")
		leader := c.leader()
		var others []*node
		for _, n := range c.nodes {
			if n != leader {
				others = append(others, n)
			}
		}
		still, gone := others[0], others[1]
		c.partition(still, true)
		time.Sleep(time.Second)
		c.stopNode(gone)
		time.Sleep(1500 * time.Millisecond)
		replacement := c.add(7)
		c.start(replacement, false)
		time.Sleep(3 * time.Second)
		require.Equal(t, still.id, replacement.voter())

		c.partition(still, false)
		time.Sleep(5 * time.Second)
		require.Equal(t, gone.id, still.voter())
		c.requireAllVotersAdmitted()
		c.put("2:second")
		c.loseDisks(leader, replacement)
		require.Equal(t, "2:second", c.read())
		c.put("3:third")
	})
}

// TestVoteReturnsToTheDiskThatCounts moves a vote to a host that never starts. It guards against a voter with a sound disk that is lost to the
// quorum because the process that was to replace it is gone.
func TestVoteReturnsToTheDiskThatCounts(t *testing.T) {
	runCluster(t, 3, func(c *cluster) {
		c.put("1:first")
		leader := c.leader()
		var victim *node
		for _, n := range c.nodes {
			if n != leader {
				victim = n
			}
		}
		disk := victim.currentLog().Status().Generation
		command, err := portalstate.Voter{Host: victim.id, Address: "10.0.0.99:7340", Sequence: 1}.Encode()
		require.NoError(t, err)
		_, err = leader.currentLog().Propose(c.t.Context(), command)
		require.NoError(t, err)
		time.Sleep(5 * time.Second)
		require.Equal(t, victim.id, victim.voter())
		require.Equal(t, disk, victim.currentLog().Status().Generation, "the disk was given up")
		c.requireAllVotersAdmitted()
	})
}

// TestDisplacedVoterKeepsItsPlaceOverARestart restarts a control host after its vote was moved for good and while no vote is free. It guards
// against a host that starts as a voter without an ID, or with a journal that counts no more.
func TestDisplacedVoterKeepsItsPlaceOverARestart(t *testing.T) {
	runCluster(t, 5, func(c *cluster) {
		c.put("1:first")
		displaced := c.nodes[3]
		c.partition(displaced, true)
		time.Sleep(3 * time.Second)
		replacement := c.add(7)
		c.start(replacement, false)
		time.Sleep(4 * time.Second)
		require.Equal(t, displaced.id, replacement.voter())
		c.partition(displaced, false)
		time.Sleep(4 * time.Second)
		require.Empty(t, displaced.voter())
		c.stopNode(displaced)
		c.start(displaced, false)
		time.Sleep(2 * time.Second)
		require.Empty(t, displaced.voter())

		gone := c.nodes[2]
		c.stopNode(gone)
		time.Sleep(6 * time.Second)
		require.Equal(t, gone.id, displaced.voter())
		c.requireAllVotersAdmitted()
		require.Equal(t, "1:first", c.read())
	})
}

// voters returns the running nodes that have a vote, in random order.
func (c *cluster) voters(random *rand.Rand) []*node {
	var voters []*node
	for _, n := range c.nodes {
		if n.stop != nil && n.voter() != "" {
			voters = append(voters, n)
		}
	}
	random.Shuffle(len(voters), func(i, k int) { voters[i], voters[k] = voters[k], voters[i] })
	return voters
}

// stall cuts a node off, lets it stand still or fills its disk, until the returned function is called.
func (c *cluster) stall(n *node, random *rand.Rand) func() {
	switch random.IntN(3) {
	case 0:
		c.network.Hold(n.ip)
		return func() { c.network.Release(n.ip) }
	case 1:
		n.disk.SetFull(true)
		return func() { n.disk.SetFull(false) }
	default:
		c.partition(n, true)
		return func() { c.partition(n, false) }
	}
}

// strike replaces a node by a new one at another address, wipes its disk or restarts it.
func (c *cluster) strike(n *node, random *rand.Rand) {
	c.stopNode(n)
	time.Sleep(time.Duration(200+random.IntN(1800)) * time.Millisecond)
	switch random.IntN(4) {
	case 0, 1:
		n.gone = true
		c.start(c.add(len(c.nodes)+2), false)
	case 2:
		c.wipe(n)
		c.start(n, false)
	default:
		c.start(n, false)
	}
}

// TestRandomReplacementsLoseNoAcknowledgedChange strikes one voter while another one stands still, is cut off or has a full disk, several times, and wipes the
// disks of two voters after each time of calm. It guards against a host that runs without a vote, or a vote without a host, in any of the
// orders that chance brings: two lost disks then end the quorum.
func TestRandomReplacementsLoseNoAcknowledgedChange(t *testing.T) {
	const seeds, rounds = 8, 4
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			runCluster(t, 5, func(c *cluster) {
				random := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // Chooses faults only.
				for round := range rounds {
					acknowledged := fmt.Sprintf("%d:round", 2*round+1)
					c.put(acknowledged)
					voters := c.voters(random)
					heal := c.stall(voters[0], random)
					time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
					c.strike(voters[1], random)
					time.Sleep(time.Duration(random.IntN(5000)) * time.Millisecond)
					heal()
					time.Sleep(8 * time.Second)
					require.Equal(c.t, acknowledged, c.read())
					c.requireAllVotersAdmitted()

					acknowledged = fmt.Sprintf("%d:calm", 2*round+2)
					c.put(acknowledged)
					voters = c.voters(random)
					require.Len(c.t, voters, 5, "a vote has no host")
					c.loseDisks(voters[0], voters[1])
					require.Equal(c.t, acknowledged, c.read())
					time.Sleep(6 * time.Second)
					c.requireAllVotersAdmitted()
				}
			})
		})
	}
}

// TestWipedHostsAreFoundWithoutSeeds wipes the disks of two control hosts whose seeds are each other and a host that is gone. It guards against
// hosts that ask nobody who could answer, while all that could answer know where they are.
func TestWipedHostsAreFoundWithoutSeeds(t *testing.T) {
	runCluster(t, 5, func(c *cluster) {
		c.put("1:first")
		c.stopNode(c.nodes[2])
		c.start(c.add(7), false)
		time.Sleep(8 * time.Second)
		c.loseDisks(c.nodes[0], c.nodes[1])
		c.requireAllVotersAdmitted()
		require.Equal(t, "1:first", c.read())
	})
}
