package replication

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/control/journal"
	"github.com/egretreach/egretreach/internal/control/quorum"
	"github.com/egretreach/egretreach/internal/control/voter"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/identity"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/standin/disk"
	"github.com/egretreach/egretreach/internal/standin/memnet"
)

// commandList is a state machine whose state is the list of all commands.
type commandList struct{ commands []string }

func (l *commandList) Apply(index uint64, command []byte) any {
	l.commands = append(l.commands, string(command))
	return index
}

func (l *commandList) Snapshot() ([]byte, error) { return json.Marshal(l.commands) }

func (l *commandList) Restore(snapshot []byte) error { return json.Unmarshal(snapshot, &l.commands) }

// cluster runs several control hosts in one process over an in-memory network.
type cluster struct {
	t               testing.TB
	network         memnet.Network
	authority       *identity.Authority
	addresses       map[host.ID]string
	hosts           map[host.ID]*testHost
	snapshotEntries int
	timing          quorum.Timing
	// countTraffic enables the counters bytes and packets of what all hosts send.
	countTraffic   bool
	bytes, packets atomic.Int64
}

type testHost struct {
	folder     string
	fileSystem disk.FileSystem
	state      *commandList
	log        *Log
	// stop stops the host. waitFailure waits until Log.Run returns by itself and returns its error.
	stop        func()
	waitFailure func() error
}

func newCluster(t testing.TB, n int) *cluster {
	authority, err := identity.NewAuthority(time.Now(), 24*time.Hour)
	require.NoError(t, err)
	c := &cluster{
		t: t, authority: authority, addresses: map[host.ID]string{},
		hosts: map[host.ID]*testHost{}, snapshotEntries: 50,
	}
	for i := range n {
		id := host.ID(fmt.Sprintf("c%d", i+1))
		c.addresses[id] = fmt.Sprintf("10.0.0.%d:7000", i+1)
		c.hosts[id] = &testHost{folder: t.TempDir()}
	}
	return c
}

func (c *cluster) startAll() {
	for id := range c.hosts {
		c.start(id)
	}
}

