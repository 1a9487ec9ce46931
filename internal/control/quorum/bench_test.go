package quorum

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// cluster connects nodes without loss, delay or disks.
type cluster struct {
	now     time.Time
	nodes   map[host.ID]*Node
	applied int
	bytes   int
	queue   []Message
}

func (c *cluster) step(m *Node, e Event) {
	for _, a := range m.Step(c.now, e) {
		switch a := a.(type) {
		case Persist:
			c.step(m, Persisted{Sequence: a.Sequence})
		case Send:
			c.queue = append(c.queue, a.Message)
		case Apply:
			if m.role == RoleLeader {
				c.applied += len(a.Entries)
			}
		}
	}
}

func (c *cluster) deliverAll(b *testing.B) {
	for len(c.queue) > 0 {
		m := c.queue[0]
		c.queue = c.queue[1:]
		raw, err := m.Encode()
		require.NoError(b, err)
		c.bytes += len(raw)
		m, err = Decode(raw, m.From, m.To)
		require.NoError(b, err)
		c.step(c.nodes[m.To], Received{Message: m})
	}
}

// BenchmarkCommit measures the CPU time and the bytes on the links for committing entries of
// 256 bytes, summed over all hosts and including the codec, by number of hosts and batch size.
func BenchmarkCommit(b *testing.B) {
	for _, hosts := range []int{3, 5, 7} {
		for _, batch := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("hosts=%d/batch=%d", hosts, batch), func(b *testing.B) {
				benchmarkCommit(b, hosts, batch)
			})
		}
	}
}

func benchmarkCommit(b *testing.B, hosts, batch int) {
	c := &cluster{now: time.Unix(1, 0), nodes: map[host.ID]*Node{}}
	var ids []host.ID
	for i := range hosts {
		ids = append(ids, host.ID(fmt.Sprintf("c%d", i+1)))
	}
	for i, id := range ids {
		recovered := RecoveredState{Hard: HardState{Generation: Generation(i + 1)}}
		c.nodes[id] = New(c.now, Options{Self: id, Hosts: ids}, recovered)
	}
	leader := c.nodes[ids[0]]
	for leader.role != RoleLeader || leader.commit == 0 {
		c.now = c.now.Add(DefaultHeartbeatInterval)
		for _, id := range ids {
			c.step(c.nodes[id], Tick{})
			c.deliverAll(b)
		}
	}
	proposals := make([]Proposal, batch)
	for i := range proposals {
		proposals[i] = Proposal{ID: uint64(i), Command: make([]byte, 256)}
	}
	c.bytes, c.applied = 0, 0
	for b.Loop() {
		c.step(leader, Propose{Proposals: proposals})
		c.deliverAll(b)
		if leader.applied-leader.snapshot.Index > 10_000 {
			for _, m := range c.nodes {
				c.step(m, SnapshotTaken{Index: m.applied})
			}
		}
	}
	require.Equal(b, b.N*batch, c.applied)
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(c.applied), "ns/entry")
	b.ReportMetric(float64(c.bytes)/float64(c.applied), "bytes/entry")
}
