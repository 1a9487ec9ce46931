package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/egretreach/egretreach/internal/fleet/team"
	"github.com/egretreach/egretreach/internal/telemetry/metric"
)

// gatewayMetrics are the gateway's counters.
type gatewayMetrics struct {
	requests metrics.Counter
	answered metrics.Counter
	refused  metrics.Counter
	failed   metrics.Counter
	left     metrics.Counter
	attempts metrics.Counter
	repeats  metrics.Counter
	resumed  metrics.Counter
	stalled  metrics.Counter
}

func newGatewayMetrics(r *metric.Registry) gatewayMetrics {
	return gatewayMetrics{
		requests: r.Counter("gateway_requests_total", "Requests of callers."),
		answered: r.Counter("gateway_answered_total", "Requests answered with an endpoint's whole answer."),
		refused:  r.Counter("gateway_refused_total", "Requests refused before they ran."),
		failed:   r.Counter("gateway_failed_total", "Requests that failed or may have run without an answer."),
		left:     r.Counter("gateway_left_total", "Requests whose caller left."),
		attempts: r.Counter("gateway_attempts_total", "Requests sent to endpoints."),
		repeats:  r.Counter("gateway_repeats_total", "Requests sent to an endpoint once more."),
		resumed:  r.Counter("gateway_resumed_total", "Streams that went on at another endpoint."),
		stalled:  r.Counter("gateway_stalled_total", "Attempts given up because the endpoint stood still."),
	}
}

// observe adds the times of an answered request to the histograms of its team and kind.
func (c *call) observe() {
	if c.g.opts.Metrics == nil {
		return
	}
	var id team.ID
	if c.team != nil {
		id = team.ID(c.team.Name)
	}
	class := team.Class(c.route.Kind.String())
	c.g.opts.Metrics.Observe(metric.QueueWait, id, class, c.trail.waited)
	c.g.opts.Metrics.Observe(metric.TimeToFirstToken, id, class, c.trail.first)
	c.g.opts.Metrics.Observe(metric.Total, id, class, time.Since(c.began))
}

// newDraw returns a source of numbers spread evenly over 0 up to 1.
func newDraw() func() float64 { return rand.Float64 }
