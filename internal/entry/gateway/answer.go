package gateway

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/phuslu/log"

	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// refuse answers a request that has not run and will not.
func (c *call) refuse(after time.Duration, reason string) {
	c.g.metrics.refused.Inc(1)
	c.line(event.RequestRefused).Int("status", http.StatusServiceUnavailable).Str("reason", reason).Dur("after", after).Msg("")
	seconds := math.Ceil(after.Seconds()*100) / 100
	c.w.Header().Set("Retry-After", strconv.FormatFloat(seconds, 'f', -1, 64))
	c.write(http.StatusServiceUnavailable, "not run: "+reason)
}

// deny answers a request that the caller should not send again as it is.
func (c *call) deny(status int, reason string) {
	c.g.metrics.refused.Inc(1)
	c.line(event.RequestRefused).Int("status", status).Str("reason", reason).Msg("")
	c.write(status, reason)
}

// fail answers a request that may have run.
func (c *call) fail(status int, reason string) {
	c.g.metrics.failed.Inc(1)
	c.line(event.RequestFailed).Int("status", status).Str("reason", reason).Msg("")
	c.write(status, reason)
}

// timeUp answers a request whose time is up, or drops one whose caller has left.
func (c *call) timeUp(ctx context.Context, reason string) {
	if c.r.Context().Err() != nil {
		c.leave()
		return
	}
	if ctx.Err() == nil {
		c.fail(http.StatusBadGateway, reason)
		return
	}
	c.fail(http.StatusGatewayTimeout, "no answer in time")
}

func (c *call) leave() {
	c.g.metrics.left.Inc(1)
	c.line(event.RequestLeft).Msg("")
}

// cut ends an answer that has begun and cannot be finished, so that it does not look whole.
func (c *call) cut(reason string) {
	c.g.metrics.failed.Inc(1)
	c.line(event.RequestFailed).Str("reason", reason).Bool("begun", true).Msg("")
	panic(http.ErrAbortHandler)
}

func (c *call) write(status int, text string) {
	h := c.w.Header()
	if c.id != "" {
		h.Set(c.g.opts.Dialect.Headers.RequestID, c.id)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)+1))
	c.w.WriteHeader(status)
	_, _ = fmt.Fprintln(c.w, text) // The caller may have left; the line above says how it ended.
}

// line starts the log line of the request's end.
func (c *call) line(e event.Event) *log.Entry {
	line := e.On(c.g.opts.Logger).Str("request", c.id).Dur("took", time.Since(c.began))
	if c.route != nil {
		line = line.Str("route", c.route.Name).Str("kind", c.route.Kind.String())
	}
	if c.team != nil {
		line = line.Str("team", c.team.Name)
	}
	if c.model != "" {
		line = line.Str("model", c.model)
	}
	t := c.trail
	if t.sends > 0 {
		line = line.Int("sends", t.sends).Str("endpoint", t.endpoint)
	}
	if t.waited > 0 {
		line = line.Dur("waited", t.waited)
	}
	if t.first > 0 {
		line = line.Dur("first", t.first)
	}
	if t.forecast > 0 {
		line = line.Dur("forecast", t.forecast)
	}
	if t.events > 0 {
		line = line.Int("events", t.events).Dur("pause", t.pause)
	}
	if t.seen.Serving > 0 {
		line = line.Int("serving", t.seen.Serving).Int("banned", t.seen.Banned).
			Float64("occupied", t.seen.Occupied).Dur("soonest", t.seen.EarliestForecast)
	}
	if t.resumes > 0 {
		line = line.Int("resumes", t.resumes)
	}
	return line
}

// copyHeader gives the caller the head of an endpoint's answer.
func (c *call) copyHeader(from http.Header) {
	to := c.w.Header()
	for name, values := range from {
		to[name] = values
	}
	stripConnection(to)
	if c.last {
		to.Set("Connection", "close")
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil // Keeps net/http from guessing one.
	}
}
