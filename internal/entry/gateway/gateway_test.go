package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/link/message"
)

func TestARequestGoesThroughUnchanged(t *testing.T) {
	play(t, func(f *fixture) {
		all(f.plains, func(e *endpoint) { e.whole(200, "the answer") })
		got := f.ask("POST", "/unsafe/a%2Fb?q=1;2", "the body", "X-Other", "kept", "X-Team", "forged", "X-Deadline", "2s")
		require.Equal(t, 200, got.status)
		require.Equal(t, "the answer", got.body)
		require.Contains(t, got.header.Get("X-Signed"), "sig-p")
		var r *http.Request
		for _, e := range f.plains {
			for _, seen := range e.got {
				r = seen
			}
		}
		require.Equal(t, "/unsafe/a%2Fb?q=1;2", r.RequestURI)
		require.Equal(t, "h", r.Host)
		require.Equal(t, "kept", r.Header.Get("X-Other"))
		require.Equal(t, "team", r.Header.Get("X-Team"))
		require.Empty(t, r.Header.Get("X-Caller-Key"))
		left, err := time.ParseDuration(r.Header.Get("X-Deadline"))
		require.NoError(t, err)
		require.LessOrEqual(t, left, 2*time.Second)
	})
}

func TestRequestsThatMayNotPass(t *testing.T) {
	play(t, func(f *fixture) {
		all(f.plains, func(e *endpoint) { e.whole(200, "x") })
		require.Equal(t, 404, f.ask("GET", "/nowhere/", "").status)
		require.Equal(t, 404, f.ask("GET", "/saf", "").status)
		require.Equal(t, 401, f.ask("GET", "/safe/", "", "X-Caller-Key", "wrong").status)
		require.Equal(t, 413, f.ask("POST", "/safe/", strings.Repeat("x", 2<<10)).status)
		require.Zero(t, f.runs())
	})
}

