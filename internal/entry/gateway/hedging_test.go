package gateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/entry/dialect"
	"github.com/egretreach/egretreach/internal/entry/hedge"
	"github.com/egretreach/egretreach/internal/entry/suspicion"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/link/message"
)

// hedgeAll lets the gateway hedge every slow request, and records response times of 20 ms for the plain endpoints and the heads.
func (f *fixture) hedgeAll() {
	f.g.hedging.settings = hedge.Settings{Share: 1, Quantile: 0.95}
	f.learn(20*time.Millisecond, 20*time.Millisecond)
	f.g.hedging.budget("plain").AddRequest(1, 1)
	f.g.hedging.budget("llm").AddRequest(1, 1)
}

// learn adds response times of all endpoints.
func (f *fixture) learn(plain, head time.Duration) {
	for range 50 {
		for _, id := range []string{"0", "1"} {
			f.g.hedging.times.Observe(hedge.Key{Endpoint: "p" + id, Service: "plain"}, 0, plain, time.Now())
			f.g.hedging.times.Observe(hedge.Key{Endpoint: "h" + id, Service: "llm", Model: "m"}, 100*time.Millisecond, head, time.Now())
		}
	}
}

// slowPlain lets the endpoint respond with text after a time. It returns whether the connection was closed before.
func (e *fakeEndpoint) slowPlain(after time.Duration, text string) *atomic.Bool {
	var closed atomic.Bool
	e.script = func(c net.Conn, r *http.Request, _ string) {
		e.recordRun(r)
		time.Sleep(after)
		if _, err := io.WriteString(c, responseHeader(r, 200, "Content-Length: 5\r\n")+text); err != nil {
			closed.Store(true)
		}
	}
	return &closed
}

// slowStream lets the endpoint send the header at once and, after a time, the events up to last with text in them.
func (e *fakeEndpoint) slowStream(after time.Duration, last int, text string) {
	e.script = func(c net.Conn, r *http.Request, _ string) {
		e.recordRun(r)
		beginStream(c, r)
		time.Sleep(after)
		for id := 1; id <= last; id++ {
			if _, err := io.WriteString(c, chunk("id: "+string(rune('0'+id))+"\ndata: "+text+"\n\n")); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		endStream(c)
	}
}

// TestSlowEndpointIsHedged guards against callers that wait for a slow endpoint while another one would answer at once, against a first
// attempt that continues afterwards, and against an endpoint that counts as faulty after a single slow response.
func TestSlowEndpointIsHedged(t *testing.T) {
	withFixture(t, func(f *fixture) {
		f.hedgeAll()
		closed := f.plains[0].slowPlain(300*time.Millisecond, "first")
		f.plains[1].slowPlain(10*time.Millisecond, "other")
		got := f.send(http.MethodGet, "/safe/", "")
		require.Equal(t, "other", got.body)
		require.Less(t, got.took, 60*time.Millisecond)
		f.letEndpointsEnd()
		require.True(t, closed.Load(), "the first attempt was not cancelled")
		require.Equal(t, 2, f.runCount())
		require.EqualValues(t, 1, f.g.metrics.hedgesWon.Count())
		require.Equal(t, 1, f.plains[0].runCount())

		f.plains[0].slowPlain(10*time.Millisecond, "first")
		require.Equal(t, "first", f.send(http.MethodGet, "/safe/", "").body, "the endpoint counts as faulty")
	})
}

// TestFailedHedgeLeavesTheFirstAttempt guards against a request that fails because its hedge failed, and against one that fails because
// its first attempt failed after the hedge had started.
func TestFailedHedgeLeavesTheFirstAttempt(t *testing.T) {
	ends := map[string]func(f *fixture){
		"the hedge breaks off": func(f *fixture) {
			f.plains[0].slowPlain(200*time.Millisecond, "right")
			f.plains[1].script = func(c net.Conn, _ *http.Request, _ string) { closeConnection(c) }
		},
		"the hedge is declined": func(f *fixture) {
			f.plains[0].slowPlain(200*time.Millisecond, "right")
			f.plains[1].decline()
		},
		"the hedge gets no connection": func(f *fixture) {
			f.plains[0].slowPlain(200*time.Millisecond, "right")
			f.plains[1].refuses.Store(true)
		},
		"the first breaks off": func(f *fixture) {
			f.plains[0].script = func(c net.Conn, _ *http.Request, _ string) {
				time.Sleep(50 * time.Millisecond)
				closeConnection(c)
			}
			f.plains[1].slowPlain(200*time.Millisecond, "right")
		},
		"the first ignores the cancellation": func(f *fixture) {
			f.plains[0].script = func(_ net.Conn, r *http.Request, _ string) {
				f.plains[0].recordRun(r)
				time.Sleep(2500 * time.Millisecond)
			}
			f.plains[1].slowPlain(10*time.Millisecond, "right")
		},
	}
	for name, prepare := range ends {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(f *fixture) {
				f.hedgeAll()
				prepare(f)
				got := f.send(http.MethodGet, "/safe/", "")
				require.NoError(t, got.err)
				require.Equal(t, "right", got.body)
				require.Less(t, got.took, 300*time.Millisecond)
				require.EqualValues(t, 1, f.g.metrics.hedges.Count())
				f.letEndpointsEnd()
			})
		})
	}
}

