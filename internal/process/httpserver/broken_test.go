package httpserver

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestBrokenOffResponseWithoutLengthIsReset guards against a response that is broken off and that a caller of HTTP/1.0, which knows no
// chunks, takes for whole.
func TestBrokenOffResponseWithoutLengthIsReset(t *testing.T) {
	_, l := serveTCP(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", responseSize))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	c := dialSlow(t, l)
	send(t, c, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
	<-l.ended
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return
	}
	_, err = io.Copy(io.Discard, response.Body)
	require.Error(t, err)
	require.NoError(t, response.Body.Close())
}
