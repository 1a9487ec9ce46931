package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// beginStream sends the header of a stream.
func beginStream(c net.Conn, r *http.Request) {
	_, _ = io.WriteString(c, responseHeader(r, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
}

// TestStandbyThatFailsAfterItsHeaderKeepsTheStream guards against the loss of a stream whose endpoint
// is silent for a second and goes on, if another endpoint has sent the header of its response, but no
// event, and then breaks off or is silent.
func TestStandbyThatFailsAfterItsHeaderKeepsTheStream(t *testing.T) {
	ends := map[string]func(c net.Conn){"it breaks off": closeConnection, "it is silent": keepConnectionOpen}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			var got callerResponse
			withFixture(t, func(f *fixture) {
				f.heads[0].pauseAfter(3, 8, silence, false)
				f.heads[1].script = func(c net.Conn, r *http.Request, _ string) {
					beginStream(c, r)
					time.Sleep(20 * time.Millisecond)
					end(c)
				}
				got = f.send("POST", "/stream/", "x")
				f.letEndpointsEnd()
			})
			require.NoError(t, got.err)
			require.Equal(t, eventTexts(8), got.body)
		})
	}
}
