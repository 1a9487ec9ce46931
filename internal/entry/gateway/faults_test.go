package gateway

// The tests of this file run in virtual time: withFixture uses testing/synctest.

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/entry/balance"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/link/message"
)

// TestFaultsLeaveNothingBehind guards against requests that remain counted at an endpoint or in the
// queue, retries that were not charged to the budget, data races, joined responses and unsafe requests
// that run twice, after random silences, refusals, interruptions, crashes and disconnects of callers.
func TestFaultsLeaveNothingBehind(t *testing.T) {
	const seeds, callers, budget = 40, 30, 1000
	for seed := range uint64(seeds) {
		withFixture(t, func(f *fixture) {
			rng := rand.New(rand.NewPCG(seed, 7))
			f.g.opts.Retries = RetryLimits{Burst: budget / burstShare}
			f.announceHead("h2")
			endpoints := append(append([]*fakeEndpoint{}, f.heads...), f.plains...)
			forEach(endpoints, func(e *fakeEndpoint) { e.randomFaults(rng.Uint64()) })
			go f.keepFull(3*time.Second, "h1", "h2")
			var running sync.WaitGroup
			var got [callers]callerResponse
			for i := range callers {
				start, leave := randomTime(rng, time.Second), randomTime(rng, 4*time.Second)
				path := []string{"/stream/", "/safe/", "/unsafe/"}[i%3]
				running.Go(func() {
					time.Sleep(start)
					ctx, cancel := context.WithTimeout(f.t.Context(), leave)
					defer cancel()
					got[i] = f.sendWithContext(ctx, "POST", path, "x", "X-Request-Id", path+strconv.Itoa(i))
				})
			}
			running.Wait()
			f.letEndpointsEnd()
			for i := 0; i < callers; i += 3 {
				if got[i].err == nil && got[i].status == http.StatusOK {
					require.Equal(t, eventTexts(10), got[i].body, "seed %d, caller %d", seed, i)
				}
			}
			f.requireNothingInFlight(seed)
			repeats := countRepeats(t, endpoints, seed)
			require.LessOrEqual(t, repeats, f.retriesCharged(budget), "seed %d: retries without a token", seed)
		})
	}
}

// randomTime returns a random time below limit.
func randomTime(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(limit)))
}

// requireNothingInFlight checks that the balancer counts no request at any head, and that its plain
// endpoints have room for as many requests as at the start.
func (f *fixture) requireNothingInFlight(seed uint64) {
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	now := time.Now().Add(time.Minute) // No endpoint is banned any more.
	require.Empty(f.t, f.g.balancer.HeadReports(now), "seed %d", seed)
	request := balance.Request{Service: "plain", WaitUntil: now}
	const room = 2 * 2 * 6 // Two endpoints, each with six slots and six places in its queue.
	for range room {
		d, _ := f.g.balancer.Submit(request, now)
		require.NotEmpty(f.t, d.Endpoint.ID, "seed %d", seed)
	}
}

// retriesCharged returns how many of the retries that the budgets of both services held at first have
// been charged.
func (f *fixture) retriesCharged(budget int) int {
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	charged := 2 * budget
	for _, service := range []string{"llm", "plain"} {
		for f.g.retryBudget(service).TryRetry(time.Now()) {
			charged--
		}
	}
	return charged
}

// countRepeats returns how often requests reached endpoints beyond the first time of each, and checks
// that unsafe ones ran once at most.
func countRepeats(t *testing.T, endpoints []*fakeEndpoint, seed uint64) int {
	received, started := map[string]int{}, map[string]int{}
	total := 0
	for _, e := range endpoints {
		e.mu.Lock()
		for _, r := range e.received {
			received[r.Header.Get("X-Request-Id")]++
			total++
		}
		for _, id := range e.startedIDs {
			started[id]++
		}
		e.mu.Unlock()
	}
	for id, runs := range started {
		if strings.HasPrefix(id, "/unsafe/") {
			require.LessOrEqual(t, runs, 1, "seed %d, %s", seed, id)
		}
	}
	return total - len(received)
}

// randomFaults lets the endpoint do one of these with each request: decline it, interrupt the
// response, fail, answer for another endpoint, crash, end inside an event, or be silent once.
func (e *fakeEndpoint) randomFaults(seed uint64) {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 3))
	e.script = func(c net.Conn, r *http.Request, body string) {
		mu.Lock()
		fault, quiet, pause, inside := rng.IntN(10), rng.IntN(10), randomTime(rng, 2*time.Second), rng.IntN(2) == 0
		mu.Unlock()
		var drawn fakeEndpoint
		switch fault {
		case 0:
			drawn.decline()
		case 1:
			drawn.script = func(c net.Conn, r *http.Request, _ string) {
				drawn.recordRun(r)
				time.Sleep(pause)
				_ = c.Close()
			}
		case 2:
			drawn.respondWith(http.StatusInternalServerError, "x")
		case 3:
			drawn.script = func(c net.Conn, r *http.Request, _ string) {
				_, _ = io.WriteString(c, responseHeader(r, http.StatusMisdirectedRequest, "Content-Length: 0\r\n"))
			}
		case 4:
			drawn.script = func(c net.Conn, _ *http.Request, _ string) { e.crashFor(c, 300*time.Millisecond) }
		case 5:
			drawn.streamEvents(quiet, 50*time.Millisecond, closeInsideEvent)
		default:
			drawn.pauseAfter(quiet, 10, pause, inside)
		}
		drawn.script(c, r, body)
		e.mu.Lock()
		e.startedIDs = append(e.startedIDs, drawn.startedIDs...)
		e.mu.Unlock()
	}
}

// crashFor closes the connection and refuses others for a time.
func (e *fakeEndpoint) crashFor(c net.Conn, d time.Duration) {
	e.refuses.Store(true)
	_ = c.Close()
	time.Sleep(d)
	e.refuses.Store(false)
}

// TestCrashIsSeenByTheNextIncarnation guards against a crash that is not detected because another endpoint serves at
// the address, or connections to it are reset, before the gateway has checked.
func TestCrashIsSeenByTheNextIncarnation(t *testing.T) {
	withFixture(t, func(f *fixture) {
		forEach(f.plains, func(e *fakeEndpoint) {
			e.script = func(c net.Conn, _ *http.Request, _ string) { _ = c.Close() }
		})
		require.Equal(t, 502, f.send("POST", "/unsafe/", "poison").status)
		time.Sleep(time.Second)
		require.Empty(t, f.g.composeReport(time.Now()).Evidence.Crashes, "the answer may have been lost")
		for i := range 2 {
			f.g.applyUpdate(&message.Picture{Endpoints: []roster.Endpoint{{
				ID: "next-" + strconv.Itoa(i), Service: "plain", Address: "p" + strconv.Itoa(i), FailureDomain: "a", Slots: 6, StartedMs: 2, Sequence: 1,
			}}})
		}
		crashes := f.g.composeReport(time.Now()).Evidence.Crashes
		require.Len(t, crashes, 1)
		require.Equal(t, 1, crashes[0].Requests)
	})
}
