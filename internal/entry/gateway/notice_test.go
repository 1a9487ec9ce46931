package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/link/message"
)

// respondOnce lets the endpoint respond with raw text to the first request and with 200 to others.
func (e *fakeEndpoint) respondOnce(raw func(r *http.Request) string, end func(c net.Conn)) {
	first := true
	e.script = func(c net.Conn, r *http.Request, _ string) {
		e.recordRun(r)
		if first {
			first = false
			_, _ = io.WriteString(c, raw(r))
			end(c)
			return
		}
		_, _ = io.WriteString(c, responseHeader(r, 200, "Content-Length: 2\r\n")+"ok")
	}
}

func stayOpen(net.Conn) {}

// plainEndpoint returns the announcement of a plain endpoint of the fixture.
func plainEndpoint(i int, startedMs int64, sequence uint64) roster.Endpoint {
	id := fmt.Sprint("p", i)
	return roster.Endpoint{ID: id, Service: "plain", Address: id, FailureDomain: "a", Slots: 6, StartedMs: startedMs, Sequence: sequence}
}

// TestEndpointThatSaysItLeavesGetsNoRequests guards against requests to an endpoint that has said in any
// kind of response that it leaves, regardless of later announcements and responses.
func TestEndpointThatSaysItLeavesGetsNoRequests(t *testing.T) {
	const leaving = "X-Leaving: 1\r\n"
	cases := map[string]struct {
		raw func(r *http.Request) string
		end func(c net.Conn)
	}{
		"success":      {func(r *http.Request) string { return responseHeader(r, 200, leaving+"Content-Length: 2\r\n") + "ok" }, stayOpen},
		"client error": {func(r *http.Request) string { return responseHeader(r, 404, leaving+"Content-Length: 2\r\n") + "no" }, stayOpen},
		"server error": {func(r *http.Request) string { return responseHeader(r, 500, leaving+"Content-Length: 2\r\n") + "no" }, stayOpen},
		"declined": {func(*http.Request) string {
			return "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\n" + leaving + "Content-Length: 0\r\n\r\n"
		}, stayOpen},
		"not the head": {func(*http.Request) string { return "HTTP/1.1 421 X\r\n" + leaving + "Content-Length: 0\r\n\r\n" }, stayOpen},
		"broken off":   {func(r *http.Request) string { return responseHeader(r, 200, leaving+"Content-Length: 20\r\n") + "half" }, closeConnection},
		"unsigned":     {func(*http.Request) string { return "HTTP/1.1 200 X\r\n" + leaving + "Content-Length: 2\r\n\r\nok" }, stayOpen},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var statuses []int
			runs := 0
			withFixture(t, func(f *fixture) {
				f.plains[0].respondOnce(c.raw, c.end)
				f.plains[1].respondWith(200, "ok")
				f.send("POST", "/safe/", "x")
				runs = f.plains[0].runCount()
				f.g.applyUpdate(&message.Picture{Endpoints: []roster.Endpoint{plainEndpoint(0, 1, 9)}})
				for range 12 {
					time.Sleep(500 * time.Millisecond)
					statuses = append(statuses, f.send("POST", "/unsafe/", "x").status)
				}
				runs = f.plains[0].runCount() - runs
			})
			require.Zero(t, runs)
			require.NotContains(t, statuses, http.StatusServiceUnavailable)
		})
	}
}

