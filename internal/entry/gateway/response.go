package gateway

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/phuslu/log"

	"github.com/egretreach/egretreach/internal/process/httpserver"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// refuse responds with 503 and Retry-After to a request that has not run and will not run. The
// Retry-After is in seconds, rounded up to hundredths.
func (c *call) refuse(after time.Duration, reason string) {
	if c.g.isCutting() {
		reason = reasonCut
	}
	c.g.metrics.refused.Inc(1)
	entry := c.logEntry(event.RequestRefused).Int("status", http.StatusServiceUnavailable).Str("reason", reason).Dur("after", after)
	c.g.evidence().log(entry).Msg("")
	c.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfterSeconds(after), 'f', -1, 64))
	c.writeText(http.StatusServiceUnavailable, "not run: "+reason)
}

// retryAfterSeconds returns the value of a Retry-After.
func retryAfterSeconds(after time.Duration) float64 { return math.Ceil(after.Seconds()*100) / 100 }

// stoppingRetryAfter is the Retry-After of a request that a stopping gateway refuses. Other gateways
// may serve it at once.
const stoppingRetryAfter = 10 * time.Millisecond

// deny responds to a request that the caller should not send again unchanged.
func (c *call) deny(status int, reason string) {
	c.g.metrics.refused.Inc(1)
	c.g.evidence().log(c.logEntry(event.RequestRefused).Int("status", status).Str("reason", reason)).Msg("")
	c.writeText(status, reason)
}

// fail responds to a request that may have run.
func (c *call) fail(status int, reason string) {
	c.g.metrics.failed.Inc(1)
	c.logEntry(event.RequestFailed).Int("status", status).Str("reason", reason).Msg("")
	c.writeText(status, reason)
}

// failUnanswered ends a request that may have run without a response: with 504 after its deadline, else
// with 502, also at the end of the time of a planned stop. If the caller has disconnected it sends
// nothing.
func (c *call) failUnanswered(ctx context.Context, reason string) {
	if c.r.Context().Err() != nil {
		c.callerLeft()
		return
	}
	if c.g.isCutting() {
		c.fail(http.StatusBadGateway, reasonCut)
		return
	}
	if ctx.Err() == nil {
		c.fail(http.StatusBadGateway, reason)
		return
	}
	c.fail(http.StatusGatewayTimeout, "no answer in time")
}

// reasonCut is the reason of a request that was in flight at the end of the time of a planned stop.
const reasonCut = "cut by the end of the planned stop"

// reasonCallerMemory is the reason of a request whose connection was closed because it held the most of the callers' memory.
const reasonCallerMemory = "closed for the memory that callers hold"

// callerLeft ends a request whose connection has ended before the end of the response: the caller has disconnected, the time of a planned
// stop has ended, or the connection held too much memory. It aborts the connection, since a caller that has closed only its sending side
// would treat a normal end as a success.
func (c *call) callerLeft() {
	switch {
	case c.g.isCutting():
		c.recordCut(reasonCut)
	case httpserver.IsClosedForMemory(c.r.Context()):
		c.recordCut(reasonCallerMemory)
	default:
		c.g.metrics.left.Inc(1)
		c.logEntry(event.RequestLeft).Msg("")
	}
	panic(http.ErrAbortHandler)
}

// recordCut records a request that ends without a complete response because this process closes its connection.
func (c *call) recordCut(reason string) {
	c.g.metrics.failed.Inc(1)
	c.logEntry(event.RequestFailed).Str("reason", reason).Bool("begun", c.stats.timeToFirst > 0).Msg("")
}

// abort interrupts a response that has begun and cannot be completed, so that the caller does not
// treat it as complete.
func (c *call) abort(reason string) {
	if c.g.isCutting() {
		reason = reasonCut
	}
	c.g.metrics.failed.Inc(1)
	c.logEntry(event.RequestFailed).Str("reason", reason).Bool("begun", true).Msg("")
	panic(http.ErrAbortHandler)
}

// writeText sends a response of one line of text.
func (c *call) writeText(status int, text string) {
	h := c.w.Header()
	if c.id != "" {
		h.Set(c.g.opts.Dialect.Headers.RequestID, c.id)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)+1))
	c.w.WriteHeader(status)
	_, _ = fmt.Fprintln(c.w, text) // An error means that the caller has disconnected; the end is logged already.
}

// logEntry starts the log entry of the request's end.
func (c *call) logEntry(e event.Event) *log.Entry {
	entry := e.On(c.g.opts.Logger).Str("request", c.id).Dur("took", time.Since(c.arrivedAt))
	entry = c.logConfig(entry)
	if c.route != nil {
		entry = entry.Str("route", c.route.Name).Str("kind", c.route.Kind.String())
	}
	if c.team != nil {
		entry = entry.Str("team", c.team.Name)
	}
	if c.model != "" {
		entry = entry.Str("model", c.model)
	}
	s := c.stats
	if s.sends > 0 {
		entry = entry.Int("sends", s.sends).Str("endpoint", s.endpoint)
	}
	if s.waited > 0 {
		entry = entry.Dur("waited", s.waited)
	}
	if s.timeToFirst > 0 {
		entry = entry.Dur("first", s.timeToFirst)
	}
	if d := s.decision; d.Forecast > 0 {
		entry = entry.Dur("forecast", d.Forecast).Float64("load", d.Occupied).Str("load_from", d.LoadFrom.String()).Dur("load_age", d.LoadAge)
	}
	if s.events > 0 {
		entry = entry.Int("events", s.events).Dur("pause", s.maxGap)
	}
	if s.availability.Serving > 0 {
		entry = entry.Int("serving", s.availability.Serving).Int("banned", s.availability.Banned).
			Int("leaving", s.availability.Leaving).Int("busy", s.availability.Busy).Int("limited", s.availability.Limited).
			Int("evacuated", s.availability.Evacuated).Int("region", s.availability.Region).Float64("occupied", s.availability.Occupied).Dur("soonest", s.availability.EarliestForecast)
	}
	if s.availability.Cold > 0 {
		entry = entry.Int("cold", s.availability.Cold)
	}
	entry = logOverload(entry, s.overload)
	if s.heldKey != "" {
		entry = entry.Str("key", s.heldKey)
	}
	if s.noRetry != "" {
		entry = entry.Str("no_retry", s.noRetry)
	}
	if s.resumes > 0 {
		entry = entry.Int("resumes", s.resumes)
	}
	return entry
}

// logConfig adds the version of the configuration by which the request was served, how long ago the
// gateway last changed its configuration and, if that was since, the version in force now.
func (c *call) logConfig(entry *log.Entry) *log.Entry {
	if c.revision == 0 {
		return entry
	}
	entry = entry.Uint64("revision", c.revision)
	if since := c.g.tableSince.Load(); since != nil {
		entry = entry.Dur("revision_age", time.Since(*since))
	}
	if current := c.g.table.Load(); current != nil && current.Version != c.revision {
		entry = entry.Uint64("revision_now", current.Version)
	}
	return entry
}

// copyResponseHeader copies the headers of an endpoint's response, except those of the connection.
func (c *call) copyResponseHeader(from http.Header) {
	to := c.w.Header()
	for name, values := range from {
		to[name] = values
	}
	stripConnectionHeaders(to)
	if c.closeAfter {
		to.Set("Connection", "close")
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil // Prevents content sniffing by net/http.
	}
}