func TestWithoutAConfigurationRequestsAreToldToComeBack(t *testing.T) {
	play(t, func(f *fixture) {
		f.g.table.Store(nil)
		require.Error(t, f.g.Ready())
		got := f.ask("GET", "/safe/", "")
		require.Equal(t, 503, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"))
	})
}

// TestWhatAFailureProvesDecides brings about each failure of an endpoint and holds the
// answer to what is true: 503 only if the request did not run, and no second run of a
// request that may not be repeated.
func TestWhatAFailureProvesDecides(t *testing.T) {
	fails := map[string]struct {
		script func(e *endpoint) func(c net.Conn, r *http.Request, body string)
		// proved says that the request did not run.
		proved bool
	}{
		"not taken": {func(*endpoint) func(net.Conn, *http.Request, string) {
			return func(c net.Conn, _ *http.Request, _ string) {
				_, _ = io.WriteString(c, "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			}
		}, true},
		"another endpoint": {func(*endpoint) func(net.Conn, *http.Request, string) {
			return func(c net.Conn, _ *http.Request, _ string) {
				_, _ = io.WriteString(c, "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
			}
		}, true},
		"closed": {func(e *endpoint) func(net.Conn, *http.Request, string) {
			return func(c net.Conn, r *http.Request, _ string) {
				e.runs(r)
				_ = c.Close()
			}
		}, false},
		"cut short": {func(e *endpoint) func(net.Conn, *http.Request, string) {
			return func(c net.Conn, r *http.Request, _ string) {
				e.runs(r)
				_, _ = io.WriteString(c, head(r, 200, "Content-Length: 100\r\n")+"half")
				_ = c.Close()
			}
		}, false},
		"no answer in the protocol": {func(e *endpoint) func(net.Conn, *http.Request, string) {
			return func(c net.Conn, r *http.Request, _ string) {
				e.runs(r)
				_, _ = io.WriteString(c, "nonsense\r\n\r\n")
				_ = c.Close()
			}
		}, false},
		"another's answer": {func(e *endpoint) func(net.Conn, *http.Request, string) {
			return func(c net.Conn, r *http.Request, _ string) {
				e.runs(r)
				_, _ = io.WriteString(c, "HTTP/1.1 200 X\r\nX-Request-Id: other\r\nX-Signed: s\r\nContent-Length: 2\r\n\r\nok")
			}
		}, false},
		"unsigned": {func(e *endpoint) func(net.Conn, *http.Request, string) {
			return func(c net.Conn, r *http.Request, _ string) {
				e.runs(r)
				_, _ = io.WriteString(c, "HTTP/1.1 200 X\r\nX-Request-Id: req-1\r\nContent-Length: 2\r\n\r\nok")
			}
		}, false},
		"silent": {func(e *endpoint) func(net.Conn, *http.Request, string) {
			return func(c net.Conn, r *http.Request, _ string) {
				e.runs(r)
				_, _ = io.Copy(io.Discard, c)
			}
		}, false},
	}
	for name, fail := range fails {
		t.Run("unsafe/"+name, func(t *testing.T) {
			play(t, func(f *fixture) {
				all(f.plains, func(e *endpoint) { e.script = fail.script(e) })
				got := f.ask("POST", "/unsafe/", "x", "X-Deadline", "2s")
				if fail.proved {
					require.Equal(t, 503, got.status)
					require.NotEmpty(t, got.header.Get("Retry-After"))
					require.Zero(t, f.runs())
				} else {
					require.Contains(t, []int{502, 504}, got.status)
					require.Equal(t, 1, f.runs())
				}
				require.LessOrEqual(t, got.took, 2*time.Second)
				require.Empty(t, got.header.Get("X-Signed"))
			})
		})
		t.Run("safe/"+name, func(t *testing.T) {
			play(t, func(f *fixture) {
				f.plains[0].script = fail.script(f.plains[0])
				f.plains[1].whole(200, "good")
				got := f.ask("GET", "/safe/", "", "X-Deadline", "2s")
				require.Equal(t, 200, got.status)
				require.Equal(t, "good", got.body)
			})
		})
	}
}

func TestAnEndpointsOwnFailureIsPassedOn(t *testing.T) {
	play(t, func(f *fixture) {
		all(f.plains, func(e *endpoint) { e.whole(500, "broken") })
		got := f.ask("POST", "/unsafe/", "x")
		require.Equal(t, 500, got.status)
		require.Equal(t, "broken", got.body)
		require.NotEmpty(t, got.header.Get("X-Signed"))
		require.Equal(t, 1, f.runs())
	})
}

func TestASafeRequestIsTriedAgainAfterAnEndpointsOwnFailure(t *testing.T) {
	play(t, func(f *fixture) {
		f.plains[0].whole(500, "broken")
		f.plains[1].whole(200, "good")
		got := f.ask("GET", "/safe/", "")
		require.Equal(t, 200, got.status)
	})
}

func TestNobodyListensIsNoSending(t *testing.T) {
	play(t, func(f *fixture) {
		f.plains[0].refuses.Store(true)
		f.plains[1].whole(200, "good")
		for range 5 {
			require.Equal(t, 200, f.ask("POST", "/unsafe/", "x").status)
		}
	})
}

func TestAStreamComesEventByEvent(t *testing.T) {
	play(t, func(f *fixture) {
		all(f.heads, func(e *endpoint) { e.streams(4, 50*time.Millisecond, endWell) })
		got := f.ask("POST", "/stream/", "x")
		require.NoError(t, got.err)
		require.Equal(t, word(1)+word(2)+word(3)+word(4), got.body)
		require.Equal(t, 1, f.runs())
	})
}

// TestABrokenStreamGoesOnElsewhere breaks a stream in each way after two events. The caller
// gets every event once, in order, under the head of the first endpoint.
func TestABrokenStreamGoesOnElsewhere(t *testing.T) {
	for name, end := range map[string]func(net.Conn){
		"closed": endAbruptly, "silent": endSilently, "inside an event": endInAnEvent,
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(f *fixture) {
				broken := f.heads[0]
				broken.streams(2, 50*time.Millisecond, end)
				f.heads[1].streams(5, 50*time.Millisecond, endWell)
				got := f.ask("POST", "/stream/", "x")
				require.NoError(t, got.err)
				require.Equal(t, word(1)+word(2)+word(3)+word(4)+word(5), got.body)
				require.Less(t, got.took, 1200*time.Millisecond)
			})
		})
	}
}

func TestAStreamThatCannotBeResumedDoesNotLookWhole(t *testing.T) {
	play(t, func(f *fixture) {
		all(f.heads, func(e *endpoint) { e.streams(2, 50*time.Millisecond, endAbruptly) })
		got := f.ask("POST", "/stream/", "x")
		require.Error(t, got.err)
		require.Equal(t, word(1)+word(2), got.body)
		require.Equal(t, 2, f.runs(), "no more endpoints than the route allows")
	})
}

// TestARequestThatCrashesItsEndpointIsNotSentToTheNext crashes whoever begins the request,
// and lets control hold it back after that.
func TestARequestThatCrashesItsEndpointIsNotSentToTheNext(t *testing.T) {
	for _, path := range []string{"/stream/", "/safe/"} {
		t.Run(path, func(t *testing.T) {
			play(t, func(f *fixture) {
				for _, list := range [][]*endpoint{f.heads, f.plains} {
					all(list, func(e *endpoint) {
						e.script = func(c net.Conn, r *http.Request, _ string) {
							e.runs(r)
							e.refuses.Store(true)
							_ = c.Close()
						}
					})
				}
				require.Equal(t, 502, f.ask("POST", path, "poison").status)
				require.Equal(t, 1, f.runs())
				report := f.g.composeReport(time.Now())
				require.Len(t, report.Crashes, 1)
				f.g.take(&message.Picture{Quarantined: []uint64{report.Crashes[0].Fingerprint}})
				got := f.ask("POST", path, "poison")
				require.Equal(t, 503, got.status)
				require.Equal(t, "2", got.header.Get("Retry-After"))
				require.Equal(t, 1, f.runs())
				f.g.take(&message.Picture{})
				require.NotEqual(t, "2", f.ask("POST", path, "poison").header.Get("Retry-After"))
			})
		})
	}
}

func TestACallersOwnResumptionIsPassedOn(t *testing.T) {
	play(t, func(f *fixture) {
		all(f.heads, func(e *endpoint) { e.streams(4, 50*time.Millisecond, endWell) })
		got := f.ask("POST", "/stream/", "x", "Last-Event-Id", "2")
		require.Equal(t, word(3)+word(4), got.body)
	})
}

func TestACallerThatLeavesEndsTheWorkAtOnce(t *testing.T) {
	play(t, func(f *fixture) {
		ended := make(chan time.Time, 1)
		all(f.heads, func(e *endpoint) {
			e.streams(1, 50*time.Millisecond, func(c net.Conn) {
				_, _ = io.Copy(io.Discard, c)
				ended <- time.Now()
			})
		})
		ctx, cancel := context.WithTimeout(f.t.Context(), 100*time.Millisecond)
		defer cancel()
		began := time.Now()
		f.askUnder(ctx, "POST", "/stream/", "x")
		require.Less(t, (<-ended).Sub(began), 300*time.Millisecond)
	})
}

func TestARequestIsAnsweredWhenTheRoutesTimeIsUp(t *testing.T) {
	play(t, func(f *fixture) {
		all(f.plains, func(e *endpoint) {
			e.script = func(c net.Conn, r *http.Request, _ string) {
				e.runs(r)
				_, _ = io.Copy(io.Discard, c)
			}
		})
		got := f.ask("POST", "/unsafe/", "x", "X-Deadline", "20s")
		require.Equal(t, 504, got.status)
		require.LessOrEqual(t, got.took, 3*time.Second+100*time.Millisecond)
	})
}

func TestWithoutAnEndpointARequestIsRefusedAtOnce(t *testing.T) {
	play(t, func(f *fixture) {
		got := f.ask("POST", "/stream/", "x", "X-Model", "unknown")
		require.Equal(t, 503, got.status)
		require.Zero(t, got.took)
		require.Zero(t, f.runs())
	})
}

func TestADrainingEndpointGetsNothingNew(t *testing.T) {
	play(t, func(f *fixture) {
		all(f.plains, func(e *endpoint) { e.whole(200, "x") })
		f.g.take(&message.Picture{Endpoints: []roster.Endpoint{{
			ID: "p0", Service: "plain", Address: "p0", FailureDomain: "a", Slots: 6, StartedMs: 1, Sequence: 2, State: roster.StateDraining,
		}}})
		for range 10 {
			require.Equal(t, 200, f.ask("POST", "/unsafe/", "x").status)
		}
		require.Zero(t, f.plains[0].runCount())
	})
}

func TestAnOlderConfigurationNeverComesBack(t *testing.T) {
	play(t, func(f *fixture) {
		f.g.take(&message.Picture{Version: 5, Document: []byte("five5")})
		require.Equal(t, uint64(5), f.g.table.Load().Version)
		f.g.take(&message.Picture{Version: 3, Document: []byte("two")})
		require.Equal(t, uint64(5), f.g.table.Load().Version)
		f.g.take(&message.Picture{Version: 9, Document: []byte("bad")})
		require.Equal(t, uint64(5), f.g.table.Load().Version, "one that can't be read is not in force")
	})
}

func TestAGatewayThatIsCutOffServesOrRefusesAsItIsSet(t *testing.T) {
	for _, after := range []time.Duration{0, 5 * time.Second} {
		play(t, func(f *fixture) {
			f.g.opts.RefuseAfter = after
			all(f.plains, func(e *endpoint) { e.whole(200, "x") })
			require.Equal(t, 200, f.ask("POST", "/unsafe/", "x").status)
			time.Sleep(6 * time.Second)
			got := f.ask("POST", "/unsafe/", "x")
			if after == 0 {
				require.NoError(t, f.g.Ready())
				require.Equal(t, 200, got.status)
				return
			}
			require.Error(t, f.g.Ready())
			require.Equal(t, 503, got.status)
			require.Equal(t, 1, f.runs())
		})
	}
}

// TestCallersThatSendTooMuchOrTooSlowly bounds heads, bodies and the time that a body takes.
func TestCallersThatSendTooMuchOrTooSlowly(t *testing.T) {
	play(t, func(f *fixture) {
		all(f.plains, func(e *endpoint) { e.whole(200, "x") })
		require.Equal(t, 431, f.ask("GET", "/safe/", "", "X-Long", strings.Repeat("x", 8<<10)).status)
		body, writer := io.Pipe()
		defer func() { _ = writer.Close() }()
		r, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://h/unsafe/", body)
		require.NoError(t, err)
		r.Header.Set("X-Caller-Key", "secret")
		r.Header.Set("X-Deadline", "2s")
		go func() { _, _ = io.WriteString(writer, "begun") }()
		began := time.Now()
		response, err := f.client.Do(r)
		require.NoError(t, err)
		_ = response.Body.Close()
		require.Equal(t, 408, response.StatusCode)
		require.LessOrEqual(t, time.Since(began), 3*time.Second)
		require.Zero(t, f.runs())
	})
}

// TestSmuggledRequestsNeverReachAnEndpoint sends conflicting lengths and tricks with chunks
// over one raw connection each.
func TestSmuggledRequestsNeverReachAnEndpoint(t *testing.T) {
	const inner = "GET /safe/inner HTTP/1.1\r\nHost: h\r\nX-Caller-Key: secret\r\nX-Request-Id: inner\r\n\r\n"
	const start = "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nX-Caller-Key: secret\r\nX-Request-Id: outer\r\n"
	for name, raw := range map[string]string{
		"two lengths":       start + "Content-Length: 5\r\nContent-Length: 50\r\n\r\nhello" + inner,
		"length and chunks": start + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner,
		"chunked twice":     start + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner,
		"unknown coding":    start + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + inner,
		"space before":      start + "Content-Length : 5\r\n\r\nhello" + inner,
		"signed length":     start + "Content-Length: +5\r\n\r\nhello" + inner,
		"bad chunk size":    start + "Transfer-Encoding: chunked\r\n\r\n0x5\r\nhello\r\n0\r\n\r\n" + inner,
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(f *fixture) {
				all(f.plains, func(e *endpoint) { e.whole(200, "x") })
				c, err := f.dial()
				require.NoError(t, err)
				go func() { _, _ = io.WriteString(c, raw) }()
				_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
				answer, err := io.ReadAll(c)
				_ = c.Close()
				if err == nil {
					require.NotContains(t, string(answer), "inner")
				}
				for _, e := range f.plains {
					require.NotContains(t, e.ran, "inner")
				}
			})
		})
	}
}

