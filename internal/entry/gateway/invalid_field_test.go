package gateway

// The tests of this file run in virtual time: withFixture uses testing/synctest.

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestInvalidFieldNameIsNoAnswer guards against the answer of an endpoint in trouble, with a blank or a control byte in the name of a header
// field, that its caller gets as complete: with that line in the value of another field, with a body of which the length was not seen, or
// only at the deadline.
func TestInvalidFieldNameIsNoAnswer(t *testing.T) {
	const length = "Content-Length: 2\r\n"
	for line, framing := range map[string]string{
		"X Odd: v": length, "X-Odd : v": length, "X-Signed : other": length, " X-Odd: v": length, "\tX-Odd: v": length,
		"X\x00Odd: v": length, "X\x7fOdd: v": length, ": v": length, "nocolon": length, "X-Odd: a\x00b": length,
		"Content-Length : 2": "", "Transfer-Encoding : chunked": "",
	} {
		for path, runs := range map[string]int{"/unsafe/x": 1, "/safe/x": 2, "/stream/x": 2} {
			t.Run(line+path, func(t *testing.T) {
				withFixture(t, func(f *fixture) {
					f.requireNoAnswer(path, runs, func(c net.Conn, r *http.Request) {
						_, _ = io.WriteString(c, responseHeader(r, http.StatusOK, line+"\r\n"+framing)+"ok")
					})
				})
			})
		}
	}
}

// TestInvalidFieldNameIsTriedElsewhere lets only the first endpoint be in trouble.
func TestInvalidFieldNameIsTriedElsewhere(t *testing.T) {
	for _, path := range []string{"/safe/x", "/stream/x"} {
		withFixture(t, func(f *fixture) {
			forEach(append(f.heads, f.plains...), func(e *fakeEndpoint) {
				e.script = func(c net.Conn, r *http.Request, _ string) {
					e.recordRun(r)
					line := ""
					if f.runCount() == 1 {
						line = "X-Not-Run : 1\r\n"
					}
					_, _ = io.WriteString(c, responseHeader(r, http.StatusOK, line+"Content-Length: 0\r\n"))
				}
			})
			got := f.send(http.MethodPost, path, "", "X-Request-Id", "req-1")
			require.Equal(t, http.StatusOK, got.status, got.body)
			require.Equal(t, 2, f.runCount())
		})
	}
}

// TestTrailersAreNotPassedOn guards against a field of a trailer, with a valid name or not, that a caller gets.
func TestTrailersAreNotPassedOn(t *testing.T) {
	for _, trailer := range []string{"X-Odd: v", "X-Odd : v", "X-Signed: other"} {
		withFixture(t, func(f *fixture) {
			forEach(f.plains, func(e *fakeEndpoint) {
				e.script = func(c net.Conn, r *http.Request, _ string) {
					head := responseHeader(r, http.StatusOK, "Transfer-Encoding: chunked\r\nTrailer: X-Odd\r\n")
					_, _ = io.WriteString(c, head+chunk("ok")+"0\r\n"+trailer+"\r\n\r\n")
				}
			})
			got := f.send(http.MethodPost, "/unsafe/x", "", "X-Request-Id", "req-1")
			require.Equal(t, http.StatusOK, got.status, got.body)
			require.Equal(t, "ok", got.body)
			require.Len(t, got.header.Values("X-Signed"), 1)
			require.NotContains(t, got.header.Get("X-Signed"), "other")
			for name := range got.header {
				require.NotContains(t, name, "Odd")
			}
		})
	}
}
