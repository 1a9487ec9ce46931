package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/platform"
	"github.com/egretreach/egretreach/platform/standin"
)

const (
	// plainDeadline and streamDeadline are the deadlines that a caller sends with each request.
	plainDeadline  = 3 * time.Second
	streamDeadline = 12 * time.Second
	// responseSlack is how much later than the deadline a response may arrive, because of the way
	// back and a busy machine.
	responseSlack = time.Second
	// callerPause is the mean pause between a response and the caller's next request.
	callerPause = 40 * time.Millisecond
	// connectPause is the pause after a failure to connect.
	connectPause = 200 * time.Millisecond
	// maxLateness bounds the time from the opening of a connection to its first request.
	maxLateness = 6 * time.Second
	dialTimeout = time.Second
)

// Numbers of events of a stream. One in longStreamRatio is longer than usual.
const (
	minStreamEvents   = 20
	usualStreamEvents = 80
	maxStreamEvents   = 120
	longStreamRatio   = 6
	// checkStreamEvents is the number for callers that only check whether a gateway serves.
	checkStreamEvents = 8
)

// Kinds of requests with checks of their own. The path of a request with kindUnknown has no route.
const (
	kindUnsafe  = "unsafe"
	kindStream  = "stream"
	kindUnknown = "unknown"
)

// callKinds lists the kinds of valid requests. Each is the first part of the path, which selects the route.
var callKinds = []string{"safe", kindUnsafe, kindStream}

// caller sends requests to a gateway, one after the other, over a kept-alive connection.
type caller struct {
	name    string
	gateway *process
	testbed *testbed
	rng     *rand.Rand
	client  http.Client
	sent    int
	// idEnd is the end of the request IDs.
	idEnd string
	// early is a connection that was opened ahead of its first request, at earlyOpened.
	early       net.Conn
	earlyOpened time.Time
}

func newCaller(name string, g *process, t *testbed, rng *rand.Rand) *caller {
	c := &caller{name: name, gateway: g, testbed: t, rng: rng}
	c.client.Transport = &http.Transport{DialContext: c.dial, MaxIdleConnsPerHost: 1, DisableCompression: true}
	return c
}

// dial returns the connection opened ahead, or opens one.
func (c *caller) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if conn := c.early; conn != nil {
		c.early = nil
		return conn, nil
	}
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
}

// runAs calls runLate or run.
func (c *caller) runAs(ctx context.Context, late bool) {
	if late {
		c.runLate(ctx)
		return
	}
	c.run(ctx)
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		kind := callKinds[c.rng.IntN(len(callKinds))]
		if e := c.sendOnce(context.WithoutCancel(ctx), kind, c.randomEvents()); !e.connected {
			time.Sleep(connectPause)
		}
		time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(callerPause)))
	}
	c.client.CloseIdleConnections()
}

// runLate opens connections and sends the first request on each of them late, until ctx ends.
func (c *caller) runLate(ctx context.Context) {
	for ctx.Err() == nil {
		c.client.CloseIdleConnections()
		lateness := time.Duration(c.rng.Int64N(int64(maxLateness)))
		if !c.openEarly(ctx) {
			time.Sleep(connectPause)
			continue
		}
		time.Sleep(lateness)
		c.sendOnce(context.WithoutCancel(ctx), kindStream, c.randomEvents())
	}
	c.client.CloseIdleConnections()
}

// openEarly opens a connection for the next request, and reports whether it did.
func (c *caller) openEarly(ctx context.Context) bool {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", c.gateway.apiAddress())
	if err != nil {
		return false
	}
	c.early, c.earlyOpened = conn, time.Now()
	return true
}

// randomEvents returns the number of events of the next stream.
func (c *caller) randomEvents() int {
	most := usualStreamEvents
	if c.rng.IntN(longStreamRatio) == 0 {
		most = maxStreamEvents
	}
	return minStreamEvents + c.rng.IntN(most-minStreamEvents+1)
}

