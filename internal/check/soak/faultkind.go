package main

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// faultKind is a kind of faults, or of planned work and callers that go with them.
type faultKind string

// The kinds of faults.
const (
	// faultKill is a SIGKILL, faultPause a SIGSTOP and a SIGCONT.
	faultKill  faultKind = "kill"
	faultPause faultKind = "pause"
	// faultStop is one SIGTERM, faultInterrupt one SIGINT, and faultRepeatStop a SIGTERM that comes
	// again while the process stops.
	faultStop       faultKind = "stop"
	faultInterrupt  faultKind = "interrupt"
	faultRepeatStop faultKind = "repeat-stop"
	// faultSeries stops two gateways by signals that come in series, and overlap, until they are gone.
	faultSeries faultKind = "series"
	// faultReload is a SIGHUP, faultReloadStop a SIGTERM between several SIGHUPs.
	faultReload     faultKind = "reload"
	faultReloadStop faultKind = "reload-stop"
	// faultCrash ends an endpoint, faultDrain drains it before, faultSilence makes it send nothing
	// for a while.
	faultCrash   faultKind = "crash"
	faultDrain   faultKind = "drain"
	faultSilence faultKind = "silence"
	// faultLeaving lets an endpoint say in its responses, but not in its announcements, that it leaves,
	// before it ends. faultBusy makes an endpoint refuse all requests for a while, faultAllBusy all
	// endpoints.
	faultLeaving faultKind = "leaving"
	faultBusy    faultKind = "busy"
	faultAllBusy faultKind = "all-busy"
	// faultLink disturbs the connections to an endpoint.
	faultLink faultKind = "link"
	// faultWipe removes the data of a portal.
	faultWipe faultKind = "wipe"
	// faultChange changes the configuration all the time.
	faultChange faultKind = "change"
	// faultLate lets some callers send the first request on a connection late.
	faultLate faultKind = "late"
	// faultAhead lets some callers send the next request while the response still comes, read slowly, and use a connection until it
	// ends. faultBody lets some callers send bodies in parts, also to paths without a route, and bytes after the request.
	faultAhead faultKind = "ahead"
	faultBody  faultKind = "body"
	// faultPoison sends requests that share a part that crashes endpoints. faultLimit lets endpoints name limits
	// of requests a second.
	faultPoison faultKind = "poison"
	faultLimit  faultKind = "limit"
	// faultDepart lets some callers leave before the response.
	faultDepart faultKind = "depart"
	// faultUnframed lets a part of the responses have neither a length nor chunks and end with their connection, as it
	// does when the endpoint crashes.
	faultUnframed faultKind = "unframed"
	// faultSlow gives gateways too little processor time for a while.
	faultSlow faultKind = "slow"
)

// injectedKinds lists the kinds that the injector starts, as often as their relative frequency.
var injectedKinds = []faultKind{
	faultKill, faultKill, faultPause, faultStop, faultStop, faultInterrupt, faultRepeatStop, faultRepeatStop, faultSeries, faultReload,
	faultReloadStop, faultCrash, faultDrain, faultSilence, faultSilence, faultLink, faultLink, faultWipe,
	faultLeaving, faultLeaving, faultBusy, faultBusy, faultAllBusy,
}

// faultKinds is a selection of kinds. The empty one selects all.
type faultKinds []faultKind

// allKinds lists each kind once.
func allKinds() faultKinds {
	return append(slices.Compact(slices.Clone(injectedKinds)), faultChange, faultLate, faultAhead, faultBody, faultPoison, faultLimit, faultDepart, faultSlow, faultUnframed)
}

// String returns the names of the kinds.
func (k faultKinds) String() string {
	var names []string
	for _, kind := range k {
		names = append(names, string(kind))
	}
	return strings.Join(names, ", ")
}

func (k faultKinds) has(kind faultKind) bool { return len(k) == 0 || slices.Contains(k, kind) }

// validate returns an error if the selection has an unknown kind.
func (k faultKinds) validate() error {
	for _, kind := range k {
		if !slices.Contains(allKinds(), kind) {
			return errors.Errorf("unknown kind of faults %q; the kinds are: %v", kind, allKinds())
		}
	}
	return nil
}

// pick returns a random kind of the selection that the injector starts, or "" if there is none.
func (k faultKinds) pick(rng *rand.Rand) faultKind {
	var enabled []faultKind
	for _, kind := range injectedKinds {
		if k.has(kind) {
			enabled = append(enabled, kind)
		}
	}
	if len(enabled) == 0 {
		return ""
	}
	return enabled[rng.IntN(len(enabled))]
}
