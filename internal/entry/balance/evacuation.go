package balance

import (
	"maps"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/roster"
)

// withdrawalRetention is how long the withdrawal of an evacuation is remembered.
const withdrawalRetention = time.Hour

// The reasons of refusals for requests that no endpoint may get.
const (
	reasonEvacuated = "all endpoints are evacuated"
	reasonRegion    = "no endpoint is in the allowed regions"
	reasonBarred    = "all endpoints are evacuated or outside the allowed regions"
)

// evacuations are the failure domains to whose endpoints no request is sent. The zero value has none.
type evacuations struct {
	// since is when this gateway learned that a domain is evacuated, and withdrawnAt when it last learned that one is not any more.
	since       map[string]time.Time
	withdrawnAt map[string]time.Time
}

// EvacuationChange is a failure domain whose evacuation began, or was withdrawn, as of an update.
type EvacuationChange struct {
	Domain string
	Active bool
	// Lasted is how long the gateway sent nothing to a domain whose evacuation was withdrawn.
	Lasted time.Duration
}

// SetEvacuated replaces the evacuated failure domains and returns the changes, ordered by domain.
func (b *Balancer) SetEvacuated(domains []string, now time.Time) []EvacuationChange {
	e := &b.evacuations
	if e.since == nil {
		e.since, e.withdrawnAt = map[string]time.Time{}, map[string]time.Time{}
	}
	maps.DeleteFunc(e.withdrawnAt, func(_ string, at time.Time) bool { return now.Sub(at) > withdrawalRetention })
	var changes []EvacuationChange
	for _, domain := range slices.Sorted(maps.Keys(e.since)) {
		if slices.Contains(domains, domain) {
			continue
		}
		changes = append(changes, EvacuationChange{Domain: domain, Lasted: now.Sub(e.since[domain])})
		delete(e.since, domain)
		e.withdrawnAt[domain] = now
	}
	for _, domain := range domains {
		if _, known := e.since[domain]; !known {
			changes = append(changes, EvacuationChange{Domain: domain, Active: true})
			e.since[domain] = now
		}
	}
	return changes
}

// EvacuationWithdrawnAt returns when this gateway last learned that the evacuation of a failure domain was withdrawn. It returns false if
// it never was, is evacuated now, or was withdrawn more than an hour ago.
func (b *Balancer) EvacuationWithdrawnAt(domain string) (time.Time, bool) {
	if _, evacuated := b.evacuations.since[domain]; evacuated {
		return time.Time{}, false
	}
	at, known := b.evacuations.withdrawnAt[domain]
	return at, known
}

// Bars returns ExclusionEvacuated or ExclusionRegion if an endpoint must not get a request, whatever its state, and ExclusionNone if it
// may. Time alone ends neither.
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