func TestAPlannedStopCutsNothingOff(t *testing.T) {
	play(t, func(f *fixture) {
		f.g.opts.ShutdownDelay = time.Second
		all(f.heads, func(e *endpoint) { e.streams(20, 100*time.Millisecond, endWell) })
		all(f.plains, func(e *endpoint) { e.whole(200, "x") })
		done := make(chan answer, 1)
		go func() { done <- f.ask("POST", "/stream/", "x") }()
		synctest.Wait()
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			f.g.Stop(f.t.Context())
		}()
		synctest.Wait()
		require.Error(t, f.g.Ready())
		late := f.ask("POST", "/unsafe/", "x")
		require.Equal(t, 200, late.status, "the balancer may still send requests")
		require.True(t, late.closes)
		got := <-done
		require.NoError(t, got.err)
		require.Equal(t, 20, strings.Count(got.body, "data:"))
		<-stopped
	})
}

func TestSourceKeepsTryingEveryHost(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &source{seeds: []string{"a", "b", "c"}, shunned: map[string]time.Time{}}
	require.Equal(t, "a", s.choose(now))
	require.Equal(t, "b", s.choose(now))
	s.leader = "c"
	require.Equal(t, "c", s.choose(now))
	s.shunned["c"] = now.Add(time.Second)
	require.Equal(t, "a", s.choose(now.Add(time.Millisecond)))
	s.hosts = []string{"d"}
	tried := map[string]bool{}
	for range 8 {
		address := s.choose(now)
		tried[address] = true
	}
	require.Len(t, tried, 3, "all but the one that is shunned: %v", tried)
	for _, address := range []string{"a", "b", "d"} {
		s.shunned[address] = now.Add(time.Minute)
	}
	require.Equal(t, "c", s.choose(now), "the one whose time is up first")
}

func TestWaitsTellThoseWhoCameBack(t *testing.T) {
	var w waits
	require.Zero(t, w.before("r", 8*time.Second))
	require.Zero(t, w.before("r", 7990*time.Millisecond))
	require.Equal(t, 2*time.Second, w.before("r", 6*time.Second))
	require.Zero(t, w.before("other", 6*time.Second))
}

func ExampleGateway_Ready() {
	g := New(Options{Dialect: testDialect()})
	fmt.Println(g.Ready())
	g.take(&message.Picture{Version: 1, Document: []byte("1")})
	fmt.Println(g.Ready())
	// Output:
	// no configuration yet
	// <nil>
}
