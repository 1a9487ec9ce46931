//go:build callers

package callers

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/platform/standin"
)

const (
	// burstMemory is the memory of the smallest hosts, and burstPeak the most that a gateway there may take, in bytes.
	burstMemory = 136 << 20
	burstPeak   = 100_000_000
	// burstSize is the number of ordinary callers of a burst, more than the memory for callers holds.
	burstSize = 2000
	// runningSize is the number of requests that the endpoint runs when the burst arrives, and runningTime how long it runs them.
	runningSize = 24
	runningTime = 2 * time.Second
	// padding makes these requests larger than those of the burst, but still ordinary.
	padding = "X-One: 1\r\nX-Two: 2\r\nX-Three: 3\r\nX-Four: 4\r\nX-Five: 5\r\n"
	// callTime bounds the time of a call.
	callTime = 3 * standin.PlainTimeout
	bodySize = 10
	// metricPrefix begins the names of all metrics.
	metricPrefix = "egretreach_"
)

// burst counts what callers get: responses by their status, and connections that end without one.
type burst struct {
	// first waits until each caller has been asked for its body, has a response or has none.
	first sync.WaitGroup
	all   sync.WaitGroup

	mu       sync.Mutex
	statuses map[int]int
	cut      int
	// lastError is that of the last cut connection.
	lastError error
}

// startBurst sends count requests at once, each with its ID in place of r1. A caller sends its body once it is asked for it and ready is
// closed.
func startBurst(count int, address, header, body string, ready <-chan struct{}) *burst {
	b := &burst{statuses: map[int]int{}}
	b.first.Add(count)
	for i := range count {
		b.all.Go(func() {
			asked := sync.OnceFunc(b.first.Done)
			defer asked()
			b.add(call(address, strings.Replace(header, ": r1\r\n", fmt.Sprintf(": r%d\r\n", i), 1), func(c io.Writer) error {
				asked()
				<-ready
				_, err := io.WriteString(c, body)
				return err
			}))
		})
	}
	return b
}

// call sends the header of a request, its body once the process asks for it, and returns the status of the response.
func call(address, header string, sendBody func(io.Writer) error) (int, error) {
	c, err := net.DialTimeout("tcp", address, callTime)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(callTime)); err != nil {
		return 0, err
	}
	_, _ = io.WriteString(c, header) // A refused caller reads why.
	reader := bufio.NewReader(c)
	response, err := http.ReadResponse(reader, nil)
	if err == nil && response.StatusCode == http.StatusContinue {
		_ = sendBody(c) // As above.
		response, err = http.ReadResponse(reader, nil)
	}
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// add counts a response, or a connection that has ended without a whole one.
func (b *burst) add(status int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.cut++
		b.lastError = err
		return
	}
	b.statuses[status]++
}

// String implements fmt.Stringer.
func (b *burst) String() string {
	return fmt.Sprintf("%v, %d without a response (%v)", b.statuses, b.cut, b.lastError)
}

// counter returns the value of a counter of the gateway.
func (s *system) counter(t *testing.T, name string) int {
	response, err := http.Get("http://" + s.health + "/metrics") //nolint:noctx // A test's own process.
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) == 2 && fields[0] == metricPrefix+name {
			value, err := strconv.ParseFloat(fields[1], 64)
			require.NoError(t, err)
			return int(value)
		}
	}
	t.Fatalf("no metric %s", name)
	return 0
}

// TestGatewayAnswersABurstOfOrdinaryCallers guards against a gateway that ends requests without a response, or takes more than its memory,
// because many ordinary callers arrive at once.
func TestGatewayAnswersABurstOfOrdinaryCallers(t *testing.T) {
	s := startSystemWith(t, fmt.Sprintf("memory: {process: %dMiB}\n", burstMemory>>20))
	to := s.gatewayTarget()
	before := s.gateway.peakMemory(t)
	ready := make(chan struct{})
	s.endpoint.Silence(runningTime)
	began := s.observed.started.Load()
	running := startBurst(runningSize, to.address, to.head(http.MethodGet)+padding+"\r\n", "", nil)
	waitFor(t, "the requests run", func() bool { return s.observed.started.Load() >= began+runningSize })
	crowd := startBurst(burstSize, to.address, to.head(http.MethodPost)+fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n\r\n", bodySize),
		strings.Repeat("b", bodySize), ready)
	crowd.first.Wait()
	refused, closed := s.counter(t, "callers_refused_total"), s.counter(t, "callers_closed_total")
	close(ready)
	running.all.Wait()
	crowd.all.Wait()
	peak := s.gateway.peakMemory(t)
	t.Logf("running: %s; burst: %s; for what callers take %d refused and %d closed; peak %d MB (%d MB before)", running, crowd,
		refused, closed, peak/1_000_000, before/1_000_000)
	require.True(t, s.gateway.lives(), "the process has exited")
	require.Zero(t, running.cut, "running requests without a response")
	require.Zero(t, crowd.cut, "callers without a response")
	require.LessOrEqual(t, peak, burstPeak)
	waitFor(t, "an ordinary request is answered", func() bool { return isAnswered(t, to) })
}