// TestLeavingEndpointFinishesItsStream guards against the interruption of a stream whose header says that
// the endpoint leaves, and against new streams there while it runs.
func TestLeavingEndpointFinishesItsStream(t *testing.T) {
	var stream, second callerResponse
	var runs int
	withFixture(t, func(f *fixture) {
		f.heads[0].script = func(c net.Conn, r *http.Request, _ string) {
			f.heads[0].recordRun(r)
			_, _ = io.WriteString(c, responseHeader(r, 200, "X-Leaving: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
			for id := 1; id <= 6; id++ {
				time.Sleep(100 * time.Millisecond)
				_, _ = io.WriteString(c, chunk(eventText(id)))
			}
			endStream(c)
		}
		f.heads[1].streamEvents(3, 50*time.Millisecond, endStream)
		done := make(chan callerResponse, 1)
		go func() { done <- f.send("POST", "/stream/", "x") }()
		time.Sleep(150 * time.Millisecond)
		synctest.Wait()
		second = f.send("POST", "/stream/", "x")
		stream, runs = <-done, f.heads[0].runCount()
	})
	require.Equal(t, eventTexts(6), stream.body)
	require.Equal(t, eventTexts(3), second.body)
	require.Equal(t, 1, runs)
}

// TestLeavingIsHeardAfterTheCallerLeft guards against the loss of a notice in the response to a request
// whose caller leaves during the body.
func TestLeavingIsHeardAfterTheCallerLeft(t *testing.T) {
	var runs int
	withFixture(t, func(f *fixture) {
		f.plains[0].respondOnce(func(r *http.Request) string {
			return responseHeader(r, 200, "X-Leaving: 1\r\nContent-Length: 20\r\n") + "half"
		}, keepConnectionOpen)
		f.plains[1].respondWith(200, "ok")
		ctx, cancel := context.WithTimeout(f.t.Context(), 100*time.Millisecond)
		defer cancel()
		f.sendWithContext(ctx, "POST", "/unsafe/", "x")
		time.Sleep(time.Second)
		for range 6 {
			f.send("POST", "/unsafe/", "x")
		}
		runs = f.plains[0].runCount()
	})
	require.Equal(t, 1, runs)
}

// TestNoticeEndsWithTheIncarnation guards against a mark that stays with an address or an ID when another
// incarnation serves there.
func TestNoticeEndsWithTheIncarnation(t *testing.T) {
	for name, header := range map[string]string{"leaving": "X-Leaving: 1\r\n", "busy": "Retry-After: 60\r\n"} {
		t.Run(name, func(t *testing.T) {
			var before, after callerResponse
			withFixture(t, func(f *fixture) {
				f.g.applyUpdate(&message.Picture{Endpoints: []roster.Endpoint{func() roster.Endpoint {
					e := plainEndpoint(1, 1, 2)
					e.State = roster.StateLeft
					return e
				}()}})
				f.plains[0].respondOnce(func(*http.Request) string {
					return "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\n" + header + "Content-Length: 0\r\n\r\n"
				}, stayOpen)
				f.send("POST", "/unsafe/", "x")
				time.Sleep(2 * time.Second)
				before = f.send("POST", "/unsafe/", "x")
				f.g.applyUpdate(&message.Picture{Endpoints: []roster.Endpoint{plainEndpoint(0, 2, 1)}})
				after = f.send("POST", "/unsafe/", "x")
			})
			require.Equal(t, http.StatusServiceUnavailable, before.status)
			require.Zero(t, before.took, "what can't be served is refused at once")
			require.NotEmpty(t, before.header.Get("Retry-After"))
			require.Equal(t, 200, after.status)
		})
	}
}

// busyFor returns the text of a 503 with a Retry-After.
func busyFor(retryAfter string) string {
	return "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nRetry-After: " + retryAfter + "\r\nContent-Length: 0\r\n\r\n"
}

// TestBusyEndpointIsLeftAloneForItsTime guards against requests to an endpoint between its 503 and the
// end of the Retry-After, and against a refusal while another endpoint serves. Values that can't be
// read, or that are shorter than the one in force, must change nothing.
func TestBusyEndpointIsLeftAloneForItsTime(t *testing.T) {
	for value, busy := range map[string]time.Duration{
		"2": 2 * time.Second, "0.75": 750 * time.Millisecond, "0": 0, "-3": 0, "soon": 0, "Fri, 04 Dec 2026 08:00:00 GMT": 0,
	} {
		t.Run(value, func(t *testing.T) {
			var statuses []int
			var arrivals []time.Duration
			withFixture(t, func(f *fixture) {
				f.plains[1].respondWith(200, "ok")
				busyAt := time.Time{}
				f.plains[0].script = func(c net.Conn, r *http.Request, _ string) {
					if busyAt.IsZero() {
						busyAt = time.Now()
						_, _ = io.WriteString(c, busyFor(value))
						return
					}
					arrivals = append(arrivals, time.Since(busyAt))
					_, _ = io.WriteString(c, responseHeader(r, 200, "Content-Length: 2\r\n")+"ok")
				}
				for range 100 {
					statuses = append(statuses, f.send("POST", "/safe/", "x").status)
					time.Sleep(50 * time.Millisecond)
				}
			})
			require.NotContains(t, statuses, http.StatusServiceUnavailable)
			require.NotEmpty(t, arrivals, "it serves again")
			require.GreaterOrEqual(t, arrivals[0], busy)
		})
	}
}

// TestAllEndpointsBusy guards against requests that wait although all endpoints are busy, and
// against a Retry-After that doesn't follow from the end of the busy time.
func TestAllEndpointsBusy(t *testing.T) {
	var first, refused, waited callerResponse
	withFixture(t, func(f *fixture) {
		for i, e := range f.plains {
			e.respondOnce(func(*http.Request) string { return busyFor(strconv.Itoa(3 + i)) }, stayOpen)
		}
		first = f.send("POST", "/safe/", "x")
		refused = f.send("POST", "/safe/", "x")
		time.Sleep(2900 * time.Millisecond)
		waited = f.send("POST", "/safe/", "x")
	})
	require.Equal(t, http.StatusServiceUnavailable, first.status)
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.Zero(t, refused.took)
	require.Equal(t, "3", refused.header.Get("Retry-After"))
	require.Equal(t, 200, waited.status, "the first endpoint returns within the wait")
	require.InDelta(t, 100*time.Millisecond, waited.took, float64(20*time.Millisecond))
}

// TestLimitIsHeardInEveryKindOfAnswer guards against a limit that is overlooked because the answer is a failure, and
// against one that is taken from another endpoint's answer.
func TestLimitIsHeardInEveryKindOfAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		more   string
		heard  bool
	}{
		"success": {200, "", true}, "failure": {500, "", true}, "declined": {503, "X-Not-Run: 1\r\n", true}, "another endpoint": {421, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(f *fixture) {
				forEach(f.plains, func(e *fakeEndpoint) {
					e.script = func(c2 net.Conn, r *http.Request, _ string) {
						_, _ = io.WriteString(c2, responseHeader(r, c.status, c.more+"X-Limit: 2.5\r\nContent-Length: 0\r\n"))
					}
				})
				f.send("POST", "/unsafe/", "x")
				report := f.g.composeReport(time.Now())
				if !c.heard {
					require.Empty(t, report.Limits.Limits)
					return
				}
				require.Len(t, report.Limits.Limits, 1)
				require.Equal(t, 2.5, report.Limits.Limits[0].PerSecond)
			})
		})
	}
}
