package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/entry/balance"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/fleet/routes"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/process/clock"
)

// withWarmUp gives the plain service of a fixture a warm-up limit, from before its requests on.
func withWarmUp(f *fixture) {
	parse := f.g.opts.Dialect.ParseTable
	f.g.opts.Dialect.ParseTable = func(document []byte) (*routes.Table, error) {
		table, err := parse(document)
		if err == nil {
			table.Services[0].WarmUp = routes.WarmUp{Time: 3 * time.Second, PerSecond: 32}
		}
		return table, err
	}
	f.g.applyUpdate(&message.Picture{Version: 4, Document: []byte("4444"), Gateways: 47, Granting: true, WarmUp: &message.WarmUp{Judged: true}})
	f.g.balancer.Phase = 0.5 // Its own permits come long after the tests' requests.
	forEach(f.plains, func(e *fakeEndpoint) { e.respondWith(200, "ok") })
}

// coldUpdate returns an update that says that both plain endpoints are cold.
func coldUpdate(permits int, report, serial uint64) *message.Picture {
	m := &message.WarmUp{Judged: true, Report: report, Serial: serial}
	for _, id := range []string{"p0", "p1"} {
		m.Cold = append(m.Cold, message.ColdEndpoint{Endpoint: id, StartedMs: 1, Remaining: 3 * time.Second, Permits: permits})
	}
	return &message.Picture{Version: 4, Partial: true, Granting: true, WarmUp: m}
}

// TestLatePermitsAreReturned guards against permits that are used long after they were granted, because they arrived late or the process
// or its host was paused, and against a message that counts twice.
func TestLatePermitsAreReturned(t *testing.T) {
	for name, c := range map[string]struct {
		delay   func()
		serials []uint64
		served  int
		unused  int
	}{
		"in time":     {func() {}, []uint64{1}, 2, 0},
		"twice":       {func() {}, []uint64{1, 1}, 2, 0},
		"two grants":  {func() {}, []uint64{1, 2}, 4, 0},
		"out of turn": {func() {}, []uint64{2, 1}, 2, 0},
		"late":        {func() { time.Sleep(balance.WarmPermitTime) }, []uint64{1}, 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(f *fixture) {
				withWarmUp(f)
				report := f.g.composeReport(time.Now()).Limits.Number
				require.NotZero(t, report)
				c.delay()
				for _, serial := range c.serials {
					f.g.applyUpdate(coldUpdate(1, report, serial))
				}
				served := 0
				for range 6 {
					f.g.applyUpdate(&message.Picture{Version: 4, Partial: true, Granting: true})
					if f.send("POST", "/unsafe/", "x").status == http.StatusOK {
						served++
					}
				}
				require.Equal(t, c.served, served)
				unused := 0
				for _, u := range f.g.composeReport(time.Now()).Limits.Unused {
					unused += u.Permits
				}
				require.Equal(t, c.unused, unused)
			})
		})
	}
}

// TestPermitsEndWithASuspension guards against permits that a gateway uses after a suspension of its host, during which its clock
// stopped.
func TestPermitsEndWithASuspension(t *testing.T) {
	withFixture(t, func(f *fixture) {
		withWarmUp(f)
		f.g.applyUpdate(coldUpdate(1, f.g.composeReport(time.Now()).Limits.Number, 1))
		defer clock.MockSuspension(5 * time.Second)()
		require.Equal(t, http.StatusServiceUnavailable, f.send("POST", "/unsafe/", "x").status)
	})
}

// TestRequestIsNotSentAfterItsPermit guards against a request that has got its endpoint in time and reaches it later, since its connection
// took long to open, and against a ban of the endpoint for this reason.
func TestRequestIsNotSentAfterItsPermit(t *testing.T) {
	withFixture(t, func(f *fixture) {
		withWarmUp(f)
		f.g.applyUpdate(coldUpdate(1, f.g.composeReport(time.Now()).Limits.Number, 1))
		var mu sync.Mutex
		f.g.upstream.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			mu.Lock()
			defer mu.Unlock()
			time.Sleep(balance.WarmPermitTime)
			return f.net.dial(ctx, address)
		}
		require.Equal(t, http.StatusServiceUnavailable, f.send("POST", "/unsafe/", "x").status)
		require.Zero(t, f.runCount())
	})
}

