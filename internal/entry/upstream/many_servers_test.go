package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stalled returns a script that sends a beginning of a response and then nothing until the caller closes. It counts in
// sent.
func stalled(beginning string, sent *atomic.Int64) script {
	return func(t *testing.T, c net.Conn, r *bufio.Reader) {
		if read(t, r) != nil {
			_, _ = io.WriteString(c, beginning) // An error means that the caller has closed the connection.
		}
		sent.Add(1)
		_, _ = r.ReadByte()
	}
}

// fields returns header fields of different names and the given size of a value, of about size bytes in all.
func fields(size, valueSize int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%x:%s\n", i, strings.Repeat("v", valueSize))
	}
	return b.String()
}

// exchangeCrowd runs exchanges with many endpoints concurrently.
type exchangeCrowd struct {
	pool Pool
	// sent counts the endpoints that have sent all that they send, and settled the exchanges that have since failed
	// or wait for more data.
	sent    atomic.Int64
	settled sync.WaitGroup
	ended   sync.WaitGroup
}

// dialPatiently is a Dialer whose only limit is ctx, so that no exchange fails because its connection is opened late.
func dialPatiently(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
}

// add starts an exchange with the endpoint at address. There must be total exchanges.
func (c *exchangeCrowd) add(ctx context.Context, address string, total int64) {
	var once sync.Once
	c.settled.Add(1)
	settle := func() { once.Do(c.settled.Done) }
	wait := WaitPolicy{CheckInterval: 100 * time.Millisecond, KeepWaiting: func() bool {
		if c.sent.Load() == total {
			settle()
		}
		return true
	}}
	c.ended.Go(func() {
		defer settle()
		x, err := c.pool.Do(ctx, address, getRequest(), wait)
		if err != nil {
			return
		}
		defer x.Close()
		if strings.HasPrefix(x.Response.Header.Get("Content-Type"), "text/event-stream") {
			_, _ = NewEventReader(x).Next()
			return
		}
		body, _, _ := x.ReadUpTo(1 << 20)
		settle()
		<-ctx.Done() // Its caller reads nothing.
		runtime.KeepAlive(body)
	})
}

// heapInUse returns the size of what is in use on the heap. What a sync.Pool keeps is freed by the second collection.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	return int64(memoryStats().HeapAlloc) //nolint:gosec // Far below the limit.
}

// TestManyFaultyEndpointsFillNoMemory guards against many endpoints that each stay below the bound for one, and
// together send more than a host of 136 MB has free: three quarters of it are the Go runtime's, of which an eighth
// each are for the connections and the bodies of callers and 30 MB for the process without load.
func TestManyFaultyEndpointsFillNoMemory(t *testing.T) {
	const (
		hostMemory  = 136 << 20
		idleProcess = 30 << 20
		heldAtOnce  = hostMemory*3/4 - 2*(hostMemory/8) - idleProcess
		endpoints   = 60
		perEndpoint = 16
		total       = endpoints * perEndpoint
		ok          = "HTTP/1.1 200 OK\r\n"
	)
	for name, beginning := range map[string]string{
		"short fields": ok + fields(36<<10, 0),
		"long fields":  ok + fields(36<<10, 200),
		"header line":  ok + "X-Long: " + strings.Repeat("x", 36<<10),
		"1xx":          strings.Repeat("HTTP/1.1 103 Early Hints\r\n"+fields(2<<10, 0)+"\r\n", 15),
		"body":         ok + "Content-Length: 1000000000000\r\n\r\n" + strings.Repeat("x", 1<<20),
		"event":        ok + "Content-Type: text/event-stream\r\n\r\ndata: " + strings.Repeat("x", 1<<20-100),
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var crowd exchangeCrowd
			crowd.pool.Dial, crowd.pool.MaxHeld = dialPatiently, MaxHeldOf(hostMemory)
			var addresses []string
			for range endpoints {
				var scripts []script
				for range perEndpoint {
					scripts = append(scripts, stalled(beginning, &crowd.sent))
				}
				addresses = append(addresses, serveAtOnce(t, scripts))
			}
			before := heapInUse()
			for _, address := range addresses {
				for range perEndpoint {
					crowd.add(ctx, address, total)
				}
			}
			crowd.settled.Wait()
			held := heapInUse() - before
			t.Logf("%d exchanges held %d KiB", total, held>>10)
			require.LessOrEqual(t, held, int64(heldAtOnce))
			cancel()
			crowd.ended.Wait()
			require.Zero(t, crowd.pool.held.total, "released at the end")
		})
	}
}

// TestLongResponsesLeaveRoomForOrdinaryOnes guards against long responses, from faulty endpoints or to callers that
// read slowly, that use up the memory budget of responses, so that the responses to all other callers are interrupted.
func TestLongResponsesLeaveRoomForOrdinaryOnes(t *testing.T) {
	const (
		endpoints   = 60
		perEndpoint = 16
		ordinary    = 32
		wholeEvent  = "data: x\n\n"
		heads       = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 9\r\n"
	)
	long := endless("HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 16<<10))
	sound := respond(heads + fields(1<<10, 60) + "\r\n" + wholeEvent)
	for name, others := range map[string]int{"same endpoint": 1, "other endpoints": endpoints} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			p := Pool{Dial: dialPatiently, MaxHeld: MaxHeldOf(136 << 20)}
			var address string
			for range others {
				address = serveAtOnce(t, append(scripts(long, perEndpoint), scripts(sound, ordinary)...))
				for range perEndpoint {
					x, err := p.Do(ctx, address, getRequest(), waitForever)
					require.NoError(t, err)
					defer x.Close()
					_, whole, err := x.ReadUpTo(1 << 20)
					require.NoError(t, err)
					require.False(t, whole)
				}
			}
			if others > 1 {
				address = serveAtOnce(t, scripts(sound, ordinary))
			}
			for range ordinary {
				x, err := p.Do(ctx, address, getRequest(), waitForever)
				require.NoError(t, err)
				defer x.Close()
				e, err := NewEventReader(x).Next()
				require.NoError(t, err)
				require.Equal(t, wholeEvent, string(e.Bytes))
			}
		})
	}
}

// scripts returns a script n times.
func scripts(s script, n int) []script {
	all := make([]script, n)
	for i := range all {
		all[i] = s
	}
	return all
}

// TestResponsesGetAShareOfTheMemory guards against a bound on responses that exceeds the memory of a small host, and
// against one that hundreds of ordinary responses reach.
func TestResponsesGetAShareOfTheMemory(t *testing.T) {
	const ordinary = 500 * (4 << 10)
	for memory, want := range map[int64]int{0: DefaultMaxHeld, 32 << 30: DefaultMaxHeld, 288 << 20: 48 << 20, 136 << 20: 136 << 20 / 6, 1 << 20: 8 << 20} {
		require.Equal(t, want, MaxHeldOf(memory), memory)
		require.GreaterOrEqual(t, MaxHeldOf(memory)/ordinaryShare, ordinary, memory)
	}
}