func (c *cluster) start(id host.ID) {
	h := c.hosts[id]
	pair, err := c.authority.Issue(identity.Identity{Role: host.RoleControl, Host: id}, time.Now(), 24*time.Hour)
	require.NoError(c.t, err)
	root, err := c.authority.KeyPair()
	require.NoError(c.t, err)
	credentials, err := identity.NewCredentials(pair, root.Certificate)
	require.NoError(c.t, err)
	socket, err := c.network.Listen(c.addresses[id])
	require.NoError(c.t, err)
	var conn net.PacketConn = socket
	if c.countTraffic {
		conn = countingConn{PacketConn: socket, bytes: &c.bytes, packets: &c.packets}
	}
	link := transport.New(conn, credentials, transport.Options{})
	j, err := journal.Open(&h.fileSystem, h.folder)
	require.NoError(c.t, err)
	h.state = &commandList{}
	h.log = New(Options{
		Self: id, Voters: voter.NewDirectory(c.addresses), Journal: j, StateMachine: h.state, Pool: pool.New(link),
		Timing: c.timing, SnapshotEntries: c.snapshotEntries,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done, served := make(chan error, 1), make(chan error, 1)
	go func() {
		served <- link.Serve(ctx, func(ctx context.Context, s *transport.Stream) {
			first, err := s.Receive()
			if q, ok := first.(*message.Quorum); ok && err == nil {
				h.log.Serve(ctx, s, q)
			}
		})
	}()
	go func() { done <- h.log.Run(ctx) }()
	closeAll := func() {
		cancel()
		require.NoError(c.t, <-served)
		require.NoError(c.t, link.Close())
		require.NoError(c.t, j.Close())
		h.stop = nil
	}
	h.stop = func() {
		cancel()
		require.NoError(c.t, <-done)
		closeAll()
	}
	h.waitFailure = func() error {
		err := <-done
		closeAll()
		return err
	}
}

func (c *cluster) stopAll() {
	for _, h := range c.hosts {
		if h.stop != nil {
			h.stop()
		}
	}
}

// leader waits up to 20 s for a running host to lead and returns its ID.
func (c *cluster) leader() host.ID {
	for range 200 {
		for id, h := range c.hosts {
			if h.stop != nil && h.log.Status().IsLeader() {
				return id
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.FailNow(c.t, "no leader in 20 s")
	return ""
}

func (c *cluster) propose(id host.ID, command string) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := c.hosts[id].log.Propose(ctx, []byte(command))
	require.NoError(c.t, err)
}

// other returns a running host other than id.
func (c *cluster) other(id host.ID) host.ID {
	for other, h := range c.hosts {
		if other != id && h.stop != nil {
			return other
		}
	}
	return ""
}

// cutOff drops all packets from a host to the others, and with both also those to it.
func (c *cluster) cutOff(id host.ID, both bool) {
	ip := strings.Split(c.addresses[id], ":")[0]
	for other, address := range c.addresses {
		if peer := strings.Split(address, ":")[0]; other != id {
			c.network.Cut(ip, peer)
			if both {
				c.network.Cut(peer, ip)
			}
		}
	}
}

func (c *cluster) heal(id host.ID) {
	ip := strings.Split(c.addresses[id], ":")[0]
	for _, address := range c.addresses {
		peer := strings.Split(address, ":")[0]
		c.network.Heal(ip, peer)
		c.network.Heal(peer, ip)
	}
}

// TestRestartedLeaderCatchesUpBySnapshot stops the leader while the other hosts commit entries
// and take snapshots. After a restart, with its disk or with an empty one, it must catch up by a
// snapshot and must not replace the new leader.
func TestRestartedLeaderCatchesUpBySnapshot(t *testing.T) {
	for _, loseDisk := range []bool{false, true} {
		t.Run(fmt.Sprintf("disk lost %v", loseDisk), func(t *testing.T) {
			folder := t.TempDir()
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3)
				c.startAll()
				defer c.stopAll()
				first := c.leader()
				c.propose(first, "before")
				c.hosts[first].stop()
				started := time.Now()
				second := c.leader()
				require.Less(t, time.Since(started), 5*time.Second, "failover")
				for i := range 3000 {
					c.propose(second, fmt.Sprintf("command %d", i))
				}
				if loseDisk {
					c.hosts[first].folder = folder
				}
				c.start(first)
				time.Sleep(5 * time.Second)
				c.propose(second, "after")
				time.Sleep(time.Second)
				require.Equal(t, second, c.leader(), "the new leader must stay leader")
				require.True(t, c.hosts[first].log.Status().Admitted)
				require.Greater(t, c.hosts[first].log.Status().SnapshotIndex, uint64(1))
				c.stopAll()
				require.Len(t, c.hosts[first].state.commands, 3002)
				require.Equal(t, c.hosts[second].state.commands, c.hosts[first].state.commands)
			})
		})
	}
}

// TestHostWithFullDiskStopsAndCatchesUp fills the disk of the leader. That host must stop with a
// typed error and acknowledge nothing more, while the others continue. It must catch up once the
// disk has room. With another list of control hosts in its settings, it must not start.
//
// With a follower down, the proposal would need the leader's own disk and must fail with
// ErrUncertain. With both followers up, these two may commit it before the leader stops. The
// leader may then acknowledge it, but only if it is there afterwards.
func TestHostWithFullDiskStopsAndCatchesUp(t *testing.T) {
	for _, followerDown := range []bool{true, false} {
		t.Run(fmt.Sprintf("follower down %v", followerDown), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { fillLeadersDisk(t, followerDown) })
		})
	}
}

