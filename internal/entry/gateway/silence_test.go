package gateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/link/message"
)

// silence is how long an endpoint in these tests sends nothing although it is healthy.
const silence = 1200 * time.Millisecond

// pauseAfter lets the endpoint respond with the events after Last-Event-Id up to last, and send
// nothing for a time after the first quiet events. If inside is set it stops inside an event.
func (e *fakeEndpoint) pauseAfter(quiet, last int, pause time.Duration, inside bool) {
	e.script = func(c net.Conn, r *http.Request, _ string) {
		e.recordRun(r)
		_, _ = io.WriteString(c, responseHeader(r, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
		from := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
		for id := from + 1; id <= last; id++ {
			time.Sleep(50 * time.Millisecond)
			text := chunk(eventText(id))
			if id == quiet+1 {
				if inside {
					_, _ = io.WriteString(c, text[:len(text)/2])
					text = text[len(text)/2:]
				}
				time.Sleep(pause)
			}
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
		endStream(c)
	}
}

// decline lets the endpoint refuse every request as not run.
func (e *fakeEndpoint) decline() {
	e.script = func(c net.Conn, r *http.Request, _ string) {
		_, _ = io.WriteString(c, refusal(r.Header.Get("X-Request-Id")))
	}
}

// letEndpointsEnd waits until no endpoint is silent any more.
func (f *fixture) letEndpointsEnd() { time.Sleep(3 * time.Second) }

// eventTexts returns the events from 1 to last.
func eventTexts(last int) string {
	var text strings.Builder
	for id := 1; id <= last; id++ {
		text.WriteString(eventText(id))
	}
	return text.String()
}

// TestSilentEndpointKeepsItsStreamUntilAnotherTakesOver guards against the loss of a stream whose
// endpoint is silent for a second and then continues, if no other endpoint takes the stream over.
func TestSilentEndpointKeepsItsStreamUntilAnotherTakesOver(t *testing.T) {
	others := map[string]func(f *fixture){
		"the other is full":            func(f *fixture) { f.heads[1].decline() },
		"the other resets connections": func(f *fixture) { f.heads[1].script = func(c net.Conn, _ *http.Request, _ string) { _ = c.Close() } },
		"the other refuses connections": func(f *fixture) {
			f.heads[1].refuses.Store(true)
		},
		"the other is silent too": func(f *fixture) {
			f.heads[1].script = func(c net.Conn, _ *http.Request, _ string) { keepConnectionOpen(c) }
		},
		"there is no other": func(f *fixture) {
			f.g.applyUpdate(&message.Picture{Endpoints: []roster.Endpoint{{
				ID: "h1", Service: "llm", Address: "h1", FailureDomain: "a", Slots: 48, StartedMs: 1, Sequence: 2, State: roster.StateLeft,
			}}})
		},
		"the retry budget is used up": func(f *fixture) {
			f.heads[1].streamEvents(8, 50*time.Millisecond, endStream)
			f.g.opts.Retries = RetryLimits{}
		},
	}
	for name, prepare := range others {
		for _, inside := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, inside an event %t", name, inside), func(t *testing.T) {
				var got callerResponse
				withFixture(t, func(f *fixture) {
					f.heads[0].pauseAfter(3, 8, silence, inside)
					prepare(f)
					got = f.send("POST", "/stream/", "x")
					f.letEndpointsEnd()
				})
				require.NoError(t, got.err)
				require.Equal(t, eventTexts(8), got.body)
			})
		}
	}
}

// TestLongSilenceInsideAnEventEndsNoStream guards against a time limit on single reads, which
// interrupts a stream whose endpoint is silent inside an event.
func TestLongSilenceInsideAnEventEndsNoStream(t *testing.T) {
	var got callerResponse
	withFixture(t, func(f *fixture) {
		f.heads[0].pauseAfter(3, 8, 1900*time.Millisecond, true)
		f.heads[1].decline()
		got = f.send("POST", "/stream/", "x")
		f.letEndpointsEnd()
	})
	require.NoError(t, got.err)
	require.Equal(t, eventTexts(8), got.body)
}

