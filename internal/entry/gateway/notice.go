package gateway

import (
	"net/http"
	"time"

	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// oddNoticeInterval is the least time between two log lines about a notice that can't be read.
const oddNoticeInterval = 10 * time.Second

// recordNotices records the endpoint's state from the header of a response: that it is leaving, that it accepts no
// requests for a time, or its limit. The state applies only to the incarnation to which the request was sent.
func (a *attempt) recordNotices(response *http.Response) {
	a.recordLimit(response)
	a.recordCold(response)
	names := a.call.g.opts.Dialect.Headers
	if a.call.g.opts.Dialect.ParseLeaving(response.Header.Get(names.Leaving)) {
		a.recordLeaving()
	}
	text := response.Header.Get(names.RetryAfter)
	if response.StatusCode != http.StatusServiceUnavailable || text == "" {
		return
	}
	busy, ok := a.call.g.opts.Dialect.ParseRetryAfter(text)
	if !ok {
		a.logOddNotice(text)
		return
	}
	a.recordBusy(busy)
}

func (a *attempt) recordLeaving() {
	g := a.call.g
	g.mu.Lock()
	marked := g.balancer.MarkLeaving(a.endpoint.ID, a.endpoint.StartedMs)
	g.mu.Unlock()
	if !marked {
		return
	}
	g.metrics.leaving.Inc(1)
	event.EndpointMarked.On(g.opts.Logger).Str("endpoint", a.endpoint.ID).Int64("started", a.endpoint.StartedMs).
		Str("why", "leaving").Str("request", a.call.id).Msg("")
}

func (a *attempt) recordBusy(busy time.Duration) {
	g := a.call.g
	g.mu.Lock()
	marked := g.balancer.MarkBusy(a.endpoint.ID, a.endpoint.StartedMs, busy, time.Now())
	g.mu.Unlock()
	if !marked {
		return
	}
	g.metrics.busy.Inc(1)
	event.EndpointMarked.On(g.opts.Logger).Str("endpoint", a.endpoint.ID).Int64("started", a.endpoint.StartedMs).
		Str("why", "busy").Dur("for", busy).Str("request", a.call.id).Msg("")
}

// logOddNotice logs a Retry-After that can't be read, at most every oddNoticeInterval.
func (a *attempt) logOddNotice(text string) {
	g := a.call.g
	now := time.Now().UnixNano()
	last := g.oddNoticeAt.Load()
	if now-last < int64(oddNoticeInterval) || !g.oddNoticeAt.CompareAndSwap(last, now) {
		return
	}
	event.NoticeOdd.On(g.opts.Logger).Str("endpoint", a.endpoint.ID).Str("request", a.call.id).
		Str("value", text[:min(len(text), maxLoggedNotice)]).Msg("")
}

// maxLoggedNotice bounds the logged part of such a value, in bytes.
const maxLoggedNotice = 40

// logEndedNotices logs the notices that have ended.
func (g *Gateway) logEndedNotices(now time.Time) {
	g.mu.Lock()
	ended := g.balancer.TakeEndedNotices(now)
	g.mu.Unlock()
	for _, n := range ended {
		event.EndpointUnmarked.On(g.opts.Logger).Str("endpoint", n.ID).Int64("started", n.StartedMs).Str("why", n.Why.String()).
			Bool("gone", n.Gone).Msg("")
	}
}