func fillLeadersDisk(t *testing.T, followerDown bool) {
	c := newCluster(t, 3)
	c.startAll()
	defer c.stopAll()
	leader := c.leader()
	c.propose(leader, "before")
	follower := c.other(leader)
	if followerDown {
		c.hosts[follower].stop()
	}
	full := c.hosts[leader]
	full.fileSystem.SetFull(true)
	_, proposed := full.log.Propose(t.Context(), []byte("no room"))
	require.True(t, IsErrUncertain(proposed) || proposed == nil && !followerDown, "%v", proposed)
	err := full.waitFailure()
	require.True(t, IsErrJournal(err) && journal.IsErrDiskFull(err), "%v", err)
	_, err = full.log.Propose(t.Context(), []byte("stopped"))
	require.True(t, IsErrStopped(err), "%v", err)
	if followerDown {
		c.start(follower)
	}
	next := c.leader()
	c.propose(next, "meanwhile")
	full.fileSystem.SetFull(false)
	c.start(leader)
	time.Sleep(5 * time.Second)
	c.stopAll()
	if proposed == nil {
		require.Equal(t, []string{"before", "no room", "meanwhile"}, c.hosts[next].state.commands)
	}
	require.Equal(t, c.hosts[next].state.commands, full.state.commands)

	c.addresses["c4"] = "10.0.0.4:7000"
	c.start(leader)
	require.True(t, IsErrHostsDiffer(full.waitFailure()))
}

// TestReturningHostDoesNotReplaceLeader cuts off a follower for five minutes, in both directions
// or in one. Leader and term must be unchanged when it is back.
func TestReturningHostDoesNotReplaceLeader(t *testing.T) {
	for _, both := range []bool{true, false} {
		t.Run(fmt.Sprintf("both ways %v", both), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3)
				c.startAll()
				defer c.stopAll()
				leader := c.leader()
				c.propose(leader, "before")
				term := c.hosts[leader].log.Status().Term
				returning := c.other(leader)
				c.cutOff(returning, both)
				time.Sleep(5 * time.Minute)
				c.propose(leader, "meanwhile")
				c.heal(returning)
				time.Sleep(10 * time.Second)
				c.propose(leader, "after")
				time.Sleep(time.Second)
				require.Equal(t, term, c.hosts[returning].log.Status().Term)
				require.Equal(t, leader, c.hosts[returning].log.Status().Leader)
				require.Equal(t, c.hosts[leader].log.Status().CommitIndex, c.hosts[returning].log.Status().CommitIndex)
			})
		})
	}
}

// TestPartitionedLeaderServesNoCalls transfers the leadership and then partitions the new leader.
// The old leader must refuse proposals and name the new one. The leader without a majority must
// refuse reads, and its proposals must fail with ErrUncertain or ErrNotLeader.
func TestPartitionedLeaderServesNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.startAll()
		defer c.stopAll()
		old := c.leader()
		c.propose(old, "before")
		require.NoError(t, c.hosts[old].log.Barrier(t.Context()))
		require.NoError(t, c.hosts[old].log.TransferLeadership(t.Context()))
		leader := c.leader()
		require.NotEqual(t, old, leader)
		_, err := c.hosts[old].log.Propose(t.Context(), []byte("at a follower"))
		require.Equal(t, ErrNotLeader{LeaderAddress: c.addresses[leader]}, err)
		require.NoError(t, c.hosts[leader].log.Barrier(t.Context()))

		c.cutOff(leader, true)
		time.Sleep(quorum.DefaultElectionTimeout)
		_, err = c.hosts[leader].log.Propose(t.Context(), []byte("unheard"))
		require.True(t, IsErrUncertain(err) || IsErrNotLeader(err), "%v", err)
		require.True(t, IsErrNotLeader(c.hosts[leader].log.Barrier(t.Context())))
		c.heal(leader)
		time.Sleep(5 * time.Second)
		c.propose(c.leader(), "after")
	})
}
