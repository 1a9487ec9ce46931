package httpserver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/standin/memnet"
)

// limitedServer starts a server with limits, which ends with the test's bubble.
func limitedServer(handler http.HandlerFunc, limits CallerLimits) (*Server, *memnet.Listener) {
	s := New(&http.Server{Handler: handler, MaxHeaderBytes: 64 << 10, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute},
		handle(503, "refused", 0), limits)
	listener := memnet.NewListener("h")
	go func() { _ = s.Serve(listener) }()
	return s, listener
}

// closeServer ends a server and waits until its goroutines have ended.
func closeServer(t *testing.T, s *Server) {
	require.NoError(t, s.Close())
	time.Sleep(time.Minute)
}

// use is what callers have of a Budget.
type use struct {
	held, bodies int64
	// refused and closed count the callers that were limited.
	refused, closed uint64
	accounts        []*account
}

// used returns what callers have of the budget of a server.
func used(s *Server) use {
	b := s.limits.Budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return use{held: b.held, bodies: b.bodies, refused: b.refused, closed: b.closed, accounts: slices.Collect(maps.Keys(b.accounts))}
}

func dial(t *testing.T, l *memnet.Listener) net.Conn {
	c, err := l.Dial(t.Context(), "", "")
	require.NoError(t, err)
	return c
}

// oddHeader returns a request with a header of size bytes in lines of two bytes and their ends.
func oddHeader(method string, size int, more string) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	fmt.Fprintf(&b, "%s / HTTP/1.1\r\nHost: h\r\n%s", method, more)
	for i := 0; b.Len() < size-2; i++ {
		b.WriteString(string(letters[i%len(letters)]) + ":\n")
	}
	return b.String() + "\r\n"
}

// TestOddestLegalHeaderIsServed guards against limits that refuse a single legal request.
func TestOddestLegalHeaderIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, l := limitedServer(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, fieldCount(r.Header) > 5000) },
			CallerLimits{Budget: NewBudget(BudgetOptions{Memory: MinCallerMemory})})
		c := dial(t, l)
		_, err := io.WriteString(c, oddHeader("GET", 16<<10, ""))
		require.NoError(t, err)
		answer, err := read(c)
		require.NoError(t, err)
		require.Equal(t, "200 true", answer)
		closeServer(t, s)
		require.Zero(t, used(s).held, "everything is given back")
		require.Empty(t, used(s).accounts)
	})
}

// TestOrdinaryCallersAreServedBesideWithheldBodies guards against callers that hold the memory by legal headers whose bodies never come: the
// largest are closed, and an ordinary caller is served.
func TestOrdinaryCallersAreServedBesideWithheldBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, l := limitedServer(func(w http.ResponseWriter, r *http.Request) {
			_, err := io.ReadAll(r.Body)
			if err != nil {
				w.WriteHeader(http.StatusBadRequest)
			}
			fmt.Fprint(w, errors.Is(err, ErrCallerMemory))
		}, CallerLimits{Budget: NewBudget(BudgetOptions{Memory: MinCallerMemory})})
		var withheld []net.Conn
		for range 20 {
			c := dial(t, l)
			withheld = append(withheld, c)
			go func() { _, _ = io.WriteString(c, oddHeader("POST", 15<<10, "Content-Length: 9\r\n")) }()
			synctest.Wait()
			answer, err := get(dial(t, l))
			require.NoError(t, err)
			require.Equal(t, "200 false", answer)
			require.LessOrEqual(t, used(s).held, int64(MinCallerMemory+MinCallerMemory/overshootShare+40*2*connCost))
		}
		require.Positive(t, used(s).refused+used(s).closed)
		for _, c := range withheld {
			_ = c.Close()
		}
		closeServer(t, s)
		require.Zero(t, used(s).held)
	})
}

// TestRefusedHeaderGetsRetryAfter guards against callers that are closed without an answer though nothing of theirs has run.
func TestRefusedHeaderGetsRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ran := false
		s, l := limitedServer(func(http.ResponseWriter, *http.Request) { ran = true }, CallerLimits{Budget: NewBudget(BudgetOptions{Memory: 64 << 10})})
		c := dial(t, l)
		go func() { _, _ = io.WriteString(c, oddHeader("GET", 16<<10, "")) }()
		response, err := read(c)
		require.NoError(t, err)
		require.Equal(t, "503 ", response)
		closeServer(t, s)
		require.False(t, ran)
	})
}