// TestBothBeginAtTheSameMoment guards against a response that is sent twice or mixed if the hedge and the first attempt answer within
// the same milliseconds.
func TestBothBeginAtTheSameMoment(t *testing.T) {
	for first := 40 * time.Millisecond; first < 60*time.Millisecond; first += time.Millisecond {
		withFixture(t, func(f *fixture) {
			f.hedgeAll()
			f.plains[0].slowPlain(first, "first")
			f.plains[1].slowPlain(25*time.Millisecond, "other")
			f.heads[0].slowStream(first+70*time.Millisecond, 5, "first")
			f.heads[1].slowStream(20*time.Millisecond, 5, "other")
			got := f.send(http.MethodGet, "/safe/", "")
			require.Contains(t, []string{"first", "other"}, got.body)
			got = f.send(http.MethodPost, "/stream/", "x")
			require.NoError(t, got.err)
			require.Contains(t, []string{streamOf("first", 5), streamOf("other", 5)}, got.body)
			f.letEndpointsEnd()
			ended := f.g.metrics.hedgesWon.Count() + f.g.metrics.hedgesLost.Count()
			require.Equal(t, f.g.metrics.hedges.Count(), ended)
		})
	}
}

// streamOf returns the events that slowStream sends.
func streamOf(text string, last int) string {
	var all strings.Builder
	for id := 1; id <= last; id++ {
		_, _ = fmt.Fprintf(&all, "id: %d\ndata: %s\n\n", id, text)
	}
	return all.String()
}

// TestHeaderOfAStreamDoesNotEndItsHedge guards against a stream that waits for its first event at an endpoint that has sent only the header,
// while the hedge would answer.
func TestHeaderOfAStreamDoesNotEndItsHedge(t *testing.T) {
	withFixture(t, func(f *fixture) {
		f.hedgeAll()
		f.heads[0].script = func(c net.Conn, r *http.Request, _ string) {
			time.Sleep(150 * time.Millisecond)
			beginStream(c, r)
			time.Sleep(500 * time.Millisecond)
			_ = c.Close()
		}
		f.heads[1].slowStream(100*time.Millisecond, 5, "other")
		got := f.send(http.MethodPost, "/stream/", "x")
		f.letEndpointsEnd()
		require.NoError(t, got.err)
		require.Equal(t, streamOf("other", 5), got.body)
		require.Less(t, got.took, 350*time.Millisecond)
		require.EqualValues(t, 1, f.g.metrics.hedgesWon.Count())
	})
}

// TestHedgedStreamIsOneRun guards against a stream that has events of two runs, and against a hedge of a stream that has begun.
func TestHedgedStreamIsOneRun(t *testing.T) {
	withFixture(t, func(f *fixture) {
		f.hedgeAll()
		f.heads[0].slowStream(300*time.Millisecond, 5, "first")
		f.heads[1].slowStream(20*time.Millisecond, 5, "other")
		got := f.send(http.MethodPost, "/stream/", "x")
		require.NoError(t, got.err)
		require.Equal(t, streamOf("other", 5), got.body)
		require.EqualValues(t, 1, f.g.metrics.hedgesWon.Count())
		f.letEndpointsEnd()
	})
	withFixture(t, func(f *fixture) {
		f.hedgeAll()
		forEach(f.heads, func(e *fakeEndpoint) { e.streamEvents(8, 90*time.Millisecond, endStream) })
		require.Equal(t, eventTexts(8), f.send(http.MethodPost, "/stream/", "x").body)
		require.Zero(t, f.g.metrics.hedges.Count())
	})
}

