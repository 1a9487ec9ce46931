package replication

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/control/journal"
	"github.com/egretreach/egretreach/internal/control/quorum"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/identity"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/standin/packet"
)

// lines is a state machine that keeps every command.
type lines struct{ all []string }

func (l *lines) Apply(index uint64, command []byte) any {
	l.all = append(l.all, string(command))
	return index
}

func (l *lines) Snapshot() ([]byte, error) { return json.Marshal(l.all) }

func (l *lines) Restore(snapshot []byte) error { return json.Unmarshal(snapshot, &l.all) }

// cluster is a set of control hosts in one process.
type cluster struct {
	t         testing.TB
	network   packet.Network
	authority *identity.Authority
	peers     map[host.ID]string
	nodes     map[host.ID]*member
	entries   int
	timing    quorum.Timing
	// counted has bytes and packets count what is sent.
	counted        bool
	bytes, packets atomic.Int64
}

type member struct {
	folder string
	files  failingDisk
	state  *lines
	log    *Log
	// stop ends the host in good order; fail waits until it ends by itself.
	stop func()
	fail func() error
}

func newCluster(t testing.TB, n int) *cluster {
	authority, err := identity.NewAuthority(time.Now(), 24*time.Hour)
	require.NoError(t, err)
	c := &cluster{
		t: t, authority: authority, peers: map[host.ID]string{},
		nodes: map[host.ID]*member{}, entries: 50,
	}
	for i := range n {
		id := host.ID(fmt.Sprintf("c%d", i+1))
		c.peers[id] = fmt.Sprintf("10.0.0.%d:7000", i+1)
		c.nodes[id] = &member{folder: t.TempDir()}
	}
	return c
}

func (c *cluster) startAll() {
	for id := range c.nodes {
		c.start(id)
	}
}

func (c *cluster) start(id host.ID) {
	m := c.nodes[id]
	pair, err := c.authority.Issue(identity.Identity{Role: host.RoleControl, Host: id}, time.Now(), 24*time.Hour)
	require.NoError(c.t, err)
	root, err := c.authority.Pair()
	require.NoError(c.t, err)
	credentials, err := identity.NewCredentials(pair, root.Certificate)
	require.NoError(c.t, err)
	socket, err := c.network.Listen(c.peers[id])
	require.NoError(c.t, err)
	var conn net.PacketConn = socket
	if c.counted {
		conn = countingConn{PacketConn: socket, bytes: &c.bytes, packets: &c.packets}
	}
	endpoint := transport.New(conn, credentials, transport.Options{})
	kept, err := journal.Open(&m.files, m.folder)
	require.NoError(c.t, err)
	m.state = &lines{}
	m.log = New(Options{
		Self: id, Hosts: c.peers, Journal: kept, StateMachine: m.state, Pool: pool.New(endpoint),
		Timing: c.timing, SnapshotEntries: c.entries,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done, served := make(chan error, 1), make(chan error, 1)
	go func() {
		served <- endpoint.Serve(ctx, func(ctx context.Context, s *transport.Stream) {
			first, err := s.Receive()
			if q, ok := first.(*message.Quorum); ok && err == nil {
				m.log.Serve(ctx, s, q)
			}
		})
	}()
	go func() { done <- m.log.Run(ctx) }()
	end := func() {
		cancel()
		require.NoError(c.t, <-served)
		require.NoError(c.t, endpoint.Close())
		require.NoError(c.t, kept.Close())
		m.stop = nil
	}
	m.stop = func() {
		cancel()
		require.NoError(c.t, <-done)
		end()
	}
	m.fail = func() error {
		err := <-done
		end()
		return err
	}
}

func (c *cluster) stopAll() {
	for _, m := range c.nodes {
		if m.stop != nil {
			m.stop()
		}
	}
}

// leader waits until one running host leads.
func (c *cluster) leader() host.ID {
	for range 200 {
		for id, m := range c.nodes {
			if m.stop != nil && m.log.Status().IsLeader() {
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
	_, err := c.nodes[id].log.Propose(ctx, []byte(command))
	require.NoError(c.t, err)
}

// other returns a running host that is not id.
func (c *cluster) other(id host.ID) host.ID {
	for other, m := range c.nodes {
		if other != id && m.stop != nil {
			return other
		}
	}
	return ""
}

func (c *cluster) cut(id host.ID, both bool) {
	ip := strings.Split(c.peers[id], ":")[0]
	for other, address := range c.peers {
		if peer := strings.Split(address, ":")[0]; other != id {
			c.network.Cut(ip, peer)
			if both {
				c.network.Cut(peer, ip)
			}
		}
	}
}

func (c *cluster) heal(id host.ID) {
	ip := strings.Split(c.peers[id], ":")[0]
	for _, address := range c.peers {
		peer := strings.Split(address, ":")[0]
		c.network.Heal(ip, peer)
		c.network.Heal(peer, ip)
	}
}

// TestLeaderKilledAndCatchUp kills a leader, goes on without it past a snapshot, and
// sees it catch up by that snapshot after it restarts, also with an empty disk.
func TestLeaderKilledAndCatchUp(t *testing.T) {
	for _, loseDisk := range []bool{false, true} {
		t.Run(fmt.Sprintf("disk lost %v", loseDisk), func(t *testing.T) {
			folder := t.TempDir()
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3)
				c.startAll()
				defer c.stopAll()
				first := c.leader()
				c.propose(first, "before")
				c.nodes[first].stop()
				begun := time.Now()
				second := c.leader()
				require.Less(t, time.Since(begun), 5*time.Second, "failover")
				for i := range 3000 {
					c.propose(second, fmt.Sprintf("command %d", i))
				}
				if loseDisk {
					c.nodes[first].folder = folder
				}
				c.start(first)
				time.Sleep(5 * time.Second)
				c.propose(second, "after")
				time.Sleep(time.Second)
				require.Equal(t, second, c.leader(), "the leader kept its office")
				require.True(t, c.nodes[first].log.Status().Admitted)
				require.Greater(t, c.nodes[first].log.Status().SnapshotIndex, uint64(1))
				c.stopAll()
				require.Len(t, c.nodes[first].state.all, 3002)
				require.Equal(t, c.nodes[second].state.all, c.nodes[first].state.all)
			})
		})
	}
}

// failingDisk is a disk whose new files are full while full is set.
type failingDisk struct {
	journal.OSFileSystem
	full atomic.Bool
}

type failingFile struct {
	journal.File
	disk *failingDisk
}

func (d *failingDisk) Create(name string) (journal.File, error) {
	f, err := d.OSFileSystem.Create(name)
	return failingFile{File: f, disk: d}, err
}

func (f failingFile) Write(p []byte) (int, error) {
	if f.disk.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(p)
}

// TestFullDisk fills one host's disk. That host leaves with a typed error and
// acknowledges nothing more; the others go on, and it catches up when it has room.
// With another list of control hosts in its settings, it does not start.
func TestFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.startAll()
		defer c.stopAll()
		leader := c.leader()
		c.propose(leader, "before")
		full := c.nodes[leader]
		full.files.full.Store(true)
		_, err := full.log.Propose(t.Context(), []byte("no room"))
		require.True(t, IsErrUncertain(err), "%v", err)
		err = full.fail()
		require.True(t, IsErrJournal(err) && journal.IsErrDiskFull(err), "%v", err)
		next := c.leader()
		c.propose(next, "meanwhile")
		full.files.full.Store(false)
		c.start(leader)
		time.Sleep(5 * time.Second)
		c.stopAll()
		require.Equal(t, c.nodes[next].state.all, full.state.all)

		c.peers["c4"] = "10.0.0.4:7000"
		c.start(leader)
		require.True(t, IsErrHostsDiffer(full.fail()))
	})
}

