package server

import (
	"time"

	"github.com/egretreach/egretreach/internal/entry/dispatch"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/telemetry/metric"
)

// meter measures requests by team and class.
type meter struct{ registry *metric.Registry }

func newMeter(registry *metric.Registry, p *policy) *meter {
	registry.GaugeFunc("egretreach_entry_in_flight", "Attempts in flight.", func() float64 { return float64(p.running()) })
	registry.GaugeFunc("egretreach_entry_waiting", "Requests that wait for a slot.", func() float64 { return float64(p.waiting()) })
	return &meter{registry: registry}
}

// observation is one request as it is measured.
type observation struct {
	meter *meter
	work  dispatch.Work
	start time.Time
	last  time.Time
	gap   *metric.Timer
}

func (m *meter) begin(work dispatch.Work) *observation {
	return &observation{meter: m, work: work, start: time.Now()}
}

func (o *observation) observe(timing metric.Timing, d time.Duration) {
	o.meter.registry.Observe(timing, o.work.Team, o.work.Class, d)
}

func (o *observation) admitted() { o.observe(metric.QueueWait, time.Since(o.start)) }

func (o *observation) end(r dispatch.Result) dispatch.Result {
	o.observe(metric.Total, time.Since(o.start))
	o.meter.registry.Counter("egretreach_requests_total", "Requests by outcome.",
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

// watch wraps sink, which may be nil, to time the tokens that pass.
func (o *observation) watch(sink dispatch.Sink) dispatch.Sink { return &timedSink{next: sink, o: o} }

type timedSink struct {
	next dispatch.Sink
	o    *observation
}

// Tokens implements dispatch.Sink.
func (t *timedSink) Tokens(offset uint64, count uint32, text []byte) error {
	now := time.Now()
	if t.o.last.IsZero() {
		t.o.observe(metric.TimeToFirstToken, now.Sub(t.o.start))
		t.o.gap = t.o.meter.registry.Timer(metric.TokenGap, t.o.work.Team, t.o.work.Class)
	} else if count > 0 {
		t.o.gap.Observe(now.Sub(t.o.last) / time.Duration(count))
	}
	t.o.last = now
	if t.next == nil {
		return nil
	}
	return t.next.Tokens(offset, count, text)
}
