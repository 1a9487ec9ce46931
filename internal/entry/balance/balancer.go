// Package balance picks the endpoint for each request of a gateway. A request for which no
// endpoint has capacity waits in a queue or is refused.
//
// The package does no I/O and reads no clock: the caller passes in the time and what the
// gateway observes of endpoints. It is not safe for concurrent use.
package balance

import (
	"maps"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/entry/dialect"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/fleet/routes"
)

const (
	// loadTTL is how long the load that an endpoint has reported is used.
	loadTTL = time.Second
	// plainQueuePerSlot is how many requests may wait at a plain endpoint for each of its
	// slots. One is enough to keep every slot busy.
	plainQueuePerSlot = 1.0
	// stallTimeout is how long an endpoint with open streams may send nothing before it
	// counts as stalled. An engine takes several rounds of decode steps in this time.
	stallTimeout = 300 * time.Millisecond
	// minBan and maxBan bound the time for which an endpoint gets no requests that could not be
	// reached, has stalled, or at whose address another endpoint responds. The time doubles with
	// each failure in a row.
	minBan = 400 * time.Millisecond
	maxBan = 5 * time.Second
	// errorWeight is the weight of the latest outcome in the moving average of the error rate.
	errorWeight = 0.15
	// errorCost is the cost of an error rate of 1, in units of a fully loaded endpoint.
	errorCost = 4.0
	// remoteCost is the cost of an endpoint in another failure domain, in the same unit.
	remoteCost = 0.05
)

// endpointState is one endpoint as this gateway sees it.
type endpointState struct {
	roster.Endpoint
	// inflight counts this gateway's requests at the endpoint, and streaming those of them
	// whose first event has arrived.
	inflight  int
	streaming int
	// load is the load that the endpoint last reported, and loadAt the time of the report.
	// sentSinceLoad is the number of requests that this gateway has sent from then on, less
	// those that have ended.
	load          dialect.Load
	loadAt        time.Time
	sentSinceLoad int
	// pendingPromptTokens is the sum of the prompt tokens of requests that wait for their
	// first event.
	pendingPromptTokens int
	// lastData is when data last arrived from the endpoint.
	lastData time.Time
	// waitingSince is when a request was last sent to the idle endpoint or, if that is later,
	// when the last request there ended.
	waitingSince time.Time
	// failures counts the failures that led to a ban since the last complete response.
	failures int
	// bannedUntil is the time until which the endpoint gets no requests because some have failed,
	// and lostUntil because control considers it lost.
	bannedUntil, lostUntil time.Time
	// errorRate is the moving average of the share of responses that were failures.
	errorRate float64
	// refusesConnections says that nothing listens at the endpoint's address.
	refusesConnections bool
	// slowdown is the moving average of the measured over the forecast time to the first event.
	// It is 0 if nothing has been measured.
	slowdown float64
	// slowdownAt is when slowdown was last updated.
	slowdownAt time.Time
	// notice is the state that the endpoint has announced in its responses.
	notice notice
	// limit is the rate limit that it has announced.
	limit rateLimit
	// warm is its warm-up.
	warm warmUp
}

// Balancer balances the requests of one gateway over all endpoints. The zero value has no
// endpoints.
type Balancer struct {
	// FailureDomain is the gateway's failure domain.
	FailureDomain string
	// Gateways is how many gateways share the endpoints, 0 if that is not known.
	Gateways int
	// Regions are the regions of failure domains. Endpoints in other domains get no request that is restricted to regions.
	Regions map[string]string
	// Ranked says that package overload controls the queues of services whose routes differ in priority.
	Ranked bool
	// ServeLate says that requests that can't meet their objective any more wait for capacity, and that returned ones go before new ones,
	// where Ranked applies. Otherwise such requests get spare capacity only.
	ServeLate bool
	// Phase is a number from 0 up to, but not including, 1 that differs between gateways.
	Phase float64

	// evacuations are the failure domains to which no request is sent.
	evacuations evacuations
	// endpoints holds the endpoints by ID.
	endpoints map[string]*endpointState
	// index holds the endpoints that are ready by what they serve. It is nil if it has to be built.
	index map[scope][]*endpointState
	// queue holds the waiting requests in the order in which they are tried.
	queue []*Waiter
	// placed is the recent throughput of this gateway's requests.
	placed map[scope]throughput
	// refusedAt is when a request was last refused.
	refusedAt map[scope]time.Time
	// engines holds the model engine of each service; it is nil for plain services.
	engines map[string]*routes.Engine
	// endedNotices are those that TakeEndedNotices has yet to return, at most one for each
	// incarnation of an endpoint.
	endedNotices []EndedNotice
	// grantingAt is when the last message of a control host that grants permits arrived.
	grantingAt time.Time
	// promised is the latest return time that a Retry-After has given because of the limits of endpoints,
	// by service and model.
	promised map[string]time.Time
	// warmUps holds the warm-up limits of the services that have one. It is nil if there are none.
	warmUps map[string]routes.WarmUp
	// mostGateways is the greatest value of Gateways within gatewayMemory, and mostGatewaysAt when it was last set.
	mostGateways   int
	mostGatewaysAt time.Time
	// rankedServices are the services whose routes differ in priority, and ranked their queues.
	rankedServices map[string]bool
	ranked         map[scope]*rankedScope
}

