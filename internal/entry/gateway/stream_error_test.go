package gateway

// The tests of this file run in virtual time: withFixture uses testing/synctest.

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestErrorNeverReachesABegunStream guards against a stream that is interrupted, is resumed at an endpoint that answers with an error, and
// then contains the error's text or head, or ends as if it were complete.
func TestErrorNeverReachesABegunStream(t *testing.T) {
	const text = "overloaded: id: 4\ndata: try later\n\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(text))
	other := "HTTP/1.1 200 X\r\nX-Request-Id: other\r\nX-Signed: s\r\n" + length + "\r\n" + text
	for name, answer := range map[string]func(r *http.Request) string{
		"500": func(r *http.Request) string { return responseHeader(r, 500, length) + text },
		"500 as a stream": func(r *http.Request) string {
			return responseHeader(r, 500, "Content-Type: text/event-stream\r\n"+length) + text
		},
		"500 in chunks": func(r *http.Request) string {
			return responseHeader(r, 500, "Transfer-Encoding: chunked\r\n") + chunk(text) + "0\r\n\r\n"
		},
		"500 without length": func(r *http.Request) string { return responseHeader(r, 500, "") + text },
		"500 cut short":      func(r *http.Request) string { return responseHeader(r, 500, length) + text[:9] },
		"404":                func(r *http.Request) string { return responseHeader(r, 404, length) + text },
		"204":                func(r *http.Request) string { return responseHeader(r, 204, "") },
		"206":                func(r *http.Request) string { return responseHeader(r, 206, length) + text },
		"302":                func(r *http.Request) string { return responseHeader(r, 302, "Location: /\r\n"+length) + text },
		"refused":            func(r *http.Request) string { return responseHeader(r, 503, "X-Not-Run: 1\r\n"+length) + text },
		"another endpoint":   func(r *http.Request) string { return responseHeader(r, 421, length) + text },
		"200 with a text": func(r *http.Request) string {
			return responseHeader(r, 200, "Content-Type: text/plain\r\n"+length) + text
		},
		"200 with a text, no length": func(r *http.Request) string { return responseHeader(r, 200, "Content-Type: text/html\r\n") + text },
		"200 without a type":         func(r *http.Request) string { return responseHeader(r, 200, length) + text },
		"200 without a signature": func(r *http.Request) string {
			return strings.Replace(responseHeader(r, 200, length), "X-Signed", "X-None", 1) + text
		},
		"of another request": func(*http.Request) string { return other },
		"no response":        func(*http.Request) string { return text },
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(f *fixture) {
				defer f.letEndpointsEnd()
				begun := false
				forEach(f.heads, func(e *fakeEndpoint) {
					e.script = func(c net.Conn, r *http.Request, _ string) {
						e.recordRun(r)
						if begun {
							_, _ = io.WriteString(c, answer(r))
							time.Sleep(time.Millisecond) // A pipe fails the reads that begin after its end.
							_ = c.Close()
							return
						}
						begun = true
						_, _ = io.WriteString(c, responseHeader(r, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
						for id := 1; id <= 3; id++ {
							_, _ = io.WriteString(c, chunk(eventText(id)))
						}
						_ = c.Close()
					}
				})
				got := f.send(http.MethodPost, "/stream/x", "")
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, eventTexts(3), got.body)
				require.Error(t, got.err, "the stream must not seem complete")
				require.Equal(t, 2, f.runCount())
			})
		})
	}
}