// TestSilenceBeforeTheFirstEventKeepsTheAttempt guards against the failure of a stream that waits
// for its first event at an endpoint that is silent for a second, if no other endpoint takes it.
func TestSilenceBeforeTheFirstEventKeepsTheAttempt(t *testing.T) {
	var first, second callerResponse
	withFixture(t, func(f *fixture) {
		f.heads[1].decline()
		f.heads[0].pauseAfter(1, 3, silence, false)
		done := make(chan callerResponse, 1)
		go func() { done <- f.send("POST", "/stream/", "x") }()
		time.Sleep(70 * time.Millisecond)
		synctest.Wait()
		f.heads[0].mu.Lock()
		f.heads[0].pauseAfter(0, 3, silence, false)
		f.heads[0].mu.Unlock()
		second = f.send("POST", "/stream/", "x")
		first = <-done
		f.letEndpointsEnd()
	})
	require.NoError(t, second.err)
	require.Equal(t, 200, second.status, second.body)
	require.Equal(t, eventTexts(3), second.body)
	require.Equal(t, eventTexts(3), first.body)
}

// TestSilentPlainEndpointKeepsTheRequest guards against a 502 for a safe request whose endpoint
// answers after a silent second, if no other endpoint has answered before.
func TestSilentPlainEndpointKeepsTheRequest(t *testing.T) {
	var got callerResponse
	withFixture(t, func(f *fixture) {
		f.plains[1].decline()
		f.plains[0].script = func(c net.Conn, r *http.Request, _ string) {
			f.plains[0].recordRun(r)
			time.Sleep(silence)
			_, _ = io.WriteString(c, responseHeader(r, 200, "Content-Length: 4\r\n")+"late")
		}
		got = f.send("GET", "/safe/", "")
		f.letEndpointsEnd()
	})
	require.Equal(t, 200, got.status, got.body)
	require.Equal(t, "late", got.body)
}

// TestRandomSilencesBreakOffNoStream guards against streams that are cut, doubled or run too often
// when all endpoints are silent at random times, some inside events, and some decline at first.
func TestRandomSilencesBreakOffNoStream(t *testing.T) {
	const seeds, callers, events = 60, 12, 10
	for seed := range uint64(seeds) {
		var got [callers]callerResponse
		runs := 0
		withFixture(t, func(f *fixture) {
			rng := rand.New(rand.NewPCG(seed, 1))
			forEach(f.heads, func(e *fakeEndpoint) { e.randomSilences(rng.Uint64(), events) })
			var running sync.WaitGroup
			for i := range callers {
				start := time.Duration(rng.Int64N(int64(time.Second)))
				running.Go(func() {
					time.Sleep(start)
					got[i] = f.send("POST", "/stream/", "x")
				})
			}
			running.Wait()
			f.letEndpointsEnd()
			runs = f.runCount()
		})
		for i, r := range got {
			if r.status == http.StatusServiceUnavailable {
				continue // A refusal is correct here: the endpoints have declined the request.
			}
			require.NoError(t, r.err, "seed %d, caller %d", seed, i)
			require.Equal(t, eventTexts(events), r.body, "seed %d, caller %d", seed, i)
		}
		require.LessOrEqual(t, runs, 2*callers, "seed %d: a route allows two attempts", seed)
	}
}

// randomSilences lets the endpoint decline one request in ten, and be silent once in each stream.
func (e *fakeEndpoint) randomSilences(seed uint64, events int) {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 2))
	e.script = func(c net.Conn, r *http.Request, body string) {
		mu.Lock()
		var drawn fakeEndpoint
		drawn.pauseAfter(rng.IntN(events), events, time.Duration(rng.Int64N(int64(time.Second))), rng.IntN(2) == 0)
		if rng.IntN(10) == 0 {
			drawn.decline()
		}
		mu.Unlock()
		drawn.script(c, r, body)
		e.mu.Lock()
		e.startedIDs = append(e.startedIDs, drawn.startedIDs...)
		e.mu.Unlock()
	}
}