// SetServices replaces the services that operators have configured.
func (b *Balancer) SetServices(services []routes.Service) {
	b.engines = map[string]*routes.Engine{}
	for _, s := range services {
		b.engines[s.Name] = s.Engine
	}
	b.setWarmUps(services)
}

// UpdateEndpoints adds endpoints or replaces what is known of them. An endpoint that has
// restarted keeps nothing but its count of requests in flight.
func (b *Balancer) UpdateEndpoints(endpoints []roster.Endpoint) {
	if b.endpoints == nil {
		b.endpoints = map[string]*endpointState{}
	}
	b.index = nil
	for _, e := range endpoints {
		t, known := b.endpoints[e.ID]
		if !known || t.StartedMs != e.StartedMs {
			fresh := &endpointState{Endpoint: e}
			if known {
				fresh.inflight = t.inflight
				b.endNotice(t)
			}
			b.endpoints[e.ID] = fresh
			continue
		}
		t.Endpoint = e
		if e.State == roster.StateLeft {
			b.endNotice(t)
		}
	}
}

// RemoveEndpoints removes the endpoints with these IDs.
func (b *Balancer) RemoveEndpoints(ids []string) {
	b.index = nil
	for _, id := range ids {
		if t, ok := b.endpoints[id]; ok {
			b.endNotice(t)
		}
		delete(b.endpoints, id)
	}
}

// RequestSent records that a request is sent to an endpoint.
func (b *Balancer) RequestSent(id string, req Request, now time.Time) {
	t, ok := b.endpoints[id]
	if !ok {
		return
	}
	if t.inflight == 0 || t.waitingSince.IsZero() {
		t.waitingSince = now
	}
	t.inflight++
	t.sentSinceLoad++
	t.pendingPromptTokens += req.PromptTokens
}

// DataReceived records that data arrived from an endpoint.
func (b *Balancer) DataReceived(id string, now time.Time) {
	if t, ok := b.endpoints[id]; ok {
		t.lastData = now
		t.refusesConnections = false
		b.connected(t, now)
	}
}

// FirstEventReceived records a request's first event. forecast is the Decision.Forecast of the
// request, and measured the time from its sending to the event.
func (b *Balancer) FirstEventReceived(id string, req Request, forecast, measured time.Duration, now time.Time) {
	if t, ok := b.endpoints[id]; ok {
		t.updateSlowdown(forecast, measured, b.isCold(t, now), now)
		t.streaming++
		t.pendingPromptTokens = max(0, t.pendingPromptTokens-req.PromptTokens)
		t.lastData = now
	}
}

// SetLoad records the load that an endpoint reports.
func (b *Balancer) SetLoad(id string, load dialect.Load, now time.Time) {
	if t, ok := b.endpoints[id]; ok {
		t.load, t.loadAt, t.sentSinceLoad = load, now, 0
	}
}

// Result is the result of a request at one endpoint.
type Result uint8

// The results of a request at an endpoint.
const (
	// ResultSuccess is a complete response.
	ResultSuccess Result = iota + 1
	// ResultServerError is a response with a status of 500 or above.
	ResultServerError
	// ResultOverloaded is a response by which the endpoint declines a request that it did not
	// run.
	ResultOverloaded
	// ResultInvalidResponse is a response that was cut off, malformed, of another request,
	// unsigned or not begun in time.
	ResultInvalidResponse
	// ResultUnreachable is a failure to connect to the endpoint.
	ResultUnreachable
	// ResultConnectionRefused is an address that refuses connections.
	ResultConnectionRefused
	// ResultWrongEndpoint is an address at which another endpoint responds.
	ResultWrongEndpoint
	// ResultCanceled is a request whose caller has left. It has no effect on the endpoint's health.
	ResultCanceled
	// ResultStalled is an endpoint that stopped sending while it had open streams.
	ResultStalled
)

