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

// unsentReason says why a connection was closed before the caller had received all of a response. It is empty if the caller has received it.
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
	// unsentCallerLeft is that of a caller that has reset its connection.
	unsentCallerLeft unsentReason = "caller left"
	// unsentCallerEnded is that of a caller that has ended its sending direction, or closed the connection. The operating system goes on
	// sending, and the response arrives if the caller still reads.
	unsentCallerEnded unsentReason = "caller ended, the kernel sends the rest"
)

// isByCaller reports whether the caller, and not this process, has ended the connection.
func (r unsentReason) isByCaller() bool { return r == unsentCallerLeft || r == unsentCallerEnded }

// unsentRecord counts and logs the responses of which the callers have not received everything. Its zero value logs nothing.
type unsentRecord struct {
	logger *log.Logger
	total  metrics.Counter
	// cutLines bounds the lines of responses that this process has cut, leftLines those of callers that have left.
	cutLines, leftLines lineLimit
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
	omitted, ok := r.cutLines.take(time.Now())
	if !ok {
		return
	}
	event.ResponseUnsent.On(r.logger).Str("request", request).Str("reason", string(reason)).
		Int("unsent", q.unsent).Int("unread", q.unread).Int("omitted", omitted).Msg("")
}

// addLeft logs a response whose caller has ended the connection, and had not acknowledged unsent bytes.
func (r *unsentRecord) addLeft(request string, reason unsentReason, unsent int) {
	omitted, ok := r.leftLines.take(time.Now())
	if !ok {
		return
	}
	event.ResponseLeft.On(r.logger).Str("request", request).Str("reason", string(reason)).
		Int("unsent", unsent).Int("omitted", omitted).Msg("")
}

// lineLimit bounds log lines to maxUnsentLines in unsentLogInterval. The zero value has written none.
type lineLimit struct {
	mu sync.Mutex
	// lines counts the log lines since since, and omitted the responses without one since the last line.
	since   time.Time
	lines   int
	omitted int
}

// take reports whether there may be a log line now, and how many there were not since the last one.
func (l *lineLimit) take(now time.Time) (omitted int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.since) >= unsentLogInterval {
		l.since, l.lines = now, 0
	}
	if l.lines >= maxUnsentLines {
		l.omitted++
		return 0, false
	}
	l.lines++
	omitted, l.omitted = l.omitted, 0
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
