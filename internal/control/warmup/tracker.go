// Package warmup decides which endpoints are cold: those of a service with a warm-up limit that have started, or come back
// after silence, within the warm-up time, and those that say so.
//
// What an endpoint announces may be late or false, so the warm-up time is a lower bound. A cold endpoint that announces a
// longer time is cold for that.
//
// The package does no I/O, reads no clock and is not safe for concurrent use.
package warmup

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/fleet/routes"
)

const (
	// settleTime is how long a tracker that has started later than the system can't tell an endpoint that it hears of first from
	// one that started long ago.
	settleTime = 3 * time.Second
	// maxStep is the time between two steps above which this process itself has stood still: the silence of endpoints
	// meanwhile shows nothing.
	maxStep = 500 * time.Millisecond
	// changeTolerance is by how much the end of a cold time may move without being a change that gateways must hear of.
	changeTolerance = 250 * time.Millisecond
	// reportInterval is how long the word of the same gateway alone makes an endpoint cold only once: a gateway that is cut off from
	// endpoints that are sound would limit them again and again.
	reportInterval = 30 * time.Second
)

// Tracker knows the cold endpoints. The zero value knows none.
type Tracker struct {
	// FirstStart is true if the whole system starts for the first time.
	FirstStart bool
	// MaxSilence is the time without a sign of life after which an endpoint has been silent.
	MaxSilence time.Duration

	endpoints  map[string]*state
	startedAt  time.Time
	steppedAt  time.Time
	stoodStill time.Time
	// latestEnd is the latest end of a cold time so far.
	latestEnd time.Time
}

// state is what is known of the current incarnation of an endpoint.
type state struct {
	startedMs int64
	// announcedUntil is the end by the latest announcement, and assumedUntil the one that doesn't depend on what the endpoint says.
	announcedUntil, assumedUntil time.Time
	// reporter is the gateway that last reported it, at reportedAt.
	reporter   host.ID
	reportedAt time.Time
}

func (s *state) end() time.Time {
	if s.announcedUntil.After(s.assumedUntil) {
		return s.announcedUntil
	}
	return s.assumedUntil
}

// Announcement is an announcement of an endpoint that is not outdated.
type Announcement struct {
	Endpoint roster.Endpoint
	WarmUp   routes.WarmUp
	// Traffic reports that callers' requests have begun. Before that nothing is cold.
	Traffic bool
	// Direct reports that the endpoint sent it to this host. LastSeen is the sign of life before it.
	Direct   bool
	LastSeen time.Time
	// WasDead reports that control took the endpoint for dead until now.
	WasDead bool
}

// Step records that time passes. It is called often.
func (t *Tracker) Step(now time.Time) {
	if t.startedAt.IsZero() {
		t.startedAt = now
	}
	if !t.steppedAt.IsZero() && now.Sub(t.steppedAt) > maxStep {
		t.stoodStill = now
	}
	t.steppedAt = now
}

// Judges reports whether an endpoint of which the tracker hears first has just started.
func (t *Tracker) Judges(now time.Time) bool {
	return t.FirstStart || !t.startedAt.IsZero() && now.Sub(t.startedAt) >= settleTime
}

// Announce records an announcement that arrived at seenAt, and reports whether it has made the endpoint cold, or colder.
func (t *Tracker) Announce(a Announcement, seenAt, now time.Time) bool {
	e := a.Endpoint
	s, known := t.endpoints[e.ID]
	fresh := !known || s.startedMs != e.StartedMs
	if fresh {
		s = t.add(e.Incarnation())
	}
	if !a.Traffic || !a.WarmUp.IsSet() || e.State == roster.StateLeft {
		return false
	}
	before := s.end()
	s.announcedUntil = seenAt.Add(time.Duration(e.ColdMs) * time.Millisecond)
	started := fresh && (known || t.Judges(now))
	if started || a.WasDead || a.Direct && t.wasSilent(a.LastSeen, seenAt) {
		s.assume(now.Add(a.WarmUp.Time))
	}
	return t.recordEnd(before, s.end(), now)
}

// add begins a new incarnation.
func (t *Tracker) add(id roster.Incarnation) *state {
	if t.endpoints == nil {
		t.endpoints = map[string]*state{}
	}
	s := &state{startedMs: id.StartedMs}
	t.endpoints[id.ID] = s
	return s
}

// wasSilent reports whether an endpoint gave no sign of life between two times, in which this process did not stand still.
func (t *Tracker) wasSilent(from, to time.Time) bool {
	return t.MaxSilence > 0 && !from.IsZero() && to.Sub(from) > t.MaxSilence && from.After(t.stoodStill)
}

// assume makes the endpoint cold until a time at least.
func (s *state) assume(until time.Time) {
	if until.After(s.assumedUntil) {
		s.assumedUntil = until
	}
}

// AnyCold reports whether any endpoint may be cold.
func (t *Tracker) AnyCold(now time.Time) bool { return now.Before(t.latestEnd) }

// recordEnd records the end of a cold time, and reports whether it has moved by so much that gateways must hear of it.
func (t *Tracker) recordEnd(before, after, now time.Time) bool {
	if after.After(t.latestEnd) {
		t.latestEnd = after
	}
	if before.Before(now) {
		before = now
	}
	return after.Sub(before) > changeTolerance
}

// MarkCold makes an incarnation cold for some time from now at least, and reports whether that is news.
func (t *Tracker) MarkCold(id roster.Incarnation, remaining time.Duration, now time.Time) bool {
	s, known := t.endpoints[id.ID]
	if !known || s.startedMs != id.StartedMs {
		return false
	}
	before := s.end()
	s.assume(now.Add(remaining))
	return t.recordEnd(before, s.end(), now)
}

// Report records that a gateway has found an incarnation to be cold, for some time from now, and reports whether that is news.
func (t *Tracker) Report(from host.ID, id roster.Incarnation, remaining time.Duration, now time.Time) bool {
	s, known := t.endpoints[id.ID]
	if !known || s.startedMs != id.StartedMs {
		return false
	}
	if !s.reportedAt.IsZero() && s.reporter == from && now.Sub(s.reportedAt) < reportInterval {
		return false
	}
	s.reporter, s.reportedAt = from, now
	return t.MarkCold(id, remaining, now)
}

// Remaining returns how much longer an incarnation is cold, 0 if it isn't.
func (t *Tracker) Remaining(id roster.Incarnation, now time.Time) time.Duration {
	s, known := t.endpoints[id.ID]
	if !known || s.startedMs != id.StartedMs {
		return 0
	}
	return max(0, s.end().Sub(now))
}

// Forget drops an endpoint.
func (t *Tracker) Forget(id string) { delete(t.endpoints, id) }
