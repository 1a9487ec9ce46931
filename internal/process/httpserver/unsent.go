package httpserver

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/egretreach/egretreach/internal/telemetry/event"
	"github.com/egretreach/egretreach/internal/telemetry/metric"
)

const (
	// maxUnsentLines is how many log lines about unsent responses there are at most in unsentLogInterval.
	maxUnsentLines    = 20
	unsentLogInterval = time.Second
)

// unsentReason says why a connection was closed before the caller had received all of a response. It is empty if the caller has received it
// or has left.
type unsentReason string

const (
	unsentNothing unsentReason = ""
	// unsentStopped is the end of a planned stop, or of the server. If no bytes of the caller lie unread then, it is unsentByKernel: the
	// operating system goes on sending, and the response arrives unless the caller sends more before it has received it.
	unsentStopped  unsentReason = "stop"
	unsentByKernel unsentReason = "stop, the kernel sends the rest"
	// unsentEvicted is that of a connection that held the most memory.
	unsentEvicted unsentReason = "caller memory"
	// unsentStalled is that of a caller that has received nothing for transferTimeout.
	unsentStalled unsentReason = "no progress"
)

// unsentRecord counts and logs the responses that were cut by closing their connections. Its zero value logs nothing.
type unsentRecord struct {
	logger *log.Logger
	total  metrics.Counter

	mu sync.Mutex
	// lines counts the log lines since since, and omitted the responses without one since the last line.
	since   time.Time
	lines   int
	omitted int
}

// register adds the metric of the record.
func (r *unsentRecord) register(registry *metric.Registry) {
	r.total = registry.Counter("responses_unsent_total", "Responses cut because their connections were closed before the callers had received them.")
}

// add logs a response, of which the caller has not acknowledged q.unsent bytes, and counts it unless the kernel sends them.
func (r *unsentRecord) add(request string, reason unsentReason, q socketQueues) {
	if reason == unsentStopped && q.unread == 0 {
		reason = unsentByKernel
	}
	if r.total != nil && reason != unsentByKernel {
		r.total.Inc(1)
	}
	omitted, ok := r.takeLine(time.Now())
	if !ok {
		return
	}
	event.ResponseUnsent.On(r.logger).Str("request", request).Str("reason", string(reason)).
		Int("unsent", q.unsent).Int("unread", q.unread).Int("omitted", omitted).Msg("")
}

// takeLine reports whether there may be a log line now, and how many there were not since the last one.
func (r *unsentRecord) takeLine(now time.Time) (omitted int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.since) >= unsentLogInterval {
		r.since, r.lines = now, 0
	}
	if r.lines >= maxUnsentLines {
		r.omitted++
		return 0, false
	}
	r.lines++
	omitted, r.omitted = r.omitted, 0
	return omitted, true
}

// NameRequest tells the server of a request, by the context of which it is found, the ID of the request for the log.
func NameRequest(ctx context.Context, id string) {
	c, ok := ctx.Value(connKey{}).(*limitedConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request = id
}
