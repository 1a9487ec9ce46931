package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// readWhole reads a response with a body of responseSize bytes.
func readWhole(t *testing.T, c net.Conn) {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err, "after %d of %d bytes", len(body), responseSize)
	require.Len(t, body, responseSize)
}

// TestResponseArrivesWholeBesideAnUnreadRequest guards against a connection that is closed while its caller still reads the response and has
// sent its next request already: the kernel resets such a connection and drops what it has not sent.
func TestResponseArrivesWholeBesideAnUnreadRequest(t *testing.T) {
	s, l := serveTCP(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, strings.Repeat("x", responseSize))
	})
	c := dialSlow(t, l)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65536\r\n\r\n"+strings.Repeat("y", 64<<10))
	require.NoError(t, err)
	<-l.ended
	readWhole(t, c)
	require.NoError(t, c.Close())
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	require.NoError(t, s.Stop(ctx))
}
