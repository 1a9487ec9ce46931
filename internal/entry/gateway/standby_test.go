package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/entry/dialect"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/link/message"
)

// announceHead announces a healthy head.
func (f *fixture) announceHead(id string) *fakeEndpoint {
	head := &fakeEndpoint{}
	f.net.mu.Lock()
	f.net.endpoints[id] = head
	f.net.mu.Unlock()
	f.heads = append(f.heads, head)
	f.g.applyUpdate(&message.Picture{Endpoints: []roster.Endpoint{{
		ID: id, Service: "llm", Address: id, FailureDomain: "a", Slots: 48, StartedMs: 1, Sequence: 1, Engine: true, Model: "m",
		Member: &roster.Membership{Replica: "m." + id, State: roster.MemberOpen},
	}}})
	return head
}

// reportLoad lets heads report how many requests they run.
func (f *fixture) reportLoad(running int, ids ...string) {
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	for _, id := range ids {
		f.g.balancer.SetLoad(id, dialect.Load{Running: running, Slots: 48}, time.Now())
	}
	f.g.balancer.ProcessQueue(time.Now())
}

// keepFull lets heads report that they are full until end.
func (f *fixture) keepFull(end time.Duration, ids ...string) {
	for until := time.Now().Add(end); time.Now().Before(until); {
		f.reportLoad(100, ids...)
		time.Sleep(100 * time.Millisecond)
	}
	f.reportLoad(0, ids...)
}

// beginStream sends the header of a stream.
func beginStream(c net.Conn, r *http.Request) {
	_, _ = io.WriteString(c, responseHeader(r, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
}

// TestStandbyThatFailsAfterItsHeaderKeepsTheStream guards against the loss of a stream whose endpoint
// is silent for a second and then continues, if another endpoint has sent the header of its response,
// but no event, and then fails or is silent.
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

// TestSilentStandbyIsReplaced guards against a stream that waits for a silent standby until its
// deadline, after its own endpoint has crashed and although another endpoint has capacity.
func TestSilentStandbyIsReplaced(t *testing.T) {
	var got callerResponse
	withFixture(t, func(f *fixture) {
		f.announceHead("h2").streamEvents(8, 10*time.Millisecond, endStream)
		f.heads[1].streamEvents(10, 50*time.Millisecond, keepConnectionOpen)
		f.reportLoad(100, "h0", "h2")
		go f.send("POST", "/stream/", "x")
		synctest.Wait()
		f.heads[1].script = func(c net.Conn, _ *http.Request, _ string) { keepConnectionOpen(c) }
		f.reportLoad(0, "h0")
		f.reportLoad(40, "h1")
		go f.keepFull(time.Second, "h2")
		synctest.Wait()
		f.heads[0].script = func(c net.Conn, r *http.Request, _ string) {
			beginStream(c, r)
			_, _ = io.WriteString(c, chunk(eventText(1)))
			time.Sleep(900 * time.Millisecond)
			f.heads[0].refuses.Store(true)
			_ = c.Close()
		}
		got = f.send("POST", "/stream/", "x")
		f.letEndpointsEnd()
	})
	require.NoError(t, got.err)
	require.Equal(t, eventTexts(8), got.body)
}
