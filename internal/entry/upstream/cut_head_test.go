package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHeadThatIsCutIsNoResponse ends the connection after each byte of a response's head, also behind informational responses. It guards
// against a success that seems complete, with an empty or short body, from an endpoint that stopped within its head.
func TestHeadThatIsCutIsNoResponse(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX-Signed: s\r\nContent-Length: 12\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Signed: s\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Signed: s\r\nConnection: close\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nX-Signed: s\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		scripts := make([]script, 0, len(head))
		for cut := range len(head) {
			scripts = append(scripts, func(t *testing.T, c net.Conn, r *bufio.Reader) {
				if read(t, r) != nil {
					_, _ = io.WriteString(c, head[:cut])
				}
			})
		}
		address := serve(t, scripts...)
		var p Pool
		for cut := range len(head) {
			_, err := p.Do(t.Context(), address, getRequest(), waitForever)
			require.True(t, IsErrInterrupted(err), fmt.Sprintf("%q: %v", head[:cut], err))
		}
	}
}
