package fleet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/standin/engine"
	"github.com/egretreach/egretreach/internal/standin/service"
)

// dialEntry opens a caller's connection to an entry.
func (s *fixture) dialEntry(entry int) net.Conn {
	conn, err := s.Entry(entry).Transport.(*http.Transport).DialContext(s.ctx, "", "")
	require.NoError(s.t, err)
	return conn
}

// chatHeader is the header of a request with chatBody.
var chatHeader = fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n"+
	"Authorization: Bearer dev-token-cascadia\r\nContent-Length: %d\r\n\r\n", len(chatBody))

// stopEntry stops an entry as its process does on SIGTERM.
func (s *fixture) stopEntry(entry int) {
	s.Entry(entry).Shutdown(s.ctx)
	s.Entry(entry).Kill()
}

// readResponse reads one response from conn.
func readResponse(t *testing.T, conn net.Conn) response {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return response{status: resp.StatusCode, header: resp.Header, body: string(body)}
}

// TestStoppingEntrySendsTheResponseToASlowCaller stops an entry when a response is final, but the
// caller has not read it yet.
func TestStoppingEntrySendsTheResponseToASlowCaller(t *testing.T) {
	runFleet(t, func(s *fixture) {
		conn := s.dialEntry(0)
		_, err := io.WriteString(conn, chatHeader+chatBody)
		require.NoError(t, err)
		advance(5 * time.Second)
		go s.stopEntry(0)
		advance(time.Second)
		a := readResponse(t, conn)
		want, _, err := engine.Completion([]byte(chatBody))
		require.NoError(t, err)
		require.Equal(t, want, a.content(t))
	})
}

// TestStoppingEntryAnswersWhatItCuts stops an entry beside requests that last longer than the stop may. It guards against callers who get no
// answer, so that they can't tell what became of a request that may not be repeated.
func TestStoppingEntryAnswersWhatItCuts(t *testing.T) {
	long := strings.Replace(chatBody, `"max_tokens":64`, `"max_tokens":4000,"ignore_eos":true`, 1)
	for name, c := range map[string]struct {
		path, body string
		streams    bool
	}{
		"sign-off": {signoffsPath, `{"badge":"camping"}`, false},
		"chat":     {"/v1/chat/completions", long, false},
		"stream":   {"/v1/chat/completions", strings.Replace(long, "{", `{"stream":true,`, 1), true},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, func(s *fixture) {
				services := []host.ID{"records-1", "records-2"}
				for _, id := range services {
					s.Agent(id).Service.SetFailure(service.FailureHang)
				}
				conn := s.dialEntry(0)
				_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer dev-token-cascadia\r\nContent-Length: %d\r\n\r\n%s",
					c.path, len(c.body), c.body)
				require.NoError(t, err)
				advance(500 * time.Millisecond)
				ctx, cancel := context.WithTimeout(s.ctx, 700*time.Millisecond)
				defer cancel()
				cut := make(chan int, 1)
				go func() {
					cut <- s.Entry(0).Shutdown(ctx)
					s.Entry(0).Kill()
				}()
				a := readResponse(t, conn)
				require.Equal(t, 1, <-cut, a.body)
				for _, id := range services {
					s.Agent(id).Service.ReleaseHanging()
				}
				if c.streams {
					require.Contains(t, a.body, "error")
					require.NotContains(t, a.body, "[DONE]")
					return
				}
				require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, a.status, a.body)
				require.Equal(t, "unknown", a.header.Get("Egretreach-Outcome"))
			})
		})
	}
}

// TestStoppingEntryAnswersARequestThatArrives stops an entry while the body of a request arrives. It
// must be refused.
func TestStoppingEntryAnswersARequestThatArrives(t *testing.T) {
	runFleet(t, func(s *fixture) {
		conn := s.dialEntry(0)
		_, err := io.WriteString(conn, chatHeader+chatBody[:20])
		require.NoError(t, err)
		advance(100 * time.Millisecond)
		go s.stopEntry(0)
		advance(time.Second)
		_, err = io.WriteString(conn, chatBody[20:])
		require.NoError(t, err)
		a := readResponse(t, conn)
		require.Equal(t, http.StatusServiceUnavailable, a.status, a.body)
		require.Equal(t, "not_run", a.header.Get("Egretreach-Outcome"))
	})
}
