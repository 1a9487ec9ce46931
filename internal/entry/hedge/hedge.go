// Package hedge decides when a gateway sends a second attempt for a request whose first one is slow.
//
// The package does no I/O and reads no clock: the caller passes in times and observations. It is not safe for concurrent use.
package hedge

import "time"

// DefaultQuantile is the default of Settings.Quantile.
const DefaultQuantile = 0.95

// minDelay is the shortest time after which a request is hedged. Earlier a slow answer can't be distinguished from a normal one.
const minDelay = 5 * time.Millisecond

// Settings are the operator's settings. The zero value is off.
type Settings struct {
	// Share is the number of extra requests for each request of a caller.
	Share float64
	// Quantile is the part of the response times at an endpoint after which a request there counts as slow. 0 is DefaultQuantile.
	Quantile float64
}

// IsOn reports whether requests are hedged.
func (s Settings) IsOn() bool { return s.Share > 0 }

func (s Settings) quantile() float64 {
	if s.Quantile <= 0 {
		return DefaultQuantile
	}
	return s.Quantile
}

// Reason says why a request is not hedged.
type Reason uint8

// The reasons.
const (
	// ReasonNone is a request that is hedged, or will be once the time has come.
	ReasonNone Reason = iota
	// ReasonOff is hedging that the operator has not enabled.
	ReasonOff
	// ReasonUnknown is an endpoint whose response times are not known.
	ReasonUnknown
	// ReasonDeadline is a deadline before which no second answer is expected.
	ReasonDeadline
	// ReasonNotAllowed is a request that must not be sent again.
	ReasonNotAllowed
	// ReasonShort is a service and model of which requests wait or were refused.
	ReasonShort
	// ReasonNoRoom is a service and model without another endpoint that has spare capacity.
	ReasonNoRoom
	// ReasonBudget is a hedge budget or retry budget that is used up.
	ReasonBudget
)

// String returns the name of the reason in log lines and counters.
func (r Reason) String() string {
	names := [...]string{"none", "off", "unknown", "deadline", "not_allowed", "short", "no_room", "budget"}
	if int(r) >= len(names) {
		return "invalid"
	}
	return names[r]
}

// Reasons returns the reasons of Decide.
func Reasons() []Reason {
	return []Reason{ReasonNotAllowed, ReasonShort, ReasonNoRoom, ReasonBudget}
}

// Attempt is the first attempt of a request.
type Attempt struct {
	Key Key
	// Forecast is the time to the first event that the balancer expects. It is 0 for plain services, whose response times are compared
	// as they are.
	Forecast time.Duration
	// Remaining is the time to the request's deadline.
	Remaining time.Duration
}

// Delay returns after which time an attempt counts as slow, or why it is not hedged.
func (s Settings) Delay(t *Times, a Attempt) (time.Duration, Reason) {
	if !s.IsOn() {
		return 0, ReasonOff
	}
	delay, median, ok := t.expected(a.Key, s.quantile(), unit(a.Forecast))
	if !ok {
		return 0, ReasonUnknown
	}
	delay = max(delay, a.Forecast, minDelay)
	if delay+median > a.Remaining {
		return 0, ReasonDeadline
	}
	return delay, ReasonNone
}

// State is what is known at the time at which a request may be hedged.
type State struct {
	// Allowed says that the request may be sent to another endpoint.
	Allowed bool
	// Elapsed is the time since the first attempt was sent, and Delay what Settings.Delay has returned.
	Elapsed, Delay time.Duration
	// Short says that requests of the same service and model wait, or were refused recently.
	Short bool
	// Budget says that the hedge budget and the retry budget allow one more request.
	Budget bool
	// Room says that another endpoint can take the request without making others late.
	Room bool
}

// Decision is the outcome for a request at some time: hedge it now, decide again after Wait, or don't hedge it for Reason.
type Decision struct {
	Now    bool
	Wait   time.Duration
	Reason Reason
}

// Decide returns whether a request is hedged now.
func Decide(s State) Decision {
	switch {
	case s.Elapsed < s.Delay:
		return Decision{Wait: s.Delay - s.Elapsed}
	case !s.Allowed:
		return Decision{Reason: ReasonNotAllowed}
	case s.Short:
		return Decision{Reason: ReasonShort}
	case !s.Budget:
		return Decision{Reason: ReasonBudget}
	case !s.Room:
		return Decision{Reason: ReasonNoRoom}
	}
	return Decision{Now: true}
}
