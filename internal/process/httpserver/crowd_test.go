package httpserver

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/standin/memnet"
)

const (
	// crowdMemory is the memory of a server that a crowd of ordinary callers fills, in bytes.
	crowdMemory = 1 << 20
	// crowdRunning is the number of requests that run when the crowd arrives.
	crowdRunning = 10
	// runningPath is that of these requests. It makes them a little larger than those of the crowd.
	runningPath = "/of/callers/who/came/first"
	crowdPath   = "/"
	// crowdSize is the number of connections of the crowd, which need several times crowdMemory.
	crowdSize = 6 * crowdMemory / connCost
)

// crowdRequest returns a request with the header of a common client.
func crowdRequest(path string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\nUser-Agent: client/1.0\r\nAccept: */*\r\nAccept-Encoding: gzip\r\nX-Request: 1\r\n\r\n", path)
}

// crowd is a server of which ordinary callers fill the memory.
type crowd struct {
	server   *Server
	listener *memnet.Listener
	// release lets the requests for a path respond once its channel is closed.
	release map[string]chan struct{}
}

// newCrowd starts a server that ends with the test's bubble. Its requests run until they are released, and then respond with size bytes.
func newCrowd(t *testing.T, size int) *crowd {
	c := &crowd{release: map[string]chan struct{}{runningPath: make(chan struct{}), crowdPath: make(chan struct{})}}
	c.server, c.listener = limitedServer(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-c.release[r.URL.Path]:
			_, _ = w.Write(make([]byte, size))
		case <-r.Context().Done():
		}
	}, CallerLimits{Budget: NewBudget(BudgetOptions{Memory: crowdMemory})})
	t.Cleanup(func() {
		closeServer(t, c.server)
		require.Zero(t, used(c.server).held, "everything is given back")
	})
	return c
}

// send opens connections and sends an ordinary request for path on each, one after the other. Some may be refused.
func (c *crowd) send(t *testing.T, count int, path string) []net.Conn {
	var all []net.Conn
	for range count {
		conn := dial(t, c.listener)
		all = append(all, conn)
		go func() { _, _ = io.WriteString(conn, crowdRequest(path)) }()
		synctest.Wait()
	}
	return all
}

// responses are what callers receive.
type responses struct {
	// statuses counts whole responses by their status, and cut the connections that end without one.
	statuses map[string]int
	cut      int
}

// receive reads the responses on connections, all at once. The function that it returns waits for them.
func receive(conns ...net.Conn) (wait func() responses) {
	received := make(chan string, len(conns))
	for _, conn := range conns {
		go func() {
			answer, err := read(conn)
			status, _, _ := strings.Cut(answer, " ")
			if err != nil {
				status = ""
			}
			received <- status
		}()
	}
	return func() responses {
		got := responses{statuses: map[string]int{}}
		for range conns {
			if status := <-received; status != "" {
				got.statuses[status]++
			} else {
				got.cut++
			}
		}
		return got
	}
}

// TestRunningRequestsSurviveACrowdOfOrdinaryCallers guards against requests that end without a response because newer callers, as ordinary
// as theirs, arrive.
func TestRunningRequestsSurviveACrowdOfOrdinaryCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(t, 1)
		running := c.send(t, crowdRunning, runningPath)
		c.send(t, crowdSize, crowdPath)
		require.Positive(t, used(c.server).refused+used(c.server).closed, "the crowd does not fill the memory")
		close(c.release[runningPath])
		got := receive(running...)()
		require.Zero(t, got.cut, "requests without a response")
		require.Equal(t, crowdRunning, got.statuses["200"])
	})
}

// TestSlowReadersSurviveACrowdOfOrdinaryCallers guards against responses that are cut midway because their callers read slowly while newer
// ordinary callers fill the memory.
func TestSlowReadersSurviveACrowdOfOrdinaryCallers(t *testing.T) {
	for name, size := range map[string]int{"ordinary": 8 << 10, "large": 24 << 10} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCrowd(t, size)
				running := c.send(t, crowdRunning, runningPath)
				c.send(t, crowdSize, crowdPath)
				close(c.release[runningPath])
				time.Sleep(2 * writeCheckInterval)
				got := receive(running...)()
				require.Zero(t, got.cut, "responses that are cut")
				require.Equal(t, crowdRunning, got.statuses["200"])
			})
		})
	}
}

// TestEveryCallerOfACrowdIsAnswered guards against ordinary callers who are told nothing: each one of a crowd gets its response, or 503 with
// its request not run.
func TestEveryCallerOfACrowdIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(t, 1)
		var waits []func() responses
		for range crowdSize {
			waits = append(waits, receive(c.send(t, 1, crowdPath)...))
		}
		close(c.release[crowdPath])
		total := responses{statuses: map[string]int{}}
		for _, wait := range waits {
			got := wait()
			total.cut += got.cut
			for status, n := range got.statuses {
				total.statuses[status] += n
			}
		}
		require.Zero(t, total.cut, "callers without a response")
		require.Equal(t, crowdSize, total.statuses["200"]+total.statuses["503"])
		require.GreaterOrEqual(t, total.statuses["200"], crowdMemory/ordinaryCost, "the memory has room for that many")
	})
}

// TestProbesAreAnsweredBesideACrowd guards against probes that are refused because callers of another server have filled the memory that
// both share.
func TestProbesAreAnsweredBesideACrowd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(t, 1)
		c.send(t, crowdSize, crowdPath)
		probed, l := limitedServer(handle(200, "healthy", 0).ServeHTTP, CallerLimits{Budget: c.server.limits.Budget, Reserved: true})
		t.Cleanup(func() { closeServer(t, probed) })
		for range crowdMemory / overshootShare / ordinaryCost {
			answer, err := get(dial(t, l))
			require.NoError(t, err)
			require.Equal(t, "200 healthy", answer)
		}
	})
}

// useUp lets a connection take what ordinary callers have left of the memory.
func useUp(t *testing.T, s *Server) {
	b := s.limits.Budget
	left := b.opts.Memory - b.ordinary
	for _, a := range used(s).accounts {
		if a.cost+left <= ordinaryCost {
			require.True(t, b.set(a, a.cost+left))
			return
		}
	}
	require.Zero(t, left)
}

// TestNextRequestSurvivesACrowd guards against a request that was sent behind the body of another one, runs, and ends without a response
// because ordinary callers have filled the memory.
func TestNextRequestSurvivesACrowd(t *testing.T) {
	const body = "0123456789"
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(t, 1)
		conn := dial(t, c.listener)
		_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", runningPath, len(body))
		require.NoError(t, err)
		synctest.Wait()
		c.send(t, crowdSize, crowdPath)
		useUp(t, c.server)
		go func() { _, _ = io.WriteString(conn, body+crowdRequest(crowdPath)) }()
		close(c.release[runningPath])
		answer, err := read(conn)
		require.NoError(t, err)
		require.Equal(t, "200 \x00", answer)
		synctest.Wait()
		close(c.release[crowdPath])
		answer, err = read(conn)
		require.NoError(t, err, "the next request")
		require.Equal(t, "200 \x00", answer)
	})
}