// TestBegunStreamIsCheckedAsBefore guards against a stream whose connection is checked every millisecond because its first event came
// before it counted as slow.
func TestBegunStreamIsCheckedAsBefore(t *testing.T) {
	withFixture(t, func(f *fixture) {
		c := &call{g: f.g, service: "llm", model: "m"}
		a := &attempt{
			call: c, attemptPlacement: attemptPlacement{endpoint: roster.Endpoint{ID: "h0"}, startedAt: time.Now()},
			attemptWait: attemptWait{hedge: &hedgePlan{delay: time.Millisecond}},
		}
		require.Equal(t, time.Millisecond, a.nextHedgeCheck())
		(&streamCall{call: c}).eventReceived(a)
		time.Sleep(time.Second)
		require.Equal(t, waitCheckInterval, a.nextHedgeCheck())
	})
}

// TestOnlyRequestsThatMayBeRepeatedAreHedged guards against a second run of an unsafe request, of one at its last attempt or of one that
// control holds or allows on trial, and against a hedge while the gateway stops, while callers are refused, without a budget or where no
// other endpoint has room.
func TestOnlyRequestsThatMayBeRepeatedAreHedged(t *testing.T) {
	cases := map[string]struct {
		path    string
		prepare func(f *fixture)
		reason  hedge.Reason
	}{
		"unsafe":       {"/unsafe/", func(f *fixture) { f.limitAttempts(3) }, hedge.ReasonNone},
		"last attempt": {"/safe/", func(f *fixture) { f.limitAttempts(1) }, hedge.ReasonNotAllowed},
		"stopping":     {"/safe/", func(f *fixture) { f.g.stopping.Store(true) }, hedge.ReasonNotAllowed},
		"hedge budget": {"/safe/", func(f *fixture) {
			f.g.hedging.settings.Share = 0.01
			for f.g.hedging.budget("plain").Take() {
			}
		}, hedge.ReasonBudget},
		"retry budget":   {"/safe/", func(f *fixture) { f.g.opts.Retries = RetryLimits{} }, hedge.ReasonBudget},
		"no room":        {"/safe/", func(f *fixture) { f.reportPlainLoad(5, "p1") }, hedge.ReasonNoRoom},
		"on trial":       {"/safe/", func(f *fixture) { f.holdBad(1) }, hedge.ReasonNotAllowed},
		"held meanwhile": {"/safe/", func(f *fixture) { time.AfterFunc(10*time.Millisecond, func() { f.holdBad(0) }) }, hedge.ReasonNotAllowed},
		"evacuated": {"/safe/", func(f *fixture) {
			f.moveEndpoint("p1", "b")
			f.evacuate(3, "b")
		}, hedge.ReasonNoRoom},
		"refused": {"/safe/", func(f *fixture) {
			f.reportPlainLoad(12, "p0", "p1")
			require.Equal(t, http.StatusServiceUnavailable, f.send(http.MethodGet, "/safe/", "").status)
			f.reportPlainLoad(0, "p0", "p1")
		}, hedge.ReasonShort},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(f *fixture) {
				f.hedgeAll()
				c.prepare(f)
				f.plains[0].slowPlain(200*time.Millisecond, "first")
				f.plains[1].slowPlain(5*time.Millisecond, "other")
				require.Equal(t, "first", f.send(http.MethodPost, c.path, "", "X-Parts", "bad,x").body)
				require.Equal(t, 1, f.runCount())
				if c.reason != hedge.ReasonNone {
					require.EqualValues(t, 1, f.g.metrics.hedgesRefused[c.reason].Count())
				}
			})
		})
	}
}

// holdBad makes control hold the requests with the part "bad", except one with a trial of that number.
func (f *fixture) holdBad(trial uint64) {
	key := suspicion.Identity{Scopes: []string{"plain/"}, Parts: []string{"bad"}}.PartKeys().All()[0].Hash
	f.g.applyUpdate(&message.Picture{Version: 1, Holds: message.Holds{Held: []message.HeldKey{{Key: key, Trial: trial, For: time.Minute}}}})
}