// call is one request of a caller that is being sent.
type call struct {
	exchange
	events int
	// deadline is sent with the request.
	deadline time.Duration
	// connectedAt and sentAt are set by the transport, in nanoseconds since 1970.
	connectedAt, sentAt atomic.Int64
}

// newCall returns the next request, which begins now.
func (c *caller) newCall(kind string, events int) *call {
	c.sent++
	r := &call{exchange: exchange{id: fmt.Sprintf("%s-%s-%d%s", c.name, kind, c.sent, c.idEnd), kind: kind}, events: events, deadline: plainDeadline}
	r.timeout = min(plainDeadline, standin.PlainTimeout)
	if kind == kindStream {
		r.deadline = streamDeadline
		r.timeout = min(streamDeadline, standin.StreamTimeout)
	}
	c.testbed.recorder.count("requests")
	if kind == kindUnsafe {
		c.testbed.recorder.recordUnsafe(r.id)
	}
	r.began = time.Now()
	r.opened = r.began
	c.testbed.recorder.notices.recordSent(r.id, c.gateway, r.began)
	return r
}

// sendOnce sends one request and checks its response.
func (c *caller) sendOnce(ctx context.Context, kind string, events int) exchange {
	r := c.newCall(kind, events)
	if kind == kindStream {
		c.gateway.streams.Add(1)
		defer c.gateway.streams.Add(-1)
	}
	if c.early != nil {
		r.opened = c.earlyOpened
	}
	ctx, cancel := context.WithTimeout(ctx, r.deadline+responseSlack)
	defer cancel()
	resp, err := c.send(ctx, r)
	r.ended = time.Now()
	if err != nil {
		r.noteTransport()
		c.checkNoResponse(r.exchange, err)
		return r.exchange
	}
	defer resp.Body.Close()
	r.answered, r.lastData = true, r.ended
	c.noteLeaving(r, resp)
	body, err := readTimed(resp.Body, &r.lastData)
	r.ended = time.Now()
	r.noteTransport()
	c.checkResponse(r, resp, body, err)
	return r.exchange
}

// noteLeaving records a response whose endpoint leaves.
func (c *caller) noteLeaving(r *call, resp *http.Response) {
	dialect := platform.Dialect()
	if dialect.ParseLeaving(resp.Header.Get(dialect.Headers.Leaving)) {
		c.testbed.recorder.count("answers of leaving endpoints")
		c.testbed.recorder.notices.passedOn(r.id, resp.Header.Get(dialect.Headers.Signature), r.ended)
	}
}

// noteTransport copies what the transport has set.
func (r *call) noteTransport() {
	r.connected = r.connectedAt.Load() != 0
	if at := r.sentAt.Load(); at != 0 {
		r.sent = time.Unix(0, at)
	}
}

// readTimed reads all of body, and sets last to the time of the last data.
func readTimed(body io.Reader, last *time.Time) (string, error) {
	var text strings.Builder
	chunk := make([]byte, proxyChunkBytes)
	for {
		n, err := body.Read(chunk)
		if n > 0 {
			*last = time.Now()
			text.Write(chunk[:n])
		}
		if errors.Is(err, io.EOF) {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
	}
}

func (c *caller) send(ctx context.Context, call *call) (*http.Response, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { call.connectedAt.Store(time.Now().UnixNano()) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				call.sentAt.Store(time.Now().UnixNano())
			}
		},
	})
	r, err := c.compose(ctx, call, "body of "+call.id)
	if err != nil {
		return nil, err
	}
	r.Header.Set(platform.Dialect().Headers.PromptParts, fmt.Sprintf("%s:40,%s:300", commonPart, call.id))
	return c.client.Do(r)
}

// compose returns a request with a body.
func (c *caller) compose(ctx context.Context, call *call, body string) (*http.Request, error) {
	path := "/" + call.kind + "/x"
	if call.kind == kindStream {
		path = standin.StreamPath(call.events)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.gateway.apiAddress()+path, strings.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "compose request")
	}
	setCallerHeaders(r, call.id, call.deadline)
	return r, nil
}

