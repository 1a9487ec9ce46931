package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// closeTimeout bounds the wait for a close that takes a second or two on an idle machine.
const closeTimeout = 30 * time.Second

// TestIdleConnectionsEndByThemselves guards against connections that stay open permanently because no other
// request follows. They are closed after their idle timeout, and at once if an endpoint that announces a long one
// sends endless bytes after its complete response.
func TestIdleConnectionsEndByThemselves(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=%d\r\n\r\nok"
	for name, c := range map[string]struct {
		response string
		endless  bool
	}{
		"silent":      {fmt.Sprintf(whole, 1), false},
		"sends on":    {fmt.Sprintf(whole, 3600), true},
		"sends on, 1": {fmt.Sprintf(whole, 1), true},
	} {
		t.Run(name, func(t *testing.T) {
			kept, closed := make(chan struct{}), make(chan struct{})
			address := serveAtOnce(t, []script{func(t *testing.T, conn net.Conn, r *bufio.Reader) {
				defer close(closed)
				if read(t, r) == nil {
					return
				}
				_, err := io.WriteString(conn, c.response)
				<-kept
				for c.endless && err == nil {
					_, err = io.WriteString(conn, strings.Repeat("x", 16<<10))
				}
				_, _ = r.ReadByte()
			}})
			var p Pool
			x, err := p.Do(t.Context(), address, getRequest(), waitForever)
			require.NoError(t, err)
			body, err := io.ReadAll(x)
			require.NoError(t, err)
			require.Equal(t, "ok", string(body))
			x.Close()
			p.mu.Lock()
			require.Len(t, p.idle[address], 1, "the connection is kept")
			p.mu.Unlock()
			close(kept)
			select {
			case <-closed:
			case <-time.After(closeTimeout):
				require.Fail(t, "the connection is open")
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			require.Empty(t, p.idle)
		})
	}
}