// TestSilentHostKeepsLeader cuts a follower off for minutes, in both directions and
// in one, and sees leader and term unchanged when it is back.
func TestSilentHostKeepsLeader(t *testing.T) {
	for _, both := range []bool{true, false} {
		t.Run(fmt.Sprintf("both ways %v", both), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3)
				c.startAll()
				defer c.stopAll()
				leader := c.leader()
				c.propose(leader, "before")
				term := c.nodes[leader].log.Status().Term
				silent := c.other(leader)
				c.cut(silent, both)
				time.Sleep(5 * time.Minute)
				c.propose(leader, "meanwhile")
				c.heal(silent)
				time.Sleep(10 * time.Second)
				c.propose(leader, "after")
				time.Sleep(time.Second)
				require.Equal(t, term, c.nodes[silent].log.Status().Term)
				require.Equal(t, leader, c.nodes[silent].log.Status().Leader)
				require.Equal(t, c.nodes[leader].log.Status().CommitIndex, c.nodes[silent].log.Status().CommitIndex)
			})
		})
	}
}

// TestCallsOfALeaderCutOff sees a leader without its quorum refuse reads and leave
// proposals uncertain, and a transfer move the office with no proposal lost.
func TestCallsOfALeaderCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.startAll()
		defer c.stopAll()
		old := c.leader()
		c.propose(old, "before")
		require.NoError(t, c.nodes[old].log.Barrier(t.Context()))
		require.NoError(t, c.nodes[old].log.TransferLeadership(t.Context()))
		leader := c.leader()
		require.NotEqual(t, old, leader)
		_, err := c.nodes[old].log.Propose(t.Context(), []byte("at a follower"))
		require.Equal(t, ErrNotLeader{Leader: c.peers[leader]}, err)
		require.NoError(t, c.nodes[leader].log.Barrier(t.Context()))

		c.cut(leader, true)
		time.Sleep(quorum.DefaultElectionTimeout)
		_, err = c.nodes[leader].log.Propose(t.Context(), []byte("unheard"))
		require.True(t, IsErrUncertain(err) || IsErrNotLeader(err), "%v", err)
		require.True(t, IsErrNotLeader(c.nodes[leader].log.Barrier(t.Context())))
		c.heal(leader)
		time.Sleep(5 * time.Second)
		c.propose(c.leader(), "after")
	})
}
