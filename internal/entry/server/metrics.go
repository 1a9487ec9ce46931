package server

import (
	"time"

	"github.com/egretreach/egretreach/internal/entry/dispatch"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/telemetry/metric"
)

// requestMetrics records the metrics of requests by team and class.
type requestMetrics struct{ registry *metric.Registry }

func newRequestMetrics(registry *metric.Registry, sched *scheduler) *requestMetrics {
	registry.GaugeFunc("egretreach_entry_in_flight", "Attempts in flight.", func() float64 { return float64(sched.countAttemptsInFlight()) })
	registry.GaugeFunc("egretreach_entry_waiting", "Requests that wait for a slot.", func() float64 { return float64(sched.countWaiting()) })
	return &requestMetrics{registry: registry}
}

// requestObservation measures one request.
type requestObservation struct {
	metrics     *requestMetrics
	work        dispatch.Work
	start       time.Time
	lastTokenAt time.Time
	tokenGap    *metric.Timer
}

func (m *requestMetrics) begin(work dispatch.Work) *requestObservation {
	return &requestObservation{metrics: m, work: work, start: time.Now()}
}

func (o *requestObservation) observe(timing metric.Timing, d time.Duration) {
	o.metrics.registry.Observe(timing, o.work.Team, o.work.Class, d)
}

func (o *requestObservation) admitted() { o.observe(metric.QueueWait, time.Since(o.start)) }

func (o *requestObservation) end(r dispatch.Result) dispatch.Result {
	o.observe(metric.Total, time.Since(o.start))
	o.metrics.registry.Counter("egretreach_requests_total", "Requests by outcome.",
		metric.Label{Name: "team", Value: string(o.work.Team)},
		metric.Label{Name: "class", Value: string(o.work.Class)},
		metric.Label{Name: "outcome", Value: string(outcome(r))}).Inc(1)
	return r
}

func outcome(r dispatch.Result) request.Outcome {
	if r.Outcome == "" {
		return request.OutcomeUnknown
	}
	return r.Outcome
}

// timeTokens wraps sink, which may be nil, to measure when tokens pass.
func (o *requestObservation) timeTokens(sink dispatch.Sink) dispatch.Sink {
	return &timedSink{next: sink, observation: o}
}

type timedSink struct {
	next        dispatch.Sink
	observation *requestObservation
}

// Tokens implements dispatch.Sink.
func (t *timedSink) Tokens(offset uint64, count uint32, text []byte) error {
	now := time.Now()
	if t.observation.lastTokenAt.IsZero() {
		t.observation.observe(metric.TimeToFirstToken, now.Sub(t.observation.start))
		t.observation.tokenGap = t.observation.metrics.registry.Timer(metric.TokenGap, t.observation.work.Team, t.observation.work.Class)
	} else if count > 0 {
		t.observation.tokenGap.Observe(now.Sub(t.observation.lastTokenAt) / time.Duration(count))
	}
	t.observation.lastTokenAt = now
	if t.next == nil {
		return nil
	}
	return t.next.Tokens(offset, count, text)
}
