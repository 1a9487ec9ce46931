package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/entry/balance"
	"github.com/egretreach/egretreach/internal/entry/dialect"
	"github.com/egretreach/egretreach/internal/entry/upstream"
	"github.com/egretreach/egretreach/internal/fleet/routes"
)

// call is one request of a caller.
type call struct {
	g     *Gateway
	w     http.ResponseWriter
	r     *http.Request
	began time.Time
	// id is the caller's ID of this attempt.
	id    string
	route *routes.Route
	team  *routes.Team
	// request is what endpoints get.
	request *upstream.Request
	usage   dialect.Usage
	service string
	model   string
	rank    int
	// deadline is when the caller or the route has waited long enough.
	deadline time.Time
	// aim is when the answer is due to be of full use.
	aim   time.Time
	trail trail
	// last says that its connection takes no other request.
	last bool
}

// trail is what happened to a request, for its log line.
type trail struct {
	// tries is how many endpoints were tried, sends how many of them it was sent to; the
	// last is endpoint.
	tries    int
	sends    int
	endpoint string
	// forecast is the expected time to the first event there.
	forecast time.Duration
	// waited is the time spent waiting for room, first when the answer began.
	waited time.Duration
	first  time.Duration
	events int
	// pause is the longest time between two events.
	pause   time.Duration
	resumes int
	// seen is what a refusal rests on.
	seen balance.Availability
}

// serve takes one request.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	c := &call{g: g, w: w, r: r, began: time.Now(), id: r.Header.Get(g.opts.Dialect.Headers.RequestID)}
	g.requests.Add(1)
	g.metrics.requests.Inc(1)
	c.last = closesBehind(r) || g.stopping.Load()
	if c.last {
		w.Header().Set("Connection", "close")
	}
	table := g.table.Load()
	if table == nil {
		c.refuse(time.Second, "no configuration yet")
		return
	}
	if g.cutOff(c.began) {
		c.refuse(time.Second, "cut off from control")
		return
	}
	if !c.admit(table) || !c.readBody(table) {
		return
	}
	if c.heldBack() {
		c.refuse(heldBackTime, "held back: endpoints have crashed under it")
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	if c.route.Kind == routes.KindStream {
		c.stream(ctx)
		return
	}
	c.plain(ctx)
}

// admit finds the route and the caller's team. It answers requests that have none.
func (c *call) admit(table *routes.Table) bool {
	if limit := table.Limits.HeaderBytes; limit > 0 && headerBytes(c.r) > limit {
		c.deny(http.StatusRequestHeaderFieldsTooLarge, "header too large")
		return false
	}
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	route, ok := table.Match(c.r.Host, path)
	if !ok {
		c.deny(http.StatusNotFound, "no route")
		return false
	}
	c.route, c.rank = route, route.Priority
	h := c.g.opts.Dialect.Headers
	team, known := table.Team(c.r.Header.Get(h.APIKey))
	if len(table.Teams) > 0 && !route.Anonymous && !known {
		c.deny(http.StatusUnauthorized, "unknown key")
		return false
	}
	if known {
		c.team = team
		if team.Priority != nil {
			c.rank = *team.Priority
		}
	}
	c.service = route.Pick(c.g.draw())
	c.readSize(table)
	c.setDeadline()
	return true
}

func (c *call) readSize(table *routes.Table) {
	h := c.g.opts.Dialect.Headers
	if text := c.r.Header.Get(h.Usage); text != "" {
		c.usage, _ = c.g.opts.Dialect.ParseUsage(text)
	}
	if length, err := strconv.Atoi(c.r.Header.Get(h.LengthHint)); err == nil && length > 0 {
		c.usage.MaxOutputTokens = min(c.usage.MaxOutputTokens, length)
	}
	service, ok := table.Service(c.service)
	if !ok || service.Engine == nil {
		return
	}
	c.model = c.r.Header.Get(h.Model)
	c.g.mu.Lock()
	d := c.g.demandOf(c.model)
	d.engine = service.Engine
	d.size.PromptTokens += c.usage.PromptTokens
	d.size.MaxOutputTokens += c.usage.MaxOutputTokens
	c.g.mu.Unlock()
}

// demandOf returns the demand for a model; mu is held.
func (g *Gateway) demandOf(model string) *demand {
	d := g.demand[model]
	if d == nil {
		d = &demand{}
		g.demand[model] = d
	}
	return d
}

// setDeadline reads how long the caller waits. One that waits for less than others of its
// route is taken to have come back, and to have waited for the rest already.
func (c *call) setDeadline() {
	c.deadline = c.began.Add(c.route.Timeout)
	c.aim = c.began.Add(c.route.Objective)
	left, ok := c.g.opts.Dialect.ParseDeadline(c.r.Header.Get(c.g.opts.Dialect.Headers.Deadline))
	if !ok {
		return
	}
	if end := c.began.Add(left); end.Before(c.deadline) {
		c.deadline = end
	}
	c.aim = c.aim.Add(-c.g.waits.before(c.route.Name, left))
}

// readBody reads the whole body, so that it can be sent more than once.
func (c *call) readBody(table *routes.Table) bool {
	limit := table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if c.r.ContentLength > limit {
		c.deny(http.StatusRequestEntityTooLarge, "body too large")
		return false
	}
	controller := http.NewResponseController(c.w)
	if err := controller.SetReadDeadline(c.deadline); err != nil {
		c.deny(http.StatusBadRequest, "connection lost")
		return false
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	if err == nil {
		err = controller.SetReadDeadline(time.Time{})
	}
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			c.deny(http.StatusRequestEntityTooLarge, "body too large")
			return false
		}
		var slow net.Error
		if errors.As(err, &slow) && slow.Timeout() {
			c.deny(http.StatusRequestTimeout, "body too slow")
			return false
		}
		c.deny(http.StatusBadRequest, "body cut short")
		return false
	}
	c.request = &upstream.Request{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: c.header(), Body: body,
		HasBody: len(body) > 0 || c.r.ContentLength == 0 && c.r.Header.Get("Content-Length") != "" || c.r.Method == http.MethodPost,
	}
	return true
}

// headerBytes is the size of a request's head: its line and its header lines.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(" HTTP/1.1\r\nHost: \r\n ") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// connectionHeaders concern one connection only (RFC 9110, section 7.6.1).
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	"Content-Length", "Proxy-Authenticate", "Proxy-Authorization",
}

// stripConnection removes the headers of one connection, those that it names included.
func stripConnection(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		delete(h, name)
	}
}

// header returns the headers that endpoints get, but for those of one attempt.
func (c *call) header() http.Header {
	names := c.g.opts.Dialect.Headers
	out := c.r.Header.Clone()
	kept := out[names.RequestID]
	stripConnection(out)
	if len(kept) > 0 {
		out[names.RequestID] = kept
	}
	for _, own := range []string{names.APIKey, names.Team, names.ExpectedEndpoint, names.Priority, names.Deadline} {
		delete(out, own)
	}
	if c.team != nil {
		out[names.Team] = []string{c.team.Name}
	}
	if c.model != "" {
		out[names.Priority] = []string{c.g.opts.Dialect.FormatPriority(c.rank)}
	}
	return out
}

// need is what the request wants of an endpoint now.
func (c *call) need(patience time.Duration) balance.Request {
	until := time.Now().Add(patience)
	if until.After(c.deadline) {
		until = c.deadline
	}
	return balance.Request{
		Service: c.service, Model: c.model, Priority: c.rank, PromptTokens: c.usage.PromptTokens, ObjectiveDeadline: c.aim,
		Objective: c.route.Objective, ArrivedAt: c.began, WaitUntil: until,
	}
}
