package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/entry/balance"
	"github.com/egretreach/egretreach/internal/entry/dialect"
	"github.com/egretreach/egretreach/internal/entry/explanation"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/link/message"
)

const explainToken = "operators-only-token"

// explainURL asks for a plain request of the fixture's callers.
const explainURL = "/explain?path=/safe/x&host=h&method=GET"

// askPage sends a request to the fixture's page on the health listeners. more holds headers, as names and values.
func askPage(f *fixture, target string, more ...string) *httptest.ResponseRecorder {
	mux := http.NewServeMux()
	for pattern, page := range f.g.Pages() {
		mux.Handle(pattern, page)
	}
	r := httptest.NewRequest(http.MethodGet, target, nil)
	for i := 0; i+1 < len(more); i += 2 {
		r.Header.Set(more[i], more[i+1])
	}
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, r)
	return w
}

// TestExplanationNeedsTheToken guards against a page that is served without a token in the settings, to callers without it or with a part
// of it, or on the callers' listener, and against input without bounds.
func TestExplanationNeedsTheToken(t *testing.T) {
	withFixture(t, func(f *fixture) {
		ok := []string{"Authorization", "Bearer " + explainToken, explanation.KeyHeader, "secret"}
		require.Equal(t, http.StatusNotFound, askPage(f, explainURL, ok...).Code, "no token is set")
		f.g.opts.ExplainToken = explainToken
		require.Equal(t, http.StatusOK, askPage(f, explainURL, ok...).Code)
		for _, given := range []string{"", "Bearer ", "Bearer operators", "Bearer " + explainToken + "x", "Basic " + explainToken} {
			require.Equal(t, http.StatusUnauthorized, askPage(f, explainURL, "Authorization", given).Code, given)
		}
		for _, query := range []string{
			"path=safe", "path=/safe/x&prompt_tokens=-1", "path=/safe/x&output_tokens=9999999999", "path=/%zz", "path=/" + strings.Repeat("x", 5000),
		} {
			require.Equal(t, http.StatusBadRequest, askPage(f, "/explain?"+query, ok...).Code, query)
		}
		require.Equal(t, http.StatusNotFound, f.send(http.MethodGet, explainURL, "", ok...).status, "callers have no such route")
	})
}

// TestExplanationIsNotLogged guards against keys and tokens in the log or in the page, and against an explanation that counts as a
// request, as demand for a model or towards callers' timeouts.
func TestExplanationIsNotLogged(t *testing.T) {
	withFixture(t, func(f *fixture) {
		var logged lockedBuffer
		f.g.opts.Logger = &log.Logger{Writer: &log.IOWriter{Writer: &logged}, Level: log.TraceLevel}
		f.g.opts.ExplainToken = explainToken
		state := func() string {
			return fmt.Sprintf("%+v %+v %+v %+v %+v %d %+v", &f.g.balancer, f.g.demand, f.g.arrivals, f.g.retryBudgets, f.g.callerTimeouts.longest,
				f.g.requestCount.Load(), f.g.warmUps)
		}
		before := state()
		for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/nowhere"} {
			page := askPage(f, "/explain?host=h&model=m&prompt_tokens=10&parts=a,b,&path="+path,
				"Authorization", "Bearer "+explainToken, explanation.KeyHeader, "secret")
			require.Equal(t, http.StatusOK, page.Code, page.Body.String())
			require.NotContains(t, page.Body.String(), "secret")
		}
		require.Equal(t, before, state())
		require.Empty(t, logged.take())
		require.Zero(t, f.runCount())
	})
}

// explain returns the explanation of a plain request.
func (f *fixture) explain(path, key string) explanation.Document {
	return f.g.Explain(explanation.Request{Method: http.MethodGet, Path: path, Host: "h", Key: key})
}

// TestExplanationTellsWhatTheHandlerAnswers guards against an explanation that leaves out what the handler checks before it looks for an
// endpoint.
func TestExplanationTellsWhatTheHandlerAnswers(t *testing.T) {
	withFixture(t, func(f *fixture) {
		forEach(f.plains, func(e *fakeEndpoint) { e.respondWith(http.StatusOK, "whole") })
		same := func(path, key, action string) {
			t.Helper()
			v := f.explain(path, key).Verdict
			require.Equal(t, action, v.Action)
			response := f.send(http.MethodGet, path, "", "X-Caller-Key", key)
			if action == explanation.ActionSent {
				require.Equal(t, http.StatusOK, response.status)
				return
			}
			require.Equal(t, v.Status, response.status)
			require.Contains(t, response.body, v.Reason)
			if action == explanation.ActionRefused {
				require.Equal(t, fmt.Sprint(v.RetryAfter), response.header.Get("Retry-After"))
			}
		}
		same("/safe/x", "secret", explanation.ActionSent)
		same("/nowhere", "secret", explanation.ActionDenied)
		same("/safe/x", "wrong", explanation.ActionDenied)
		f.evacuate(3, "a")
		same("/safe/x", "secret", explanation.ActionRefused)
		f.evacuate(4)
		f.g.subscribed.Store(true)
		time.Sleep(2 * time.Second)
		f.g.following.Store(true)
		require.Equal(t, explanation.ActionAsksControl, f.explain("/safe/x", "secret").Verdict.Action)
		f.g.opts.RefuseAfter = time.Second
		same("/safe/x", "secret", explanation.ActionRefused)
	})
	g := New(Options{Dialect: testDialect()})
	v := g.Explain(explanation.Request{Path: "/safe/x"}).Verdict
	require.Equal(t, explanation.Verdict{Action: "refused", Status: 503, Reason: "no configuration yet", RetryAfter: 1}, v)
}

