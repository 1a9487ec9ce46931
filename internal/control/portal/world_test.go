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

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/control/formation"
	"github.com/egretreach/egretreach/internal/control/journal"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/fleet/routes"
	"github.com/egretreach/egretreach/internal/link/identity"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/standin/packet"
)

// fleet is a set of portals in one process, in virtual time.
type fleet struct {
	t       *testing.T
	network packet.Network
	nodes   []*node
	engines recorder
}

// node is one control host; its folder outlives its processes.
type node struct {
	*Portal
	id     host.ID
	ip     string
	folder string
	stop   func()
}

// place returns the node's ID in the quorum, empty if it has none.
func (n *node) place() host.ID {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.seat
}

// recorder is a stand-in for all engines. It answers every order and probe.
type recorder struct {
	mu     sync.Mutex
	orders []formation.Order
	dead   map[string]bool
}

func (r *recorder) SendOrder(_ context.Context, to roster.Endpoint, o formation.Order) formation.Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dead[to.ID] {
		return formation.AnswerNone
	}
	r.orders = append(r.orders, o)
	return formation.AnswerDone
}

func (r *recorder) Probe(_ context.Context, to roster.Endpoint) ProbeResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dead[to.ID] {
		return ProbeTimeout
	}
	return ProbeAlive
}

func (r *recorder) given() []formation.Order {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]formation.Order{}, r.orders...)
}

// session runs test with n portals that start for the first time.
func session(t *testing.T, n int, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t}
		for i := range n {
			f.add(i)
		}
		for _, node := range f.nodes {
			f.start(node, true)
		}
		test(f)
		for _, node := range f.nodes {
			f.halt(node)
		}
	})
}

func (f *fleet) add(i int) *node {
	node := &node{id: host.ID(fmt.Sprint("core-", i)), ip: fmt.Sprintf("10.0.0.%d", i+1), folder: f.t.TempDir()}
	f.nodes = append(f.nodes, node)
	return node
}

// document is what an operator sends; tests write VERSION:TEXT.
func decode(document []byte) (*routes.Table, error) {
	version, _, ok := strings.Cut(string(document), ":")
	n, err := strconv.ParseUint(version, 10, 64)
	if !ok || err != nil {
		return nil, errors.New("bad document")
	}
	engine := &routes.Engine{Slots: 8, LoadRate: 3, Models: []routes.Model{{Name: "m", Size: 3, Share: 1, TimeFactor: 1, LoadTime: 10 * time.Second, WarmLoadTime: time.Second}}}
	return routes.Table{Version: n, Services: []routes.Service{{Name: "llm", Engine: engine}}}.WithIndex(), nil
}

func (f *fleet) start(n *node, fresh bool) {
	credentials, err := identity.NewPrivate(identity.Identity{Role: host.RoleControl, Host: n.id}, time.Now())
	require.NoError(f.t, err)
	socket, err := f.network.Listen(n.ip + ":7340")
	require.NoError(f.t, err)
	link := transport.New(socket, credentials, transport.Options{})
	var seeds []string
	for _, other := range f.nodes[:min(3, len(f.nodes))] {
		seeds = append(seeds, other.ip+":7340")
	}
	n.Portal = New(Options{
		Self: n.id, Address: n.ip + ":8229", Link: link, LinkAddress: n.ip + ":7340", Pool: pool.New(link), Seeds: seeds,
		Rename: func(id host.ID) error {
			return credentials.Rename(identity.Identity{Role: host.RoleControl, Host: id}, time.Now())
		},
		FirstStart: fresh, Files: journal.OSFileSystem{}, Folder: n.folder, Decode: decode, Engines: &f.engines, Heartbeat: 1200 * time.Millisecond,
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

// halt ends a node's process.
func (f *fleet) halt(n *node) {
	if n.stop != nil {
		n.stop()
		n.stop = nil
	}
	synctest.Wait()
}

// wipe empties a halted node's disk.
func (f *fleet) wipe(n *node) {
	require.NoError(f.t, os.RemoveAll(n.folder))
	require.NoError(f.t, os.MkdirAll(n.folder, 0o755))
}

// cut cuts a node off from all others, or heals that.
func (f *fleet) cut(n *node, off bool) {
	for _, other := range f.nodes {
		if other == n {
			continue
		}
		if off {
			f.network.Cut(n.ip, other.ip)
			f.network.Cut(other.ip, n.ip)
		} else {
			f.network.Heal(n.ip, other.ip)
			f.network.Heal(other.ip, n.ip)
		}
	}
}

// put sends a document as operators do: to one node after the other until it is
// acknowledged. It returns who acknowledged it.
func (f *fleet) put(document string) *node {
	for range 200 {
		for _, n := range f.nodes {
			if n.stop == nil {
				continue
			}
			if n.Put(f.t.Context(), []byte(document)) == nil {
				return n
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.FailNow(f.t, "nobody acknowledged "+document)
	return nil
}

// read reads the document from whoever is sure, and fails if one is sure of an older one.
func (f *fleet) read() string {
	for range 200 {
		for _, n := range f.nodes {
			if n.stop == nil {
				continue
			}
			if held, err := n.Read(f.t.Context()); err == nil {
				return string(held.Bytes)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.FailNow(f.t, "nobody is sure of the configuration")
	return ""
}

// leader waits for the node that leads.
func (f *fleet) leader() *node {
	for range 200 {
		for _, n := range f.nodes {
			if l := n.current(); n.stop != nil && l != nil && l.Status().IsLeader() && l.Barrier(f.t.Context()) == nil {
				return n
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.FailNow(f.t, "nobody leads")
	return nil
}
