package balance

import (
	"maps"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/roster"
)

// The reasons of refusals for requests that no endpoint may get.
const (
	reasonEvacuated = "all endpoints are evacuated"
	reasonRegion    = "no endpoint is in the allowed regions"
	reasonBarred    = "all endpoints are evacuated or outside the allowed regions"
)

// evacuations are the failure domains to whose endpoints no request is sent. The zero value has none.
type evacuations struct {
	// since is when this gateway received the evacuation of a domain.
	since map[string]time.Time
}

// EvacuationChange is a failure domain whose evacuation began, or was withdrawn, as of an update.
type EvacuationChange struct {
	Domain string
	Active bool
	// Lasted is how long the gateway sent nothing to a domain whose evacuation was withdrawn.
	Lasted time.Duration
}

// SetEvacuated replaces the evacuated failure domains and returns the changes, ordered by domain. Endpoints in a domain whose evacuation
// was withdrawn count as cold, as they got no requests.
func (b *Balancer) SetEvacuated(domains []string, now time.Time) []EvacuationChange {
	e := &b.evacuations
	if e.since == nil {
		e.since = map[string]time.Time{}
	}
	var changes []EvacuationChange
	for _, domain := range slices.Sorted(maps.Keys(e.since)) {
		if slices.Contains(domains, domain) {
			continue
		}
		changes = append(changes, EvacuationChange{Domain: domain, Lasted: now.Sub(e.since[domain])})
		delete(e.since, domain)
		b.markDomainCold(domain, now)
	}
	for _, domain := range domains {
		if _, known := e.since[domain]; !known {
			changes = append(changes, EvacuationChange{Domain: domain, Active: true})
			e.since[domain] = now
		}
	}
	return changes
}

// Bars returns ExclusionEvacuated or ExclusionRegion if an endpoint must not get a request, whatever its state, and ExclusionNone if it
// may. Neither ends with time alone.
func (b *Balancer) Bars(e roster.Endpoint, req Request) Exclusion {
	if _, evacuated := b.evacuations.since[e.FailureDomain]; evacuated {
		return ExclusionEvacuated
	}
	if !req.Regions.allows(b.Regions[e.FailureDomain]) {
		return ExclusionRegion
	}
	return ExclusionNone
}

// barredReason returns the reason of the refusal if endpoints serve a request and none of them may get it, and an empty string otherwise.
func (b *Balancer) barredReason(req Request) string {
	evacuated, region := false, false
	for _, t := range b.serving(req) {
		switch b.Bars(t.Endpoint, req) { //nolint:exhaustive // Bars returns no others.
		case ExclusionEvacuated:
			evacuated = true
		case ExclusionRegion:
			region = true
		default:
			return ""
		}
	}
	switch {
	case evacuated && region:
		return reasonBarred
	case evacuated:
		return reasonEvacuated
	case region:
		return reasonRegion
	}
	return ""
}
