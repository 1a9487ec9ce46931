package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/entry/dialect"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/fleet/routes"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/standin/memnet"
)

// network connects the gateway to fake endpoints by pipes.
type network struct {
	mu        sync.Mutex
	endpoints map[string]*fakeEndpoint
}

// fakeEndpoint is an endpoint that responds by its script.
type fakeEndpoint struct {
	mu     sync.Mutex
	script func(c net.Conn, r *http.Request, body string)
	// startedIDs are the IDs of the requests that it began to run, and received all that
	// reached it.
	startedIDs []string
	received   []*http.Request
	// refuses says that connections are refused.
	refuses atomic.Bool
}

func (n *network) dial(_ context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	e := n.endpoints[address]
	n.mu.Unlock()
	if e == nil || e.refuses.Load() {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	client, server := net.Pipe()
	go e.serve(server)
	return client, nil
}

func (e *fakeEndpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		e.mu.Lock()
		e.received = append(e.received, r)
		script := e.script
		e.mu.Unlock()
		script(c, r, string(body))
	}
}

// recordRun records that the endpoint began to run a request.
func (e *fakeEndpoint) recordRun(r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startedIDs = append(e.startedIDs, r.Header.Get("X-Request-Id"))
}

func (e *fakeEndpoint) runCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.startedIDs)
}

// responseHeader returns the header of a signed response.
func responseHeader(r *http.Request, status int, more string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Request-Id: %s\r\nX-Signed: sig-%s\r\nKeep-Alive: timeout=5\r\n%s\r\n",
		status, r.Header.Get("X-Request-Id"), r.Header.Get("X-Expect"), more)
}

// respondWith lets the endpoint respond with a status and text.
func (e *fakeEndpoint) respondWith(status int, text string) {
	e.script = func(c net.Conn, r *http.Request, _ string) {
		e.recordRun(r)
		_, _ = io.WriteString(c, responseHeader(r, status, fmt.Sprintf("Content-Length: %d\r\n", len(text)))+text)
	}
}

// chunk returns one chunk of a body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// eventText returns one event of a stream.
func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: word-%d\n\n", id, id) }

// streamEvents lets the endpoint respond with the events after Last-Event-Id up to last, one
// each gap, and then call end.
func (e *fakeEndpoint) streamEvents(last int, gap time.Duration, end func(c net.Conn)) {
	e.script = func(c net.Conn, r *http.Request, _ string) {
		e.recordRun(r)
		_, _ = io.WriteString(c, responseHeader(r, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
		from := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
		for id := from + 1; id <= last; id++ {
			time.Sleep(gap)
			if _, err := io.WriteString(c, chunk(eventText(id))); err != nil {
				return
			}
		}
		end(c)
	}
}

// endStream ends a chunked body.
func endStream(c net.Conn) { _, _ = io.WriteString(c, "0\r\n\r\n") }

func closeConnection(c net.Conn) { _ = c.Close() }

func keepConnectionOpen(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

func closeInsideEvent(c net.Conn) {
	_, _ = io.WriteString(c, chunk("id: 99\ndata: ha"))
	_ = c.Close()
}

// fixture is a gateway with two heads of a model and two plain endpoints.
type fixture struct {
	t      *testing.T
	g      *Gateway
	net    *network
	heads  []*fakeEndpoint
	plains []*fakeEndpoint
	client *http.Client
	// stopAnswers ends the answers to the gateway's questions.
	stopAnswers func()
	// dial opens a raw connection to the gateway.
	dial func() (net.Conn, error)
}

// withFixture runs test with a fixture in virtual time.
func withFixture(t *testing.T, test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.stopAnswers = f.answerQuestions()
		defer f.stopAnswers()
		listener := memnet.NewListener("gateway")
		go func() { _ = f.g.server.Serve(framingListener{listener}) }()
		transport := &http.Transport{DialContext: listener.Dial, DisableCompression: true}
		f.dial = func() (net.Conn, error) { return listener.Dial(f.t.Context(), "", "") }
		f.client = &http.Client{Transport: transport}
		test(f)
		transport.CloseIdleConnections()
		_ = f.g.server.Close()
		f.g.upstream.CloseExpired(time.Now().Add(time.Hour))
		synctest.Wait()
	})
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, net: &network{endpoints: map[string]*fakeEndpoint{}}}
	f.g = New(Options{FailureDomain: "a", Dialect: testDialect(), Dial: f.net.dial, Retries: RetryLimits{Ratio: 1, Burst: 100, Window: time.Second}})
	update := &message.Picture{Version: 1, Document: []byte("one"), Gateways: 1, Confirmed: f.g.nextQuestion(true).Number}
	for i := range 2 {
		h, p := &fakeEndpoint{}, &fakeEndpoint{}
		f.heads, f.plains = append(f.heads, h), append(f.plains, p)
		head, plain := fmt.Sprint("h", i), fmt.Sprint("p", i)
		f.net.endpoints[head], f.net.endpoints[plain] = h, p
		update.Endpoints = append(update.Endpoints,
			roster.Endpoint{ID: plain, Service: "plain", Address: plain, FailureDomain: "a", Slots: 6, StartedMs: 1, Sequence: 1},
			roster.Endpoint{
				ID: head, Service: "llm", Address: head, FailureDomain: "a", Slots: 48, StartedMs: 1, Sequence: 1, Engine: true, Model: "m",
				Member: &roster.Membership{Replica: "m.1.1", State: roster.MemberOpen},
			})
	}
	f.g.applyUpdate(update)
	return f
}