// limitAttempts brings a configuration into force in which requests have a number of attempts.
func (f *fixture) limitAttempts(count int) {
	table := testTable()
	table.Version = f.g.table.Load().Version + 1
	for i := range table.Routes {
		table.Routes[i].MaxAttempts = count
	}
	f.g.table.Store(table.WithIndex())
}

// reportPlainLoad lets plain endpoints report how many requests they run.
func (f *fixture) reportPlainLoad(running int, ids ...string) {
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	for _, id := range ids {
		f.g.balancer.SetLoad(id, dialect.Load{Running: running, Slots: 6}, time.Now())
	}
}

// TestHedgeGoesToAnotherFailureDomain guards against a hedge at an endpoint that the same fault may slow down.
func TestHedgeGoesToAnotherFailureDomain(t *testing.T) {
	withFixture(t, func(f *fixture) {
		f.hedgeAll()
		third := &fakeEndpoint{}
		f.net.mu.Lock()
		f.net.endpoints["p2"] = third
		f.net.mu.Unlock()
		f.g.applyUpdate(&message.Picture{Endpoints: []roster.Endpoint{
			{ID: "p2", Service: "plain", Address: "p2", FailureDomain: "b", Slots: 6, StartedMs: 1, Sequence: 1},
		}})
		f.plains[0].slowPlain(200*time.Millisecond, "first")
		f.plains[1].slowPlain(5*time.Millisecond, "other")
		third.slowPlain(5*time.Millisecond, "third")
		require.Equal(t, "third", f.send(http.MethodGet, "/safe/", "").body)
		f.letEndpointsEnd()
	})
}

// TestHedgingIsOffByDefault guards against extra requests and stored response times where no operator has enabled hedging.
func TestHedgingIsOffByDefault(t *testing.T) {
	withFixture(t, func(f *fixture) {
		f.learn(20*time.Millisecond, 20*time.Millisecond)
		f.plains[0].slowPlain(200*time.Millisecond, "first")
		f.plains[1].slowPlain(5*time.Millisecond, "other")
		require.Equal(t, "first", f.send(http.MethodGet, "/safe/", "").body)
		require.Equal(t, 1, f.runCount())
		require.Nil(t, f.g.hedging.budgets)
		require.Zero(t, f.g.metrics.hedges.Count())
	})
}

// TestRandomSilencesWithHedging guards against streams that are cut, doubled or run too often when hedges, standbys and resumed streams
// meet.
func TestRandomSilencesWithHedging(t *testing.T) {
	const seeds, callers, events = 30, 12, 10
	hedges := int64(0)
	for seed := range uint64(seeds) {
		var got [callers]callerResponse
		withFixture(t, func(f *fixture) {
			f.hedgeAll()
			rng := rand.New(rand.NewPCG(seed, 1))
			forEach(f.heads, func(e *fakeEndpoint) { e.randomSilences(rng.Uint64(), events) })
			var running sync.WaitGroup
			for i := range callers {
				start := time.Duration(rng.Int64N(int64(time.Second)))
				running.Go(func() {
					time.Sleep(start)
					got[i] = f.send(http.MethodPost, "/stream/", "x")
				})
			}
			running.Wait()
			f.letEndpointsEnd()
			hedges += f.g.metrics.hedges.Count()
			require.LessOrEqual(t, f.runCount(), 2*callers, "seed %d: a route allows two attempts", seed)
			require.Equal(t, f.g.metrics.hedges.Count(), f.g.metrics.hedgesWon.Count()+f.g.metrics.hedgesLost.Count(), "seed %d", seed)
			require.Empty(t, f.g.balancer.HeadReports(time.Now()), "seed %d: attempts that have not ended", seed)
		})
		for i, r := range got {
			if r.status == http.StatusServiceUnavailable {
				continue // A refusal is correct here: the endpoints have declined the request.
			}
			require.NoError(t, r.err, "seed %d, caller %d", seed, i)
			require.Equal(t, eventTexts(events), r.body, "seed %d, caller %d", seed, i)
		}
	}
	require.Positive(t, hedges)
}
