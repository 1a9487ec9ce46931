package gateway

// The tests of this file run in virtual time: withFixture uses testing/synctest.

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/process/clock"
)

// evacuate applies an update of a control host that has these evacuated domains.
func (f *fixture) evacuate(revision uint64, domains ...string) {
	f.g.applyUpdate(&message.Picture{Version: f.g.table.Load().Version, EvacuationRevision: revision, Evacuated: &message.Evacuated{Domains: domains}})
}

// moveEndpoint puts an endpoint in another failure domain.
func (f *fixture) moveEndpoint(id, domain string) {
	e, _ := f.g.roster.Get(id)
	moved := e.Endpoint
	moved.FailureDomain = domain
	moved.Sequence++
	f.g.applyUpdate(&message.Picture{Version: f.g.table.Load().Version, Endpoints: []roster.Endpoint{moved}})
}

// TestNoRequestGoesToAnEvacuatedDomain guards against requests to endpoints in an evacuated domain, against requests that are held until
// their wait ends although no endpoint can serve them, and against a domain that gets no requests after the withdrawal.
func TestNoRequestGoesToAnEvacuatedDomain(t *testing.T) {
	withFixture(t, func(f *fixture) {
		forEach(append(f.plains, f.heads...), func(e *fakeEndpoint) { e.respondWith(http.StatusOK, "whole") })
		f.moveEndpoint("p1", "b")
		f.evacuate(3, "b")
		for range 8 {
			require.Equal(t, http.StatusOK, f.send(http.MethodPost, "/safe/x", "").status)
		}
		require.Zero(t, f.plains[1].runCount())

		f.evacuate(4, "a", "b")
		for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x"} {
			response := f.send(http.MethodPost, path, "")
			require.Equal(t, http.StatusServiceUnavailable, response.status, path)
			require.Contains(t, response.body, "evacuated", path)
			require.Zero(t, response.took, path)
		}

		f.evacuate(2)
		require.Equal(t, http.StatusServiceUnavailable, f.send(http.MethodPost, "/safe/x", "").status, "revision 2 is older")
		f.evacuate(5)
		require.Equal(t, http.StatusOK, f.send(http.MethodPost, "/safe/x", "").status)
	})
}

// TestPlacedRequestIsNotSentToADomainEvacuatedMeanwhile guards against a request that got its endpoint before the evacuation and is written
// after it, since the connection took long to open. It is sent to another domain or refused as not run, and no failure is recorded for its
// endpoint.
func TestPlacedRequestIsNotSentToADomainEvacuatedMeanwhile(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x"} {
		for _, elsewhere := range []bool{true, false} {
			withFixture(t, func(f *fixture) {
				forEach(f.plains, func(e *fakeEndpoint) { e.respondWith(http.StatusOK, "whole") })
				f.moveEndpoint("p1", "b") // The gateway's own domain a is preferred.
				if !elsewhere {
					f.plains[1].refuses.Store(true)
				}
				f.g.upstream.Dial = func(ctx context.Context, address string) (net.Conn, error) {
					if address == "p0" {
						time.Sleep(300 * time.Millisecond)
					}
					return f.net.dial(ctx, address)
				}
				time.AfterFunc(100*time.Millisecond, func() { f.evacuate(3, "a") })
				response := f.send(http.MethodPost, path, "")
				require.Zero(t, f.plains[0].runCount())
				require.Empty(t, f.plains[0].received, "no byte of it is written")
				if elsewhere {
					require.Equal(t, http.StatusOK, response.status)
					require.Equal(t, 1, f.plains[1].runCount())
				} else {
					require.Equal(t, http.StatusServiceUnavailable, response.status)
				}
				f.evacuate(4)
				require.Equal(t, http.StatusOK, f.send(http.MethodPost, path, "").status)
				require.Equal(t, 1, f.plains[0].runCount(), "the endpoint has not failed")
			})
		}
	}
}

// TestPausedProcessAsksBeforeItSends guards against a request that got its endpoint before the process was paused and is written after it,
// with evacuations that may be outdated.
func TestPausedProcessAsksBeforeItSends(t *testing.T) {
	withSilentControl(t, func(f *fixture) {
		var resumed func()
		f.g.upstream.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			resumed = clock.MockSuspension(8 * time.Second)
			return f.net.dial(ctx, address)
		}
		response := f.send(http.MethodPost, "/unsafe/x", "")
		defer resumed()
		require.Equal(t, http.StatusServiceUnavailable, response.status)
		require.Contains(t, response.body, reasonUnconfirmed)
		require.Zero(t, f.runCount())
	})
}