// answerQuestions answers the gateway's questions at once, as a control leader that has the configuration in force here. It returns a
// function that ends it.
func (f *fixture) answerQuestions() func() {
	f.g.following.Store(true)
	ended := make(chan struct{})
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-f.g.urgent:
				f.g.applyUpdate(&message.Picture{Version: f.g.table.Load().Version, Confirmed: f.g.nextQuestion(true).Number})
			}
		}
	}()
	return sync.OnceFunc(func() { close(ended) })
}

func testTable() routes.Table {
	route := func(name string, kind routes.Kind, service string, attempts int) routes.Route {
		return routes.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: 3 * time.Second, Objective: 400 * time.Millisecond,
			MaxEventGap: 300 * time.Millisecond, Targets: []routes.Target{{Service: service, Weight: 1}}, MaxAttempts: attempts,
			Resumable: kind == routes.KindStream,
		}
	}
	return routes.Table{
		Version: 1,
		Routes: []routes.Route{
			route("safe", routes.KindSafe, "plain", 2), route("unsafe", routes.KindUnsafe, "plain", 1),
			route("stream", routes.KindStream, "llm", 2),
		},
		Services: []routes.Service{
			{Name: "plain"},
			{Name: "llm", Engine: &routes.Engine{Slots: 48, PrefillRate: 56100, PrefillChunk: 2048, StepsPerRound: 5, Models: []routes.Model{{Name: "m", Size: 6, TimeFactor: 1}}}},
		},
		Teams:  []routes.Team{{Name: "team", Keys: []string{"secret"}}},
		Limits: routes.Limits{BodyBytes: 1 << 10, HeaderBytes: 4 << 10},
	}
}

func testDialect() dialect.Dialect {
	return dialect.Dialect{
		Headers: dialect.Headers{
			RequestID: "X-Request-Id", Deadline: "X-Deadline", APIKey: "X-Caller-Key", Team: "X-Team", ExpectedEndpoint: "X-Expect",
			NotRun: "X-Not-Run", Signature: "X-Signed", Load: "X-Load", Model: "X-Model", Usage: "X-Usage",
			Priority: "X-Priority", LastEventID: "Last-Event-Id",
			Leaving: "X-Leaving", RetryAfter: "Retry-After", PromptParts: "X-Parts", Limit: "X-Limit", Cold: "X-Cold",
		},
		ParseTable: func(document []byte) (*routes.Table, error) {
			table := testTable()
			table.Version = uint64(len(document))
			if string(document) == "bad" {
				return nil, errors.New("bad document")
			}
			return table.WithIndex(), nil
		},
		ParseDeadline: func(text string) (time.Duration, bool) {
			d, err := time.ParseDuration(text)
			return d, err == nil
		},
		FormatDeadline: time.Duration.String,
		ParseLoad:      func(string) (dialect.Load, bool) { return dialect.Load{}, false },
		ParseUsage:     func(string) (dialect.Usage, bool) { return dialect.Usage{PromptTokens: 100, MaxOutputTokens: 50}, true },
		FormatPriority: strconv.Itoa,
		ParseLeaving:   func(text string) bool { return text == "1" },
		ParseLimit: func(text string) (float64, bool) {
			perSecond, err := strconv.ParseFloat(text, 64)
			return perSecond, err == nil
		},
		ParseCold: func(text string) (time.Duration, bool) {
			d, err := time.ParseDuration(text)
			return d, err == nil && d >= 0
		},
		ParsePromptParts: func(text string) []string {
			parts := strings.Split(text, ",")
			return parts[:len(parts)-1]
		},
		ParseRetryAfter: func(text string) (time.Duration, bool) {
			d, err := time.ParseDuration(text + "s")
			return d, err == nil && d > 0
		},
	}
}

// callerResponse is the response that a caller received.
type callerResponse struct {
	status int
	header http.Header
	body   string
	// err is set if the response was incomplete or missing.
	err  error
	took time.Duration
	// closed says that the connection is closed after the response.
	closed bool
}

// send sends a request as a caller. more holds further headers, as names and values.
func (f *fixture) send(method, path, body string, more ...string) callerResponse {
	return f.sendWithContext(context.Background(), method, path, body, more...)
}

func (f *fixture) sendWithContext(ctx context.Context, method, path, body string, more ...string) callerResponse {
	r, err := http.NewRequestWithContext(ctx, method, "http://h"+path, strings.NewReader(body))
	require.NoError(f.t, err)
	r.Header.Set("X-Request-Id", "req-1")
	r.Header.Set("X-Caller-Key", "secret")
	r.Header.Set("X-Model", "m")
	r.Header.Set("X-Usage", "100,50")
	for i := 0; i+1 < len(more); i += 2 {
		r.Header.Set(more[i], more[i+1])
	}
	began := time.Now()
	response, err := f.client.Do(r)
	if err != nil {
		return callerResponse{err: err, took: time.Since(began)}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return callerResponse{response.StatusCode, response.Header, string(text), err, time.Since(began), response.Close}
}

// runCount returns how often requests ran, over all endpoints.
func (f *fixture) runCount() int {
	n := 0
	for _, e := range append(append([]*fakeEndpoint{}, f.heads...), f.plains...) {
		n += e.runCount()
	}
	return n
}

// forEach calls set for each endpoint of a list.
func forEach(list []*fakeEndpoint, set func(e *fakeEndpoint)) {
	for _, e := range list {
		set(e)
	}
}