// explainedFixture gives a fixture six plain endpoints: one that is picked, one that costs more, and one each that is evacuated, cold,
// banned and full.
func explainedFixture(f *fixture) {
	withWarmUp(f)
	f.g.opts.Self = "front-1"
	for _, id := range []string{"p2", "p3", "p4", "p5"} {
		f.net.endpoints[id] = &fakeEndpoint{}
		f.g.applyUpdate(&message.Picture{Version: 4, Granting: true, Endpoints: []roster.Endpoint{
			{ID: id, Service: "plain", Address: id, FailureDomain: "a", Slots: 6, StartedMs: 1, Sequence: 1},
		}})
	}
	f.moveEndpoint("p5", "b")
	f.evacuate(7, "b")
	f.g.applyUpdate(&message.Picture{Version: 4, Partial: true, Granting: true, WarmUp: &message.WarmUp{
		Judged: true, Report: 1, Serial: 1, Cold: []message.ColdEndpoint{{Endpoint: "p4", StartedMs: 1, Remaining: 3 * time.Second}},
	}})
	now := time.Now()
	b := &f.g.balancer
	req := balance.Request{Service: "plain"}
	b.RequestSent("p3", req, now)
	b.RequestEnded("p3", req, false, balance.ResultWrongEndpoint, now)
	b.SetLoad("p2", dialect.Load{Running: 6, Waiting: 6}, now)
	b.SetLoad("p0", dialect.Load{Running: 1}, now)
	b.SetLoad("p1", dialect.Load{Running: 3}, now)
	time.Sleep(120 * time.Millisecond)
	f.g.applyUpdate(&message.Picture{Version: 4, Partial: true, Granting: true, Confirmed: f.g.nextQuestion(true).Number})
}

// TestExplanationOfAWholeFixture compares the page and its text with the files that cmd's test of the command uses. It guards against
// a page that the command prints differently, and against a reason that is missing from the output.
func TestExplanationOfAWholeFixture(t *testing.T) {
	withFixture(t, func(f *fixture) {
		explainedFixture(f)
		f.g.opts.ExplainToken = explainToken
		page := askPage(f, "/explain?host=h&path=/safe/x&method=GET", "Authorization", "Bearer "+explainToken, explanation.KeyHeader, "secret")
		require.Equal(t, http.StatusOK, page.Code, page.Body.String())
		var d explanation.Document
		require.NoError(t, json.Unmarshal(page.Body.Bytes(), &d))
		var text strings.Builder
		require.NoError(t, d.WriteText(&text))
		requireGolden(t, "explain.json", page.Body.String())
		requireGolden(t, "explain.txt", text.String())
		forEach(f.plains, func(e *fakeEndpoint) { e.respondWith(http.StatusOK, "whole") })
		require.Equal(t, http.StatusOK, f.send(http.MethodGet, "/safe/x", "").status)
		require.Equal(t, 1, f.plains[0].runCount(), "the request goes where the page says")
	})
}

// requireGolden compares text with a file of testdata. EGRETREACH_GOLDEN=1 writes the file.
func requireGolden(t *testing.T, name, text string) {
	t.Helper()
	path := "testdata/" + name
	if os.Getenv("EGRETREACH_GOLDEN") != "" {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile(path, []byte(text), 0o644))
	}
	expected, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(expected), text)
}

// TestExplanationTakesNoTrial guards against an explanation of a held request that uses up the one request that a trial allows, and
// against one that omits that the request is held.
func TestExplanationTakesNoTrial(t *testing.T) {
	withFixture(t, func(f *fixture) {
		forEach(f.plains, func(e *fakeEndpoint) { e.respondWith(http.StatusOK, "whole") })
		q := explanation.Request{Method: http.MethodGet, Path: "/safe/x", Host: "h", Key: "secret", Parts: "bad,own"}
		c := f.g.explainedCall(q)
		require.Nil(t, c.resolveExplained(f.g.table.Load(), q))
		key := c.keys.All()[0].Hash
		f.g.observer.SetHolds(message.Holds{Held: []message.HeldKey{{Key: key, For: 3 * time.Second}}})
		require.Equal(t, explanation.Verdict{Action: "refused", Status: 503, Reason: reasonHeld, RetryAfter: 3}, f.g.Explain(q).Verdict)
		f.g.observer.SetHolds(message.Holds{Held: []message.HeldKey{{Key: key, Trial: 1}}})
		for range 3 {
			require.Equal(t, explanation.ActionSent, f.g.Explain(q).Verdict.Action)
		}
		_, refused := f.g.observer.Refuse(c.keys.All())
		require.False(t, refused, "the trial is left")
		require.Equal(t, explanation.ActionRefused, f.g.Explain(q).Verdict.Action, "the trial is taken")
	})
}

// TestExplanationsRunBesideRequests guards against a copy of the balancer that shares memory with the requests that are served meanwhile,
// which the race detector finds.
func TestExplanationsRunBesideRequests(t *testing.T) {
	withFixture(t, func(f *fixture) {
		explainedFixture(f)
		for _, e := range f.net.endpoints {
			e.respondWith(http.StatusOK, "whole")
		}
		report := f.g.composeReport(time.Now()).Limits.Number
		f.g.applyUpdate(coldUpdate(2, report, 2))
		var group sync.WaitGroup
		for range 4 {
			group.Go(func() {
				for range 50 {
					f.explain("/safe/x", "secret")
				}
			})
			group.Go(func() {
				for range 20 {
					f.send(http.MethodGet, "/safe/x", "")
				}
			})
		}
		for serial := range uint64(20) {
			f.g.applyUpdate(coldUpdate(2, report, serial+3))
			f.evacuate(8+serial, []string{"b", "c"}[serial%2])
		}
		group.Wait()
		require.Positive(t, f.plains[0].runCount())
	})
}
