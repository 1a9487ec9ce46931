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

// countingSocket counts the bytes that one process sends and receives.
type countingSocket struct {
	net.PacketConn
	bytes atomic.Int64
}

func (s *countingSocket) ReadFrom(p []byte) (int, net.Addr, error) {
	n, from, err := s.PacketConn.ReadFrom(p)
	s.bytes.Add(int64(n))
	return n, from, err
}

func (s *countingSocket) WriteTo(p []byte, to net.Addr) (int, error) {
	s.bytes.Add(int64(len(p)))
	return s.PacketConn.WriteTo(p, to)
}

// loopbackFleet is a fleet over UDP on the loopback interface. It counts the traffic.
type loopbackFleet struct {
	*testFleet
	mu      sync.Mutex
	sockets map[string]*countingSocket
}

func newLoopbackFleet(b *testing.B) *loopbackFleet {
	f := &loopbackFleet{testFleet: newTestFleet(b), sockets: map[string]*countingSocket{}}
	f.addressFor = func(int) string {
		socket, err := net.ListenPacket("udp", "127.0.0.1:0") //nolint:noctx // Closed with the link socket.
		require.NoError(b, err)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.sockets[socket.LocalAddr().String()] = &countingSocket{PacketConn: socket}
		return socket.LocalAddr().String()
	}
	f.listen = func(address string) net.PacketConn {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.sockets[address]
	}
	return f
}

// bytesPerDaemon returns the mean number of bytes that a daemon of a role has sent and received.
func (f *loopbackFleet) bytesPerDaemon(role host.Role) float64 {
	sum, n := int64(0), 0
	for _, d := range f.daemons {
		if d.role == role {
			sum += f.sockets[d.info.Address].bytes.Load()
			n++
		}
	}
	return float64(sum) / float64(n)
}

// cpuTime returns the CPU time that this process has used so far.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

const (
	benchEntries         = 4
	benchHostsPerReplica = 8
	benchIdleTime        = 5 * time.Second
	benchChanges         = 5
	benchYAMLSize        = 20 << 10
)

// BenchmarkDaemons runs simulated daemons on real sessions against one real leader with its
// journal, over UDP on the loopback interface, all in one process: agents in replicas of 8, which
// report a different load in each renewal, and 4 entries. The CPU time is that of the leader and
// the daemons together.
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
	yaml = strings.Replace(yaml, "replicas: 2", fmt.Sprint("replicas: ", n/benchHostsPerReplica), 1)
	yaml = strings.Replace(yaml, "hosts_per_replica: 2", fmt.Sprint("hosts_per_replica: ", benchHostsPerReplica), 1)
	return yaml + "# " + strings.Repeat("x", benchYAMLSize-len(yaml)) + "\n"
}

func benchDaemons(b *testing.B, n int) {
	f := newLoopbackFleet(b)
	f.startControls("c1")
	f.waitLeader()
	f.applyConfig(benchYAML(n, 0), 0, "change-0")
	for i := range n {
		f.startAgent("fabric-1", host.ID(fmt.Sprint("a", i)), 1)
	}
	for i := range benchEntries {
		f.startEntry(host.ID(fmt.Sprint("e", i)))
	}
	f.waitFor(b, func() bool {
		return f.inForce(1) && countServing(f.daemons[n].lastView(), "") == n/benchHostsPerReplica
	})
	f.measureIdle(b, n)
	f.measureChanges(b, n)
}

func (f *loopbackFleet) waitFor(b *testing.B, done func() bool) {
	deadline := time.Now().Add(time.Minute)
	for !done() {
		require.True(b, time.Now().Before(deadline), "the fleet did not reach the expected state")
		<-time.After(time.Millisecond)
	}
}

func (f *loopbackFleet) measureIdle(b *testing.B, n int) {
	agents, entries, cpu := f.bytesPerDaemon(host.RoleAgent), f.bytesPerDaemon(host.RoleEntry), cpuTime()
	<-time.After(benchIdleTime)
	seconds := benchIdleTime.Seconds()
	b.ReportMetric((f.bytesPerDaemon(host.RoleAgent)-agents)/seconds, "B/s/agent")
	b.ReportMetric((f.bytesPerDaemon(host.RoleEntry)-entries)/seconds, "B/s/entry")
	b.ReportMetric(float64((cpuTime()-cpu).Milliseconds())/seconds, "cpu-ms/s")
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(memory.HeapInuse+memory.StackInuse)/float64(n)/1024, "KiB/daemon")
}

func (f *loopbackFleet) measureChanges(b *testing.B, n int) {
	agents, cpu := f.bytesPerDaemon(host.RoleAgent), cpuTime()
	startedAt := time.Now()
	worst := time.Duration(0)
	for change := 1; change <= benchChanges; change++ {
		appliedAt := time.Now()
		f.applyConfig(benchYAML(n, change), view.Revision(change), fmt.Sprint("change-", change))
		f.waitFor(b, func() bool { return f.inForce(view.Revision(change + 1)) })
		worst = max(worst, time.Since(appliedAt))
	}
	b.ReportMetric((f.bytesPerDaemon(host.RoleAgent)-agents)/benchChanges, "B/change/agent")
	b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/1000/benchChanges, "cpu-ms/change")
	b.ReportMetric(float64(worst.Milliseconds()), "worst-ms/change")
	b.ReportMetric(time.Since(startedAt).Seconds(), "changes-s")
}

// BenchmarkClaims commits claims and their settlements to the journal of one control host, from
// many concurrent callers. The bytes per claim on disk are right only up to about 8,000 claims,
// since the first snapshot then replaces the segments.
func BenchmarkClaims(b *testing.B) {
	f := newLoopbackFleet(b)
	f.startControls("c1")
	s := f.servers[f.waitLeader()].Server
	var next atomic.Int64
	b.SetParallelism(32)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			id := request.NewID()
			key := strconv.FormatInt(next.Add(1), 10)
			claimed, err := s.claims.submit(f.ctx, []claimItem{{
				Team: "jordan", Key: key, KeyHash: make([]byte, 32), Request: id, Attempt: 1, Host: "a1",
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

// BenchmarkPlanCommands measures planCommands for an idle fleet of agents in replicas of 8. The
// leader runs it at least every ReconcileInterval.
func BenchmarkPlanCommands(b *testing.B) {
	for _, agents := range []int{96, 400, 792} {
		b.Run(strconv.Itoa(agents), func(b *testing.B) {
			s := newSimulation(b, agents)
			s.configure(benchYAML(agents, 0))
			s.run(4)
			require.Equal(b, agents/benchHostsPerReplica, len(s.leader.view.routes))
			b.ReportAllocs()
			for b.Loop() {
				s.leader.planCommands(time.Now())
			}
		})
	}
}