// TestConnectionsAreLimited guards against callers that take the descriptors which the process needs for others.
func TestConnectionsAreLimited(t *testing.T) {
	const limit = 3
	synctest.Test(t, func(t *testing.T) {
		s, l := limitedServer(handle(200, "served", 0).ServeHTTP, CallerLimits{Connections: limit})
		var open []net.Conn
		for range limit {
			open = append(open, dial(t, l))
			synctest.Wait()
		}
		answer, err := read(dial(t, l))
		require.NoError(t, err)
		require.Equal(t, "503 ", answer, "the newest is refused")
		answer, err = get(open[0])
		require.NoError(t, err)
		require.Equal(t, "200 served", answer)
		require.NoError(t, open[1].Close())
		synctest.Wait()
		answer, err = get(dial(t, l))
		require.NoError(t, err)
		require.Equal(t, "200 served", answer, "a connection that has ended leaves room")
		closeServer(t, s)
	})
}

// TestUnreadResponsesCountAndEnd guards against callers that hold responses by not reading them.
func TestUnreadResponsesCountAndEnd(t *testing.T) {
	const size = 1 << 20
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan error, 1)
		s, l := limitedServer(func(w http.ResponseWriter, r *http.Request) {
			HoldResponse(r.Context(), size)
			_, err := w.Write(make([]byte, size))
			ended <- err
		}, CallerLimits{})
		c := dial(t, l)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		time.Sleep(2 * writeCheckInterval)
		require.Greater(t, used(s).held, int64(size)*9/10)
		time.Sleep(2 * transferTimeout)
		require.Error(t, <-ended, "a response without progress ends")
		_ = c.Close()
		closeServer(t, s)
		require.Zero(t, used(s).held)
	})
}

// TestSlowStreamsAreNotCut guards against limits that cut ordinary callers: a caller that reads slowly, and a stream with long gaps.
func TestSlowStreamsAreNotCut(t *testing.T) {
	const size, gap = 256 << 10, 10 * time.Minute
	synctest.Test(t, func(t *testing.T) {
		s, l := limitedServer(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/stream" {
				for i := range 3 {
					fmt.Fprint(w, i)
					_ = http.NewResponseController(w).Flush()
					time.Sleep(gap)
				}
				return
			}
			_, _ = w.Write(make([]byte, size))
		}, CallerLimits{})
		stream := dial(t, l)
		_, err := io.WriteString(stream, "GET /stream HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		answer, err := read(stream)
		require.NoError(t, err)
		require.Equal(t, "200 012", answer)

		slow := dial(t, l)
		_, err = io.WriteString(slow, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		answer, err = read(slowConn{slow})
		require.NoError(t, err)
		require.Len(t, answer, size+len("200 "))
		closeServer(t, s)
	})
}

// slowConn reads a little every few seconds.
type slowConn struct{ net.Conn }

func (c slowConn) Read(p []byte) (int, error) {
	time.Sleep(5 * time.Second)
	return c.Conn.Read(p[:min(len(p), 8<<10)])
}

// TestEvictedRequestEnds guards against requests that go on for a caller whose connection is closed for its memory.
func TestEvictedRequestEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan error, 1)
		s, l := limitedServer(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/wait" {
				return
			}
			<-r.Context().Done()
			ended <- context.Cause(r.Context())
		}, CallerLimits{})
		c := dial(t, l)
		_, err := io.WriteString(c, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		synctest.Wait()
		for _, a := range used(s).accounts {
			a.evict()
		}
		require.ErrorIs(t, <-ended, context.Canceled)
		b := make([]byte, 100)
		n, err := c.Read(b)
		require.Zero(t, n, "nothing is promised for a request that may have run")
		require.Error(t, err)
		closeServer(t, s)
	})
}

// TestLargeBodiesAreRefused guards against bodies that take the memory of a process whose handler reads them whole.
func TestLargeBodiesAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var readErr error
		s, l := limitedServer(func(_ http.ResponseWriter, r *http.Request) { _, readErr = io.ReadAll(r.Body) },
			CallerLimits{Budget: NewBudget(BudgetOptions{BodyMemory: 1 << 20})})
		post := func(size int) {
			c := dial(t, l)
			go func() {
				_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("b", size))
			}()
			_, err := read(c)
			require.NoError(t, err)
			_ = c.Close()
		}
		post(400 << 10)
		require.NoError(t, readErr)
		post(600 << 10)
		require.ErrorIs(t, readErr, ErrCallerMemory)
		closeServer(t, s)
		require.Zero(t, used(s).bodies)
	})
}