// setCallerHeaders sets what each request to a gateway has.
func setCallerHeaders(r *http.Request, id string, deadline time.Duration) {
	names := platform.Dialect().Headers
	r.Host = standin.RouteHost
	r.GetBody = nil // Keeps net/http from retrying the request by itself.
	r.Header.Set(names.RequestID, id)
	r.Header.Set(names.APIKey, standin.TeamKey)
	r.Header.Set(names.Deadline, platform.Dialect().FormatDeadline(deadline))
}

// checkNoResponse records a request without a response. It is a violation if the gateway was not
// disturbed since settleTime before the request, and wherever the rule on lost requests says so.
func (c *caller) checkNoResponse(e exchange, err error) {
	c.testbed.checkIncomplete(c.gateway, e, err)
	if c.gateway.undisturbed(e.undisturbedFrom()) {
		c.testbed.recorder.reportViolation("%s got no response from %s, which was not disturbed, after %v: %v",
			e.id, c.gateway.name, e.ended.Sub(e.began), err)
	}
}

// checkResponse checks a response. err is the error that ended the read of its body, if any.
func (c *caller) checkResponse(call *call, resp *http.Response, body string, err error) {
	r := c.testbed.recorder
	if resp.StatusCode == http.StatusOK {
		c.checkSuccess(call, resp, body, err)
		return
	}
	if err != nil {
		c.testbed.checkIncomplete(c.gateway, call.exchange, err)
	}
	switch {
	case resp.StatusCode == http.StatusNotFound && call.kind == kindUnknown:
		r.count("denied")
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		r.count("refused")
		r.recordRefusal(call.id, strings.TrimSpace(body))
		if resp.Header.Get("Retry-After") == "" {
			r.reportViolation("%s was refused without a Retry-After header", call.id)
		}
	case resp.StatusCode >= http.StatusInternalServerError:
		r.count("failed")
	default:
		r.reportViolation("%s is a valid request and got status %d: %s", call.id, resp.StatusCode, body)
	}
}

// checkSuccess checks a response with status 200, and sets whether it is complete and correct.
func (c *caller) checkSuccess(call *call, resp *http.Response, body string, err error) {
	r, id := c.testbed.recorder, call.id
	ran, finished := r.ranOn(id)
	signature := resp.Header.Get(platform.Dialect().Headers.Signature)
	switch {
	case resp.Header.Get(platform.Dialect().Headers.RequestID) != id || signature == "":
		r.reportViolation("%s got a response without its request ID or a signature: %v", id, resp.Header)
		return
	case !slices.Contains(ran, signature):
		r.reportViolation("%s is signed by %s and ran on %v", id, signature, ran)
		return
	}
	want := expectedBody(call.kind, id, call.events)
	switch {
	case err == nil && body == want:
		r.count("answered")
		call.complete = true
	case err == nil:
		r.reportViolation("%s ended without an error with a wrong body: %d of %d bytes", id, len(body), len(want))
	case !strings.HasPrefix(want, body):
		r.reportViolation("%s got bytes that are not part of its response", id)
	default:
		c.testbed.checkIncomplete(c.gateway, call.exchange, err)
		if c.gateway.onlyPlannedStop(call.began) && !finished.IsZero() && c.testbed.endpointsUndisturbed(call.began) {
			r.reportViolation("%s was interrupted by the planned stop of %s", id, c.gateway.name)
		}
	}
}

// expectedBody returns the complete body of the response to a request.
func expectedBody(kind, id string, events int) string {
	if kind != kindStream {
		return standin.PlainBody(id)
	}
	var text strings.Builder
	for n := 1; n <= events; n++ {
		text.WriteString(standin.StreamEvent(id, n))
	}
	return text.String()
}
