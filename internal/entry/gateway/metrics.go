package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/egretreach/egretreach/internal/entry/hedge"
	"github.com/egretreach/egretreach/internal/fleet/team"
	"github.com/egretreach/egretreach/internal/telemetry/metric"
)

// gatewayMetrics holds the gateway's counters.
type gatewayMetrics struct {
	requests metrics.Counter
	answered metrics.Counter
	refused  metrics.Counter
	failed   metrics.Counter
	left     metrics.Counter
	attempts metrics.Counter
	retries  metrics.Counter
	resumed  metrics.Counter
	stalled  metrics.Counter
	leaving  metrics.Counter
	busy     metrics.Counter
	avoided  metrics.Counter
	heldBack metrics.Counter
	limits   metrics.Counter
	// evacuations counts changes of evacuated domains, and withheld attempts that were placed and not sent.
	evacuations metrics.Counter
	withheld    metrics.Counter
	cold        metrics.Counter
	// coldAvoided counts the requests that were sent elsewhere or later because of a warm-up limit, and coldRefused those that were
	// refused.
	coldAvoided, coldRefused metrics.Counter
	overload                 overloadMetrics
	// hedges counts hedges, hedgesWon those whose response was sent to the caller, and hedgesRefused slow requests that were not
	// hedged.
	hedges, hedgesWon, hedgesLost metrics.Counter
	hedgesRefused                 map[hedge.Reason]metrics.Counter
}

func newGatewayMetrics(r *metric.Registry) gatewayMetrics {
	hedgesRefused := map[hedge.Reason]metrics.Counter{}
	for _, reason := range hedge.Reasons() {
		hedgesRefused[reason] = r.Counter("gateway_hedges_refused_"+reason.String()+"_total", "Slow requests that were not hedged, by reason.")
	}
	return gatewayMetrics{
		requests: r.Counter("gateway_requests_total", "Requests of callers."),
		answered: r.Counter("gateway_answered_total", "Requests answered with an endpoint's whole answer."),
		refused:  r.Counter("gateway_refused_total", "Requests refused before they ran."),
		failed:   r.Counter("gateway_failed_total", "Requests that failed or may have run without an answer."),
		left:     r.Counter("gateway_left_total", "Requests whose caller left."),
		attempts: r.Counter("gateway_attempts_total", "Requests sent to endpoints."),
		retries:  r.Counter("gateway_repeats_total", "Requests sent to an endpoint once more."),
		resumed:  r.Counter("gateway_resumed_total", "Streams that went on at another endpoint."),
		stalled:  r.Counter("gateway_stalled_total", "Attempts given up because the endpoint stood still."),
		leaving:  r.Counter("gateway_leaving_notices_total", "Endpoints that said in a response that they leave."),
		busy:     r.Counter("gateway_busy_notices_total", "Responses by which endpoints asked for no requests for a time."),
		avoided:  r.Counter("gateway_avoided_total", "Requests sent elsewhere because an endpoint leaves, is busy or has a limit."),
		limits:   r.Counter("gateway_limits_total", "Rate limits of endpoints that were named, changed or ended."),
		cold:     r.Counter("gateway_cold_total", "Endpoints that became cold, as control or the endpoint said."),

		coldAvoided: r.Counter("gateway_cold_avoided_total", "Requests sent elsewhere or later because the warm-up limit of an endpoint was used up."),
		coldRefused: r.Counter("gateway_cold_refused_total", "Requests refused while the warm-up limit of an endpoint was used up."),

		hedges:        r.Counter("gateway_hedges_total", "Slow requests that were sent to a second endpoint."),
		hedgesWon:     r.Counter("gateway_hedges_won_total", "Hedges whose response the caller got."),
		hedgesLost:    r.Counter("gateway_hedges_lost_total", "Hedges that were cancelled or failed."),
		hedgesRefused: hedgesRefused,

		heldBack: r.Counter("gateway_held_back_total", "Requests refused because requests like them crash endpoints."),

		evacuations: r.Counter("gateway_evacuations_total", "Failure domains to which the gateway stopped or resumed sending."),
		withheld:    r.Counter("gateway_withheld_total", "Requests not sent to their endpoint since its failure domain was evacuated meanwhile or may be."),
		overload:    newOverloadMetrics(r),
	}
}

// observeTimes adds the times of an answered request to the metrics of its team and kind.
func (c *call) observeTimes() {
	if c.g.opts.Metrics == nil {
		return
	}
	var id team.ID
	if c.team != nil {
		id = team.ID(c.team.Name)
	}
	class := team.Class(c.route.Kind.String())
	c.g.opts.Metrics.Observe(metric.QueueWait, id, class, c.stats.waited)
	c.g.opts.Metrics.Observe(metric.TimeToFirstToken, id, class, c.stats.timeToFirst)
	c.g.opts.Metrics.Observe(metric.Total, id, class, time.Since(c.arrivedAt))
}

// newRandomFraction returns a source of uniform random numbers in [0, 1).
func newRandomFraction() func() float64 { return rand.Float64 }
