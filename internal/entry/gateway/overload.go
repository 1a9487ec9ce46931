package gateway

import (
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/egretreach/egretreach/internal/entry/balance"
	"github.com/egretreach/egretreach/internal/entry/overload"
	"github.com/egretreach/egretreach/internal/telemetry/metric"
)

// overloadMetrics counts the decisions of package overload.
type overloadMetrics struct {
	late     metrics.Counter
	returned metrics.Counter
	promised metrics.Counter
	again    metrics.Counter
	refused  map[overload.Reason]metrics.Counter
}

func newOverloadMetrics(r *metric.Registry) overloadMetrics {
	return overloadMetrics{
		late:     r.Counter("gateway_overload_late_total", "Requests placed after their objective could not be met any more."),
		returned: r.Counter("gateway_overload_returned_total", "Requests placed whose caller had been refused before."),
		promised: r.Counter("gateway_overload_promised_total", "Refusals whose Retry-After names a time with reserved room."),
		again:    r.Counter("gateway_overload_refused_again_total", "Refusals of callers that had been refused before."),
		refused: map[overload.Reason]metrics.Counter{
			overload.ReasonQueue:     r.Counter("gateway_overload_queue_total", "Requests refused at once because the queue leaves no place in time."),
			overload.ReasonWaited:    r.Counter("gateway_overload_waited_total", "Requests refused at the end of their wait."),
			overload.ReasonDisplaced: r.Counter("gateway_overload_displaced_total", "Waiting requests refused for one of a team with less service."),
			overload.ReasonNoWait:    r.Counter("gateway_overload_no_wait_total", "Requests refused that may not wait."),
			overload.ReasonLost:      r.Counter("gateway_overload_lost_total", "Returned requests refused because capacity was lost."),
		},
	}
}

// countPlaced counts a request that found an endpoint.
func (m *overloadMetrics) countPlaced(d balance.Decision) {
	if d.Late {
		m.late.Inc(1)
	}
	if d.Returned {
		m.returned.Inc(1)
	}
}

// countRefusal counts a refusal.
func (m *overloadMetrics) countRefusal(in overload.Inputs) {
	counter, ok := m.refused[in.Reason]
	if !ok {
		return
	}
	counter.Inc(1)
	if in.Promised {
		m.promised.Inc(1)
	}
	if in.Returned {
		m.again.Inc(1)
	}
}

// logOverload adds the inputs of a refusal by package overload.
func logOverload(entry *log.Entry, in overload.Inputs) *log.Entry {
	if in.Reason == overload.ReasonNone {
		return entry
	}
	return entry.Float64("per_second", in.PerSecond).Int("ahead", in.Ahead).Int("waiting", in.Waiting).Dur("usable", in.Usable).
		Bool("promised", in.Promised).Bool("returned", in.Returned).Bool("late", in.Late)
}