// TestQueuedRequestIsRefusedAtOnceByAnEvacuation guards against a waiting request that is held until its wait ends, or sent, after all
// endpoints that serve it were evacuated.
func TestQueuedRequestIsRefusedAtOnceByAnEvacuation(t *testing.T) {
	withFixture(t, func(f *fixture) {
		f.g.mu.Lock()
		for _, id := range []string{"p0", "p1"} {
			f.g.balancer.MarkBusy(id, 1, 120*time.Millisecond, time.Now())
		}
		f.g.mu.Unlock()
		time.AfterFunc(50*time.Millisecond, func() { f.evacuate(3, "a") })
		response := f.send(http.MethodPost, "/safe/x", "")
		require.Equal(t, http.StatusServiceUnavailable, response.status)
		require.Equal(t, 50*time.Millisecond, response.took)
		require.Zero(t, f.runCount())
	})
}

// TestInterruptedStreamIsNotResumedInAnEvacuatedDomain guards against a stream that is resumed at an evacuated endpoint, and against one that
// is cut by an evacuation although its endpoint keeps running.
func TestInterruptedStreamIsNotResumedInAnEvacuatedDomain(t *testing.T) {
	withFixture(t, func(f *fixture) {
		f.moveEndpoint("h1", "b")
		f.heads[0].streamEvents(6, 50*time.Millisecond, endStream)
		f.heads[1].streamEvents(6, 50*time.Millisecond, endStream)
		time.AfterFunc(120*time.Millisecond, func() { f.evacuate(3, "a", "b") })
		response := f.send(http.MethodPost, "/stream/x", "")
		require.NoError(t, response.err)
		require.Contains(t, response.body, "word-6", "running streams finish")
	})
	withFixture(t, func(f *fixture) {
		f.moveEndpoint("h1", "b")
		f.heads[0].streamEvents(3, 50*time.Millisecond, closeInsideEvent)
		f.heads[1].streamEvents(6, 50*time.Millisecond, endStream)
		time.AfterFunc(120*time.Millisecond, func() { f.evacuate(3, "b") })
		response := f.send(http.MethodPost, "/stream/x", "")
		require.Error(t, response.err)
		require.Empty(t, f.heads[1].received)
	})
}

// TestSilentEndpointGetsNoStandbyInAnEvacuatedDomain guards against a second attempt that starts at an evacuated endpoint.
func TestSilentEndpointGetsNoStandbyInAnEvacuatedDomain(t *testing.T) {
	withFixture(t, func(f *fixture) {
		f.moveEndpoint("p1", "b")
		f.plains[0].script = func(c net.Conn, r *http.Request, _ string) {
			f.plains[0].recordRun(r)
			time.Sleep(time.Second)
			_ = c.Close()
		}
		f.plains[1].respondWith(http.StatusOK, "whole")
		time.AfterFunc(100*time.Millisecond, func() { f.evacuate(3, "b") })
		f.send(http.MethodPost, "/safe/x", "")
		require.Equal(t, 1, f.plains[0].runCount())
		require.Empty(t, f.plains[1].received)
	})
}

// TestAnswerConfirmsOnlyWhatTheGatewayHolds guards against a gateway that treats its evacuations as the newest although it has not received
// those that control has confirmed, and against a new gateway that serves before it has them.
func TestAnswerConfirmsOnlyWhatTheGatewayHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Options{Dialect: testDialect()})
		question := g.nextQuestion(true)
		g.applyUpdate(&message.Picture{Version: 5, Document: []byte("five5"), EvacuationRevision: 4, Confirmed: question.Number})
		require.Error(t, g.Ready(), "the set is missing")
		g.applyUpdate(&message.Picture{Version: 5, EvacuationRevision: 4, Evacuated: &message.Evacuated{Domains: []string{"a"}}, Confirmed: question.Number})
		require.NoError(t, g.Ready())
		_, confirmed := g.freshness.Age(clock.Now())
		require.True(t, confirmed)

		time.Sleep(time.Second)
		question = g.nextQuestion(true)
		g.applyUpdate(&message.Picture{Version: 5, EvacuationRevision: 6, Confirmed: question.Number})
		age, _ := g.freshness.Age(clock.Now())
		require.Equal(t, time.Second, age, "revision 6 is missing")
		g.applyUpdate(&message.Picture{Version: 5, EvacuationRevision: 3, Evacuated: &message.Evacuated{}, Complete: true})
		require.Equal(t, uint64(4), g.evacuationRevision, "another host lags")
		g.applyUpdate(&message.Picture{Version: 5, EvacuationRevision: 6, Evacuated: &message.Evacuated{}, Confirmed: question.Number})
		age, _ = g.freshness.Age(clock.Now())
		require.Zero(t, age)
	})
}
