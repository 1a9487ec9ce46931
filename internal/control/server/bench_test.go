package server

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
)

// countedSocket counts what one process sends and receives.
type countedSocket struct {
	net.PacketConn
	bytes atomic.Int64
}

func (s *countedSocket) ReadFrom(p []byte) (int, net.Addr, error) {
	n, from, err := s.PacketConn.ReadFrom(p)
	s.bytes.Add(int64(n))
	return n, from, err
}

func (s *countedSocket) WriteTo(p []byte, to net.Addr) (int, error) {
	s.bytes.Add(int64(len(p)))
	return s.PacketConn.WriteTo(p, to)
}

// loopbackFleet is a fleet over UDP on loopback whose traffic is counted.
type loopbackFleet struct {
	*testFleet
	mu      sync.Mutex
	sockets map[string]*countedSocket
}

func newLoopbackFleet(b *testing.B) *loopbackFleet {
	f := &loopbackFleet{testFleet: newTestFleet(b), sockets: map[string]*countedSocket{}}
	f.place = func(int) string {
		socket, err := net.ListenPacket("udp", "127.0.0.1:0") //nolint:noctx // Ends with the endpoint.
		require.NoError(b, err)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.sockets[socket.LocalAddr().String()] = &countedSocket{PacketConn: socket}
		return socket.LocalAddr().String()
	}
	f.listen = func(address string) net.PacketConn {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.sockets[address]
	}
	return f
}

// bytes returns what the daemons of a role have sent and received, each on average.
func (f *loopbackFleet) bytes(role host.Role) float64 {
	sum, n := int64(0), 0
	for _, d := range f.daemons {
		if d.role == role {
			sum += f.sockets[d.info.Address].bytes.Load()
			n++
		}
	}
	return float64(sum) / float64(n)
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

const (
	benchEntries  = 4
	benchReplica  = 8
	benchRest     = 5 * time.Second
	benchChanges  = 5
	benchYAMLSize = 20 << 10
)

// BenchmarkDaemons runs simulated daemons on real sessions against one real leader
// with its journal, over UDP on loopback, all in one process: agents in replicas of 8
// that report another load in each renewal, and 4 entries. The processor time is
// that of the leader and the daemons together.
func BenchmarkDaemons(b *testing.B) {
	for _, n := range []int{40, 80, 160, 320, 792} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			for b.Loop() {
				benchDaemons(b, n)
			}
		})
	}
}

func benchYAML(n, change int) string {
	yaml := fmt.Sprintf("# change %d\n%s", change, defaultConfig())
	yaml = strings.Replace(yaml, "replicas: 2", fmt.Sprint("replicas: ", n/benchReplica), 1)
	yaml = strings.Replace(yaml, "hosts_per_replica: 2", fmt.Sprint("hosts_per_replica: ", benchReplica), 1)
	return yaml + "# " + strings.Repeat("x", benchYAMLSize-len(yaml)) + "\n"
}

func benchDaemons(b *testing.B, n int) {
	f := newLoopbackFleet(b)
	f.controls("c1")
	f.leader()
	f.apply(benchYAML(n, 0), 0, "change-0")
	for i := range n {
		f.agent("fabric-1", host.ID(fmt.Sprint("a", i)), 1)
	}
	for i := range benchEntries {
		f.entry(host.ID(fmt.Sprint("e", i)))
	}
	f.await(b, func() bool { return f.inForce(1) && serving(f.daemons[n].lastView(), "") == n/benchReplica })
	f.atRest(b, n)
	f.changes(b, n)
}

func (f *loopbackFleet) await(b *testing.B, done func() bool) {
	deadline := time.Now().Add(time.Minute)
	for !done() {
		require.True(b, time.Now().Before(deadline), "the fleet did not come up")
		<-time.After(time.Millisecond)
	}
}

func (f *loopbackFleet) atRest(b *testing.B, n int) {
	agents, entries, cpu := f.bytes(host.RoleAgent), f.bytes(host.RoleEntry), processorTime()
	<-time.After(benchRest)
	seconds := benchRest.Seconds()
	b.ReportMetric((f.bytes(host.RoleAgent)-agents)/seconds, "B/s/agent")
	b.ReportMetric((f.bytes(host.RoleEntry)-entries)/seconds, "B/s/entry")
	b.ReportMetric(float64((processorTime()-cpu).Milliseconds())/seconds, "cpu-ms/s")
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(memory.HeapInuse+memory.StackInuse)/float64(n)/1024, "KiB/daemon")
}

func (f *loopbackFleet) changes(b *testing.B, n int) {
	agents, cpu := f.bytes(host.RoleAgent), processorTime()
	began := time.Now()
	worst := time.Duration(0)
	for change := 1; change <= benchChanges; change++ {
		at := time.Now()
		f.apply(benchYAML(n, change), view.Revision(change), fmt.Sprint("change-", change))
		f.await(b, func() bool { return f.inForce(view.Revision(change + 1)) })
		worst = max(worst, time.Since(at))
	}
	b.ReportMetric((f.bytes(host.RoleAgent)-agents)/benchChanges, "B/change/agent")
	b.ReportMetric(float64((processorTime()-cpu).Microseconds())/1000/benchChanges, "cpu-ms/change")
	b.ReportMetric(float64(worst.Milliseconds()), "worst-ms/change")
	b.ReportMetric(time.Since(began).Seconds(), "changes-s")
}

// BenchmarkClaims commits claims and their settlements to the journal of one control
// host, from many callers at once. The bytes on disk are those of a claim only while
// no snapshot has been taken, which is so up to 8,000 claims.
func BenchmarkClaims(b *testing.B) {
	f := newLoopbackFleet(b)
	f.controls("c1")
	s := f.servers[f.leader()].Server
	var next atomic.Int64
	b.SetParallelism(32)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			id := request.NewID()
			key := strconv.FormatInt(next.Add(1), 10)
			claimed, err := s.claims.submit(f.ctx, []claimItem{{
				Team: "jordan", Key: key, BodyHash: make([]byte, 32), Request: id, Attempt: 1, Host: "a1",
			}})
			if err != nil || claimed[0].State != message.ClaimGranted {
				b.Error(claimed, err)
				return
			}
			end := settleItem{Team: "jordan", Key: key, Request: id, Attempt: 1, Outcome: request.OutcomeComplete}
			if _, err := s.settles.submit(f.ctx, []settleItem{end}); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	segments, err := filepath.Glob(filepath.Join(f.servers["c1"].folder, "segment_*"))
	require.NoError(b, err)
	disk := int64(0)
	for _, s := range segments {
		info, err := os.Stat(s)
		require.NoError(b, err)
		disk += info.Size()
	}
	b.ReportMetric(float64(disk)/float64(b.N), "disk-B/claim")
}

// BenchmarkObserve looks over a fleet of agents in replicas of 8, in which nothing
// happens: the leader does so at least every ReconcileInterval.
func BenchmarkObserve(b *testing.B) {
	for _, agents := range []int{96, 400, 792} {
		b.Run(strconv.Itoa(agents), func(b *testing.B) {
			s := newSim(b, agents)
			s.configure(benchYAML(agents, 0))
			s.run(4)
			require.Equal(b, agents/benchReplica, len(s.leader.view.routes))
			b.ReportAllocs()
			for b.Loop() {
				s.leader.planCommands(time.Now())
			}
		})
	}
}
