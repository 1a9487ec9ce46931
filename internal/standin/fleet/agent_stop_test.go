package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// TestStoppingAgentSendsTheResponseToASlowCaller stops the only replica when a stream is complete at its agent, but the caller has not read it
// yet. It guards against an agent that ends its links before the entry has received the response: the caller gets a part of it.
func TestStoppingAgentSendsTheResponseToASlowCaller(t *testing.T) {
	body := strings.Replace(chatBody, "{", `{"stream":true,`, 1)
	runFleetWithReplicas(t, 2, 1, func(s *fixture) {
		conn := s.dialEntry(0)
		_, err := fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer dev-token-cascadia\r\nContent-Length: %d\r\n\r\n%s",
			len(body), body)
		require.NoError(t, err)
		advance(100 * time.Millisecond)
		running := 0
		for _, id := range []host.ID{"host-1", "host-2"} {
			running += s.Agent(id).InProgress()
			go func() {
				_ = s.Agent(id).Shutdown(s.ctx)
				s.Agent(id).Kill()
			}()
		}
		require.Equal(t, 1, running)
		advance(10 * time.Second)
		a := readResponse(t, conn)
		require.Contains(t, a.body, "[DONE]")
		require.NotContains(t, a.body, "error")
	})
}
