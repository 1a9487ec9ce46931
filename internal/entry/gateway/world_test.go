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
	"github.com/egretreach/egretreach/internal/standin/packet"
)

// network joins callers, the gateway and endpoints by pipes in virtual time.
type network struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint
}

// endpoint is a stand-in for one endpoint: it answers by its script.
type endpoint struct {
	mu     sync.Mutex
	script func(c net.Conn, r *http.Request, body string)
	// ran are the IDs of requests that it began to work on, got all that reached it.
	ran []string
	got []*http.Request
	// refuses says that nobody listens.
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

func (e *endpoint) serve(c net.Conn) {
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
		e.got = append(e.got, r)
		script := e.script
		e.mu.Unlock()
		script(c, r, string(body))
	}
}

// runs notes that the endpoint began to work on a request.
func (e *endpoint) runs(r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ran = append(e.ran, r.Header.Get("X-Request-Id"))
}

func (e *endpoint) runCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.ran)
}

// head is the head of a signed answer.
func head(r *http.Request, status int, more string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Request-Id: %s\r\nX-Signed: sig-%s\r\nKeep-Alive: timeout=5\r\n%s\r\n",
		status, r.Header.Get("X-Request-Id"), r.Header.Get("X-Expect"), more)
}

// whole answers with a whole body.
func (e *endpoint) whole(status int, text string) {
	e.script = func(c net.Conn, r *http.Request, _ string) {
		e.runs(r)
		_, _ = io.WriteString(c, head(r, status, fmt.Sprintf("Content-Length: %d\r\n", len(text)))+text)
	}
}

// chunk is one chunk of a body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// word is one event of a stream.
func word(id int) string { return fmt.Sprintf("id: %d\ndata: word-%d\n\n", id, id) }

// streams answers with the events behind Last-Event-Id up to last, one each gap, and then
// does end.
func (e *endpoint) streams(last int, gap time.Duration, end func(c net.Conn)) {
	e.script = func(c net.Conn, r *http.Request, _ string) {
		e.runs(r)
		_, _ = io.WriteString(c, head(r, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
		from := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
		for id := from + 1; id <= last; id++ {
			time.Sleep(gap)
			if _, err := io.WriteString(c, chunk(word(id))); err != nil {
				return
			}
		}
		end(c)
	}
}

// endWell ends a chunked body, endAbruptly closes the connection, endSilently keeps it.
func endWell(c net.Conn) { _, _ = io.WriteString(c, "0\r\n\r\n") }

func endAbruptly(c net.Conn) { _ = c.Close() }

func endSilently(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

func endInAnEvent(c net.Conn) {
	_, _ = io.WriteString(c, chunk("id: 99\ndata: ha"))
	_ = c.Close()
}

// fixture is a gateway with two heads of a model and two plain endpoints.
type fixture struct {
	t      *testing.T
	g      *Gateway
	net    *network
	heads  []*endpoint
	plains []*endpoint
	client *http.Client
	// dial opens a raw connection to the gateway.
	dial func() (net.Conn, error)
}

// play runs test in virtual time with a fixture.
func play(t *testing.T, test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		listener := packet.NewListener("gateway")
		go func() { _ = f.g.server.Serve(framedListener{listener}) }()
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
	f := &fixture{t: t, net: &network{endpoints: map[string]*endpoint{}}}
	f.g = New(Options{FailureDomain: "a", Dialect: testDialect(), Dial: f.net.dial, Retries: RetryLimits{Ratio: 1, Burst: 100, Window: time.Second}})
	picture := &message.Picture{Version: 1, Document: []byte("one"), Gateways: 1}
	for i := range 2 {
		h, p := &endpoint{}, &endpoint{}
		f.heads, f.plains = append(f.heads, h), append(f.plains, p)
		head, plain := fmt.Sprint("h", i), fmt.Sprint("p", i)
		f.net.endpoints[head], f.net.endpoints[plain] = h, p
		picture.Endpoints = append(picture.Endpoints,
			roster.Endpoint{ID: plain, Service: "plain", Address: plain, FailureDomain: "a", Slots: 6, StartedMs: 1, Sequence: 1},
			roster.Endpoint{
				ID: head, Service: "llm", Address: head, FailureDomain: "a", Slots: 48, StartedMs: 1, Sequence: 1, Engine: true, Model: "m",
				Member: &roster.Membership{Replica: "m.1.1", State: roster.MemberOpen},
			})
	}
	f.g.take(picture)
	return f
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
	}
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	// err says that the answer did not end properly.
	err error
	// took is how long that took.
	took time.Duration
	// closes says that the connection takes no other request.
	closes bool
}

// ask sends a request as a caller does.
func (f *fixture) ask(method, path, body string, more ...string) answer {
	return f.askUnder(context.Background(), method, path, body, more...)
}

func (f *fixture) askUnder(ctx context.Context, method, path, body string, more ...string) answer {
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
		return answer{err: err, took: time.Since(began)}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, string(text), err, time.Since(began), response.Close}
}

// runs is how often requests ran, over all endpoints.
func (f *fixture) runs() int {
	n := 0
	for _, e := range append(append([]*endpoint{}, f.heads...), f.plains...) {
		n += e.runCount()
	}
	return n
}

// all gives every endpoint of a list the same script.
func all(list []*endpoint, set func(e *endpoint)) {
	for _, e := range list {
		set(e)
	}
}
