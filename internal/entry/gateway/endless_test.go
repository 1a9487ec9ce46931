package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/link/message"
)

// respondEndless lets the endpoint send the responses to some paths without end, and respond to others with 200.
func (e *fakeEndpoint) respondEndless(path string) {
	text := chunk(strings.Repeat("x", 16<<10))
	e.script = func(c net.Conn, r *http.Request, _ string) {
		e.recordRun(r)
		if r.URL.Path != path {
			_, _ = io.WriteString(c, responseHeader(r, 200, "Content-Length: 4\r\n")+"done")
			return
		}
		_, err := io.WriteString(c, responseHeader(r, 200, "Transfer-Encoding: chunked\r\n"))
		for err == nil {
			_, err = io.WriteString(c, text)
		}
	}
}

// setPlainSlots announces the number of slots of the plain endpoints.
func (f *fixture) setPlainSlots(slots int) {
	update := &message.Picture{Version: f.g.table.Load().Version, Gateways: 1, Confirmed: f.g.nextQuestion(true).Number}
	for i := range f.plains {
		id := fmt.Sprint("p", i)
		update.Endpoints = append(update.Endpoints, roster.Endpoint{
			ID: id, Service: "plain", Address: id, FailureDomain: "a", Slots: slots, StartedMs: 1, Sequence: 2,
		})
	}
	f.g.applyUpdate(update)
}

// TestEndlessResponsesToSlowCallersBreakOffNoOthers guards against endless plain responses to callers that read
// nothing, which use up the memory budget for the responses of an endpoint, so that the ordinary requests of others
// fail.
func TestEndlessResponsesToSlowCallersBreakOffNoOthers(t *testing.T) {
	const (
		slots       = 24
		slowCallers = 40 // Of two endpoints.
		ordinary    = 20
		path        = "/unsafe/endless"
	)
	var held int
	var got []callerResponse
	withFixture(t, func(f *fixture) {
		forEach(f.plains, func(e *fakeEndpoint) { e.respondEndless(path) })
		f.setPlainSlots(slots)
		var conns []net.Conn
		for i := range slowCallers {
			c, err := f.dial()
			require.NoError(t, err)
			conns = append(conns, c)
			request := "POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: slow-%d\r\nX-Caller-Key: secret\r\nContent-Length: 0\r\n\r\n"
			go func() { _, _ = fmt.Fprintf(c, request, path, i) }()
		}
		time.Sleep(100 * time.Millisecond)
		held = f.runCount()
		for range ordinary {
			got = append(got, f.send("POST", "/unsafe/", "body"))
		}
		for _, c := range conns {
			_ = c.Close()
		}
		f.letEndpointsEnd()
	})
	require.Equal(t, slowCallers, held, "the endpoints send to the slow callers")
	for _, r := range got {
		require.Equal(t, 200, r.status, r.body)
	}
}
