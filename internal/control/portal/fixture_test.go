package portal

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/control/formation"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/fleet/routes"
	"github.com/egretreach/egretreach/internal/link/identity"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/standin/disk"
	"github.com/egretreach/egretreach/internal/standin/memnet"
)

// maxSeeds is how many control hosts the settings of a process name.
const maxSeeds = 3

// cluster is a set of portals that run in one process and in virtual time.
type cluster struct {
	t       testing.TB
	network memnet.Network
	nodes   []*node
	engines engineRecorder
	// logger is used by the nodes that are started from then on. It may be nil.
	logger *log.Logger
}

// node is one control host. Its folder is kept over restarts.
type node struct {
	*Portal
	id     host.ID
	ip     string
	folder string
	disk   disk.FileSystem
	stop   func()
	// gone is true if the node never comes back. It is no seed any more.
	gone bool
}

// voter returns the node's ID in the quorum, or "" if it has none.
func (n *node) voter() host.ID {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.voterID
}

// engineRecorder stands in for all engines. It records the orders, and answers those and the
// probes unless the engine is dead.
type engineRecorder struct {
	mu     sync.Mutex
	orders []formation.Order
	dead   map[string]bool
	// silentUntil holds the times until which engines accept probes and do not answer them.
	silentUntil map[string]time.Time
}

func (r *engineRecorder) SendOrder(_ context.Context, to roster.Endpoint, o formation.Order) formation.Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dead[to.ID] {
		return formation.AnswerNone
	}
	r.orders = append(r.orders, o)
	return formation.AnswerDone
}

func (r *engineRecorder) Probe(_ context.Context, to roster.Endpoint) ProbeResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dead[to.ID] {
		return ProbeUnreachable
	}
	if time.Now().Before(r.silentUntil[to.ID]) {
		return ProbeSilent
	}
	return ProbeAlive
}

func (r *engineRecorder) sentOrders() []formation.Order {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]formation.Order{}, r.orders...)
}

// runCluster runs test with n portals that start for the first time.
func runCluster(t *testing.T, n int, test func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t}
		for i := range n {
			c.add(i)
		}
		for _, node := range c.nodes {
			c.start(node, true)
		}
		test(c)
		for _, node := range c.nodes {
			c.stopNode(node)
		}
	})
}

func (c *cluster) add(i int) *node {
	node := &node{id: host.ID(fmt.Sprint("core-", i)), ip: fmt.Sprintf("10.0.0.%d", i+1), folder: c.t.TempDir()}
	c.nodes = append(c.nodes, node)
	return node
}

// decode parses a document of the form VERSION:TEXT.
func decode(document []byte) (*routes.Table, error) {
	version, _, ok := strings.Cut(string(document), ":")
	n, err := strconv.ParseUint(version, 10, 64)
	if !ok || err != nil {
		return nil, errors.New("bad document")
	}
	engine := &routes.Engine{Slots: 8, LoadRate: 3, Models: []routes.Model{{Name: "m", Size: 3, Share: 1, TimeFactor: 1, LoadTime: 10 * time.Second, WarmLoadTime: time.Second}}}
	return routes.Table{Version: n, Services: []routes.Service{{Name: "llm", Engine: engine}}}.WithIndex(), nil
}

func (c *cluster) start(n *node, firstStart bool) {
	credentials, err := identity.NewForPrivateNetwork(identity.Identity{Role: host.RoleControl, Host: n.id}, time.Now())
	require.NoError(c.t, err)
	socket, err := c.network.Listen(n.ip + ":7340")
	require.NoError(c.t, err)
	link := transport.New(socket, credentials, transport.Options{})
	var seeds []string
	for _, other := range c.nodes {
		if !other.gone && len(seeds) < maxSeeds {
			seeds = append(seeds, other.ip+":7340")
		}
	}
	n.Portal = New(Options{
		Self: n.id, Address: n.ip + ":8229", Link: link, LinkAddress: n.ip + ":7340", Pool: pool.New(link), Seeds: seeds,
		Rename: func(id host.ID) error {
			return credentials.SetIdentity(identity.Identity{Role: host.RoleControl, Host: id}, time.Now())
		},
		FirstStart: firstStart, Files: &n.disk, Folder: n.folder, Decode: decode, Engines: &c.engines, Heartbeat: 1200 * time.Millisecond,
		Logger: c.logger,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	portal := n.Portal
	go func() {
		defer close(done)
		_ = portal.Run(ctx)
	}()
	n.stop = func() {
		cancel()
		<-done
		_ = link.Close()
	}
}

// stopNode stops a node's process.
func (c *cluster) stopNode(n *node) {
	if n.stop != nil {
		n.stop()
		n.stop = nil
	}
	synctest.Wait()
}

// wipe empties the disk of a stopped node.
func (c *cluster) wipe(n *node) {
	require.NoError(c.t, os.RemoveAll(n.folder))
	require.NoError(c.t, os.MkdirAll(n.folder, 0o755))
}

// partition cuts a node off from all others, or connects it again.
func (c *cluster) partition(n *node, off bool) {
	for _, other := range c.nodes {
		if other == n {
			continue
		}
		if off {
			c.network.Cut(n.ip, other.ip)
			c.network.Cut(other.ip, n.ip)
		} else {
			c.network.Heal(n.ip, other.ip)
			c.network.Heal(other.ip, n.ip)
		}
	}
}

// put sends a document to one node after the other, as operators do, until one acknowledges it.
// It returns that node.
func (c *cluster) put(document string) *node {
	for range 200 {
		for _, n := range c.nodes {
			if n.stop == nil {
				continue
			}
			if n.Put(c.t.Context(), []byte(document)) == nil {
				return n
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.FailNow(c.t, "no node acknowledged "+document)
	return nil
}

// read returns the document that the first node able to answer returns.
func (c *cluster) read() string {
	for range 200 {
		for _, n := range c.nodes {
			if n.stop == nil {
				continue
			}
			if document, err := n.Read(c.t.Context()); err == nil {
				return string(document.Bytes)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.FailNow(c.t, "no node can read the configuration")
	return ""
}

// leader waits until a node is the confirmed leader, and returns it.
func (c *cluster) leader() *node {
	for range 200 {
		for _, n := range c.nodes {
			if l := n.currentLog(); n.stop != nil && l != nil && l.Status().IsLeader() && l.Barrier(c.t.Context()) == nil {
				return n
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.FailNow(c.t, "no node is the leader")
	return nil
}