// String returns the name of the result in log lines.
func (r Result) String() string {
	names := [...]string{
		"none", "success", "server_error", "overloaded", "invalid_response", "unreachable", "connection_refused", "wrong_endpoint", "canceled", "stalled",
	}
	if int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// RequestEnded records the end of a request at an endpoint. streamed says that its first event
// had arrived.
func (b *Balancer) RequestEnded(id string, req Request, streamed bool, r Result, now time.Time) {
	t, ok := b.endpoints[id]
	if !ok {
		return
	}
	t.inflight = max(0, t.inflight-1)
	t.sentSinceLoad--
	if streamed {
		t.streaming = max(0, t.streaming-1)
	} else {
		t.pendingPromptTokens = max(0, t.pendingPromptTokens-req.PromptTokens)
	}
	t.waitingSince = now
	t.applyResult(r, now)
	if r == ResultConnectionRefused || r == ResultUnreachable {
		b.connectFailed(t, now)
	}
}

// applyResult updates the endpoint's health and load by a request's result.
func (t *endpointState) applyResult(r Result, now time.Time) {
	switch r {
	case ResultSuccess:
		t.failures = 0
		t.errorRate -= t.errorRate * errorWeight
	case ResultServerError, ResultInvalidResponse:
		t.errorRate += (1 - t.errorRate) * errorWeight
	case ResultOverloaded:
		t.load.Waiting, t.loadAt, t.sentSinceLoad = max(t.load.Waiting, t.Slots), now, 0
		t.load.Running = max(t.load.Running, t.Slots)
	case ResultConnectionRefused, ResultWrongEndpoint:
		t.refusesConnections = r == ResultConnectionRefused
		t.ban(now)
	case ResultUnreachable, ResultStalled:
		t.ban(now)
	case ResultCanceled:
	}
}

// ban keeps requests from the endpoint for a time that doubles with each failure. The failures of
// requests that were sent before the ban count as one.
func (t *endpointState) ban(now time.Time) {
	if now.Before(t.bannedUntil) {
		return
	}
	t.failures++
	duration := min(maxBan, minBan<<min(t.failures-1, 5))
	t.bannedUntil = now.Add(duration)
}

// stalled reports whether an endpoint with open streams has sent nothing for too long.
func (t *endpointState) stalled(now time.Time) bool {
	return t.streaming > 0 && now.Sub(t.lastData) > stallTimeout
}

// Stalled reports whether the endpoint has stalled, and how long it has sent nothing.
func (b *Balancer) Stalled(id string, now time.Time) (time.Duration, bool) {
	t, ok := b.endpoints[id]
	if !ok {
		return 0, false
	}
	return now.Sub(t.lastData), t.stalled(now)
}

// Gone reports whether the endpoint is unknown, has left or refuses connections.
func (b *Balancer) Gone(id string) bool {
	t, ok := b.endpoints[id]
	return !ok || t.State == roster.StateLeft || t.refusesConnections
}

// occupied estimates how many requests of all gateways are at the endpoint. Without a recent
// load report it assumes that each gateway has as many there as this one.
func (b *Balancer) occupied(t *endpointState, now time.Time) float64 {
	own := float64(t.inflight)
	if source, _ := t.loadSource(now); source == LoadFromOwn {
		return own * float64(max(b.Gateways, 1))
	}
	return max(own, float64(t.load.Running+t.load.Waiting+t.sentSinceLoad))
}

// HeadReport describes an engine endpoint at which the gateway has requests in flight.
type HeadReport struct {
	ID string
	// InFlight counts the requests in flight.
	InFlight int
	// WaitingFor is how long these have been waiting for data. Without open streams it counts at the earliest from when a
	// request was last sent to the idle endpoint or the last one ended.
	WaitingFor time.Duration
	// SinceLastData is how long the endpoint has sent this gateway nothing, regardless of what was sent to it, at most
	// maxSinceLastData.
	SinceLastData time.Duration
}

// maxSinceLastData bounds HeadReport.SinceLastData, which has no other bound for an endpoint that has never sent anything.
const maxSinceLastData = time.Minute

// HeadReports returns the engine endpoints with requests in flight, ordered by ID.
func (b *Balancer) HeadReports(now time.Time) []HeadReport {
	var all []HeadReport
	for _, id := range slices.Sorted(maps.Keys(b.endpoints)) {
		t := b.endpoints[id]
		if !t.Engine || t.inflight == 0 {
			continue
		}
		waitingSince := t.lastData
		if t.waitingSince.After(waitingSince) && t.streaming == 0 {
			waitingSince = t.waitingSince
		}
		all = append(all, HeadReport{
			ID: id, InFlight: t.inflight, WaitingFor: now.Sub(waitingSince), SinceLastData: min(now.Sub(t.lastData), maxSinceLastData),
		})
	}
	return all
}

// lostBan is how long an endpoint that control considers lost gets no requests.
const lostBan = time.Second

// MarkLost bans the endpoints that control considers lost, for lostBan from now. It leaves out
// those that have sent this gateway data within lostBan, since they may only be disconnected from
// control.
func (b *Balancer) MarkLost(ids []string, now time.Time) {
	for _, id := range ids {
		t, ok := b.endpoints[id]
		if ok && now.Sub(t.lastData) > lostBan {
			t.lostUntil = now.Add(lostBan)
		}
	}
}