// TestUnjudgedEndpointsAreCold guards against a gateway that sends the load of a warm endpoint to a newly announced one whose age the
// control host doesn't know, and against one that treats all endpoints as cold when it subscribes.
func TestUnjudgedEndpointsAreCold(t *testing.T) {
	for name, c := range map[string]struct {
		update message.Picture
		cold   bool
	}{
		"unjudged":              {message.Picture{WarmUp: &message.WarmUp{}}, true},
		"earlier version":       {message.Picture{}, true},
		"judged":                {message.Picture{WarmUp: &message.WarmUp{Judged: true}}, false},
		"a new subscription":    {message.Picture{Complete: true}, false},
		"judged and named cold": {message.Picture{WarmUp: &message.WarmUp{Judged: true, Cold: []message.ColdEndpoint{{Endpoint: "p9", StartedMs: 1, Remaining: time.Second}}}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(f *fixture) {
				withWarmUp(f)
				f.send("POST", "/unsafe/", "x")
				c.update.Version, c.update.Endpoints = 4, []roster.Endpoint{
					{ID: "p9", Service: "plain", Address: "p9", FailureDomain: "a", Slots: 6, StartedMs: 1, Sequence: 1},
					{ID: "p0", State: roster.StateLeft},
					{ID: "p1", State: roster.StateLeft},
				}
				f.net.mu.Lock()
				f.net.endpoints["p9"] = f.plains[0]
				f.net.mu.Unlock()
				f.g.applyUpdate(&c.update)
				status := f.send("POST", "/unsafe/", "x").status
				require.Equal(t, c.cold, status == http.StatusServiceUnavailable, "%d", status)
			})
		})
	}
}

// TestColdTimeIsHeardInEveryKindOfAnswer guards against a cold time that is ignored because the answer is a failure, and against one
// that is taken from another endpoint's answer.
func TestColdTimeIsHeardInEveryKindOfAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		more   string
		heard  bool
	}{
		"success": {200, "X-Cold: 2s\r\n", true}, "failure": {500, "X-Cold: 2s\r\n", true}, "declined": {503, "X-Not-Run: 1\r\nX-Cold: 2s\r\n", true},
		"another endpoint": {421, "X-Cold: 2s\r\n", false}, "unreadable": {200, "X-Cold: soon\r\n", false}, "none": {200, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(f *fixture) {
				withWarmUp(f)
				forEach(f.plains, func(e *fakeEndpoint) {
					e.script = func(c2 net.Conn, r *http.Request, _ string) {
						_, _ = io.WriteString(c2, responseHeader(r, c.status, c.more+"Content-Length: 0\r\n"))
					}
				})
				f.send("POST", "/unsafe/", "x")
				report := f.g.composeReport(time.Now())
				if !c.heard {
					require.Empty(t, report.Limits.Cold)
					return
				}
				require.Len(t, report.Limits.Cold, 1)
				require.Equal(t, 2*time.Second, report.Limits.Cold[0].Remaining)
			})
		})
	}
}

// TestReportsWithoutWarmUpAreAsBefore guards against fields and arrivals in the reports of deployments whose services have no warm-up
// limit.
func TestReportsWithoutWarmUpAreAsBefore(t *testing.T) {
	withFixture(t, func(f *fixture) {
		forEach(f.plains, func(e *fakeEndpoint) { e.respondWith(200, "ok") })
		f.send("POST", "/unsafe/", "x")
		require.Equal(t, message.LimitReport{}, f.g.composeReport(time.Now()).Limits)
	})
}

// TestNewLeaderHearsWhatIsCold guards against cold endpoints that get the load of warm ones after a change of leader, because the
// new leader doesn't know yet that they are cold.
func TestNewLeaderHearsWhatIsCold(t *testing.T) {
	withFixture(t, func(f *fixture) {
		withWarmUp(f)
		f.g.applyUpdate(coldUpdate(0, 0, 0))
		require.Empty(t, f.g.composeReport(time.Now()).Limits.Cold, "control has sent the cold times itself")
		f.g.resubscribed, f.g.warmUps.subscribedAt = true, time.Now()
		whole := &message.Picture{Version: 4, Granting: true, WarmUp: &message.WarmUp{Judged: true}}
		f.g.applyUpdate(whole)
		require.Len(t, f.g.composeReport(time.Now()).Limits.Cold, 2)
		require.Equal(t, http.StatusServiceUnavailable, f.send("POST", "/unsafe/", "x").status)
		time.Sleep(coldHandoverTime)
		f.g.applyUpdate(whole)
		require.Equal(t, http.StatusOK, f.send("POST", "/unsafe/", "x").status, "the gateways have had the time to report cold endpoints")
	})
}
