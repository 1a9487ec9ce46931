package portal

import (
	"github.com/rcrowley/go-metrics"

	"github.com/egretreach/egretreach/internal/control/voter"
	"github.com/egretreach/egretreach/internal/telemetry/metric"
)

// portalMetrics are the portal's counters.
type portalMetrics struct {
	announcements metrics.Counter
	revisions     metrics.Counter
	orders        metrics.Counter
	unanswered    metrics.Counter
	probes        metrics.Counter
	lost          metrics.Counter
	crashes       metrics.Counter
	held          metrics.Counter
	released      metrics.Counter
	limits        metrics.Counter
	evacuations   metrics.Counter
	cold          metrics.Counter
}

// registerVoterMetrics registers what a control host knows of the addresses of votes.
func registerVoterMetrics(r *metric.Registry, voters *voter.Directory) {
	r.GaugeFunc("portal_vote_moves", "Moves of votes to other hosts that this host has learned of.", func() float64 { return float64(voters.Moves()) })
}

func newPortalMetrics(r *metric.Registry) portalMetrics {
	return portalMetrics{
		announcements: r.Counter("portal_announcements_total", "Announcements of endpoints to this host."),
		revisions:     r.Counter("portal_revisions_total", "Documents of operators acknowledged by this host."),
		orders:        r.Counter("portal_orders_total", "Orders given to engines."),
		unanswered:    r.Counter("portal_orders_unanswered_total", "Orders that no engine answered in time."),
		probes:        r.Counter("portal_probes_total", "Probes of endpoints that were silent."),
		lost:          r.Counter("portal_endpoints_lost_total", "Endpoints that were found dead."),
		crashes:       r.Counter("portal_crashes_total", "Reports of gateways that an endpoint crashed under their requests."),
		held:          r.Counter("portal_holds_total", "Keys of requests that were held back since they crash endpoints, failed trials included."),
		released:      r.Counter("portal_releases_total", "Keys of requests that are not held back any more."),
		limits:        r.Counter("portal_limits_total", "Rate limits of endpoints that were named, changed or ended."),
		evacuations:   r.Counter("portal_evacuations_total", "Evacuations that were begun or withdrawn, acknowledged by this host."),
		cold:          r.Counter("portal_cold_total", "Endpoints that became cold, by this host's judgement."),
	}
}
