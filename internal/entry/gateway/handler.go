package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/egretreach/egretreach/internal/entry/balance"
	"github.com/egretreach/egretreach/internal/entry/dialect"
	"github.com/egretreach/egretreach/internal/entry/overload"
	"github.com/egretreach/egretreach/internal/entry/suspicion"
	"github.com/egretreach/egretreach/internal/entry/upstream"
	"github.com/egretreach/egretreach/internal/fleet/routes"
	"github.com/egretreach/egretreach/internal/process/httpserver"
)

// call is a request of a caller while it is served.
type call struct {
	g         *Gateway
	w         http.ResponseWriter
	r         *http.Request
	arrivedAt time.Time
	// id is the request ID in the caller's header. It identifies an attempt of the caller, for
	// which the gateway may make several attempts at endpoints.
	id string
	// firstQuestion is the number of the first question to control that is asked after the request has arrived.
	firstQuestion uint64
	// revision is the version of the configuration by which the request is served, and bodyLimit what that allows.
	revision  uint64
	bodyLimit int64
	route     *routes.Route
	team      *routes.Team
	// request is the request that endpoints get.
	request *upstream.Request
	// body is the request's body.
	body  heldBody
	usage dialect.Usage
	// parts are the IDs of the parts of the prompt that other requests may share.
	parts []string
	// keys identify what may crash endpoints: the whole request, or a part of the prompt.
	keys suspicion.KeySet
	// onTrial says that control allows the request as a trial although one of its keys is held.
	onTrial bool
	service string
	model   string
	// modelKnown is false if the service has no model of that name. Callers choose the names, so nothing is counted by an unknown one.
	modelKnown bool
	priority   int
	// deadline is the earlier of the caller's deadline and the route's timeout.
	deadline time.Time
	// objectiveDeadline is the time by which the response should begin.
	objectiveDeadline time.Time
	// waited is the estimated time that the caller has waited in earlier attempts.
	waited time.Duration
	stats  requestStats
	// excluded lists the IDs of endpoints that have failed the request.
	excluded []string
	// lostAttempts counts attempts that did not run or whose endpoint has left or crashed. They do
	// not count towards the attempts of a stream's route.
	lostAttempts int
	// mayHaveRun says that an earlier attempt may have run.
	mayHaveRun bool
	// withheld says why the last attempt was not sent although it was placed, or is empty.
	withheld string
	// standby is the attempt at another endpoint while the present one is silent, or nil.
	standby *standby
	// pending is a standby that is waited for after the present attempt has failed, or nil.
	pending *standby
	// crashed says that a standby's endpoint may have crashed while it processed the request.
	crashed bool
	// crashCount counts the endpoints that crashed while they processed the request.
	crashCount int
	// nextStandbyAt is the earliest time of the next standby.
	nextStandbyAt time.Time
	// hedgeDecided says that the request was hedged, or was slow and was not to be hedged.
	hedgeDecided bool
	// noStandbyLogged says that the reason for which no standby was started has been logged.
	noStandbyLogged bool
	// closeAfter says that the connection is closed after the response.
	closeAfter bool
}

// requestStats describes how a request was served, for its log entry and metrics.
type requestStats struct {
	// tries counts the endpoints tried, and sends those of them to which the request was sent.
	tries int
	sends int
	// endpoint is the ID of the endpoint tried last.
	endpoint string
	// decision is why the balancer chose endpoint.
	decision balance.Decision
	// waited is the time spent in the queue, and timeToFirst the time to the first event or
	// the beginning of the response.
	waited      time.Duration
	timeToFirst time.Duration
	events      int
	// maxGap is the longest time between two events.
	maxGap time.Duration
	// resumes counts how often the stream was to be resumed, whether or not it was.
	resumes int
	// noRetry says why no other endpoint was tried after the last failure.
	noRetry string
	// heldKey is the held key for which the request is refused, or empty.
	heldKey string
	// availability is set for a refusal.
	availability balance.Availability
	// overload are the inputs of a refusal by package overload.
	overload overload.Inputs
}

// refuseStopping is the handler of all requests that arrive after ShutdownDelay.
func (g *Gateway) refuseStopping(w http.ResponseWriter, r *http.Request) {
	g.metrics.requests.Inc(1)
	w.Header().Set("Connection", "close")
	c := &call{g: g, w: w, r: r, arrivedAt: time.Now(), id: r.Header.Get(g.opts.Dialect.Headers.RequestID)}
	httpserver.NameRequest(r.Context(), c.id)
	c.refuse(stoppingRetryAfter, "stopping")
}

// serve is the handler of all other requests.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	c := &call{
		g: g, w: w, r: r, arrivedAt: time.Now(), id: r.Header.Get(g.opts.Dialect.Headers.RequestID),
		firstQuestion: g.freshness.Next(),
	}
	httpserver.NameRequest(r.Context(), c.id)
	g.requestCount.Add(1)
	g.metrics.requests.Inc(1)
	c.closeAfter = mustCloseAfter(r) || g.stopping.Load()
	if c.closeAfter {
		w.Header().Set("Connection", "close")
	}
	table := g.table.Load()
	if table == nil {
		c.refuse(time.Second, "no configuration yet")
		return
	}
	if g.isCutOff() {
		c.refuse(time.Second, "cut off from control")
		return
	}
	if table = c.currentTable(table); table == nil {
		return
	}
	c.revision = table.Version
	if !c.resolveConfirmed(table) {
		return
	}
	defer func() { c.body.release() }()
	if !c.readBody() {
		return
	}
	if g.server.Stopping() {
		c.refuse(stoppingRetryAfter, "stopping")
		return
	}
	c.setKeys()
	if c.refuseHeld() {
		return
	}
	c.countArrival()
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(g.serving, cancel)()
	if c.route.Kind == routes.KindStream {
		c.serveStream(ctx)
		return
	}
	c.servePlain(ctx)
}

// balanceRequest returns the request for the balancer. It may wait in the queue for maxWait,
// but not beyond its deadline.
func (c *call) balanceRequest(maxWait time.Duration) balance.Request {
	until := time.Now().Add(maxWait)
	if until.After(c.deadline) {
		until = c.deadline
	}
	req := balance.Request{
		Service: c.service, Model: c.model, Priority: c.priority, PromptTokens: c.usage.PromptTokens, ObjectiveDeadline: c.objectiveDeadline,
		Objective: c.route.Objective, ArrivedAt: c.arrivedAt, WaitUntil: until, Regions: c.regions(), Waited: c.waited,
		Deadline: c.deadline, Spread: c.g.randomFraction(),
	}
	if c.team != nil {
		req.Team = c.team.Name
	}
	if len(c.parts) > 0 {
		req.Session = c.parts[len(c.parts)-1] // The last part is the one that the fewest share.
	}
	if c.route.Kind == routes.KindStream {
		req.LateUntil = overload.LateUntil(c.arrivedAt, c.deadline, c.route.Objective, c.route.MaxEventGap)
	}
	return req
}
