package balance

import (
	"time"
)

// Exclusion says why a gateway sends no requests to an endpoint.
type Exclusion uint8

// The reasons of an exclusion.
const (
	// ExclusionNone is an endpoint that may get requests.
	ExclusionNone Exclusion = iota
	// ExclusionLeaving is an endpoint that has said in a response that it leaves.
	ExclusionLeaving
	// ExclusionBusy is an endpoint that has announced that it accepts no requests for a time.
	ExclusionBusy
	// ExclusionBanned is an endpoint that has failed.
	ExclusionBanned
	// ExclusionSilent is an endpoint with open streams that sends nothing.
	ExclusionSilent
	// ExclusionLimited is an endpoint whose limit of requests a second is used up.
	ExclusionLimited
	// ExclusionEvacuated is an endpoint in a failure domain that an operator has evacuated.
	ExclusionEvacuated
	// ExclusionRegion is an endpoint outside the regions that the request allows, or in no known one.
	ExclusionRegion
	// ExclusionCold is an endpoint that is cold and whose warm-up limit is used up.
	ExclusionCold
)

func (e Exclusion) String() string {
	return [...]string{"none", "leaving", "busy", "banned", "silent", "limited", "evacuated", "region", "cold"}[e]
}

// returnTime is how long after the end of a busy time the requests in flight at an endpoint take to
// grow back to its slots.
const returnTime = 300 * time.Millisecond

// EndedNotice is a notice of an endpoint that has no effect any more.
type EndedNotice struct {
	ID        string
	StartedMs int64
	// Why is ExclusionLeaving or ExclusionBusy.
	Why Exclusion
	// Gone says that the incarnation has been replaced or removed.
	Gone bool
}

// notice is the state that an incarnation of an endpoint has announced in its responses.
type notice struct {
	// leaving is never withdrawn.
	leaving bool
	// busyUntil is the end of the time for which it accepts no requests.
	busyUntil time.Time
	// ended says that the end of the notice has been reported by TakeEndedNotices.
	ended bool
}

// exclusion returns why the endpoint does not get the request now. Every placement of a request checks
// it.
func (b *Balancer) exclusion(t *endpointState, req Request, now time.Time) Exclusion {
	if barred := b.Bars(t.Endpoint, req); barred != ExclusionNone {
		return barred
	}
	switch {
	case t.notice.leaving:
		return ExclusionLeaving
	case now.Before(t.notice.busyUntil):
		return ExclusionBusy
	case now.Before(t.bannedUntil), now.Before(t.lostUntil):
		return ExclusionBanned
	case t.stalled(now):
		return ExclusionSilent
	case b.isCold(t, now):
		if b.isColdAndUsedUp(t, now) {
			return ExclusionCold
		}
	case b.isLimited(t, now):
		return ExclusionLimited
	}
	return ExclusionNone
}

// returning reports whether the endpoint has been busy and has reached the limit of requests in
// flight that applies after a busy time. The limit grows over returnTime and is divided between the
// gateways, so that the load increases gradually.
func (b *Balancer) returning(t *endpointState, now time.Time) bool {
	since := now.Sub(t.notice.busyUntil)
	if t.notice.busyUntil.IsZero() || since >= returnTime {
		return false
	}
	share := float64(since) / float64(returnTime) / float64(max(b.Gateways, 1))
	return float64(t.inflight) >= 1+share*float64(t.Slots)
}

// MarkLeaving records that an incarnation of an endpoint has said that it leaves. It reports whether
// that is new.
func (b *Balancer) MarkLeaving(id string, startedMs int64) bool {
	t, ok := b.endpoints[id]
	if !ok || t.StartedMs != startedMs || t.notice.leaving {
		return false
	}
	t.notice.leaving = true
	return true
}

// IsLeaving reports whether an incarnation of an endpoint has said in a response that it leaves.
func (b *Balancer) IsLeaving(id string, startedMs int64) bool {
	t, ok := b.endpoints[id]
	return ok && t.StartedMs == startedMs && t.notice.leaving
}

// MarkBusy records that an incarnation of an endpoint accepts no requests for a time from now. A
// shorter time than the one in force changes nothing. It reports whether the end is new.
func (b *Balancer) MarkBusy(id string, startedMs int64, busy time.Duration, now time.Time) bool {
	t, ok := b.endpoints[id]
	until := now.Add(busy)
	if !ok || t.StartedMs != startedMs || !until.After(t.notice.busyUntil) {
		return false
	}
	t.notice.busyUntil, t.notice.ended = until, false
	return true
}

// nextReturn returns the earliest end of a busy time after now of an endpoint that serves a request,
// and whether there is one.
func (b *Balancer) nextReturn(req Request, now time.Time) (time.Time, bool) {
	var earliest time.Time
	for _, t := range b.serving(req) {
		until := t.notice.busyUntil
		if b.exclusion(t, req, now) == ExclusionBusy && (earliest.IsZero() || until.Before(earliest)) {
			earliest = until
		}
	}
	return earliest, !earliest.IsZero()
}

// NextReturn returns the earliest time at which a waiting request may find an endpoint by the passing of time
// alone, or the end of its wait.
func (b *Balancer) NextReturn(w *Waiter, now time.Time) time.Time {
	if until, ok := b.nextReturn(w.Request, now); ok && until.Before(w.WaitUntil) {
		return until
	}
	if next := now.Add(selfGrantInterval); b.mayGrantItself(w.Request, now) && next.Before(w.WaitUntil) {
		return next
	}
	return w.WaitUntil
}

// mayGrantItself reports whether the gateway may grant itself permits for a request.
func (b *Balancer) mayGrantItself(req Request, now time.Time) bool {
	if b.grantsItself(now) && b.HasLimits() {
		return true
	}
	if len(b.warmUps) == 0 {
		return false
	}
	for _, t := range b.serving(req) {
		if b.isCold(t, now) {
			return true
		}
	}
	return false
}

// anyServesBy reports whether an endpoint that serves a request may get it by a time.
func (b *Balancer) anyServesBy(req Request, by, now time.Time) bool {
	for _, t := range b.serving(req) {
		if t.notice.leaving || b.Bars(t.Endpoint, req) != ExclusionNone {
			continue
		}
		if !now.Before(t.notice.busyUntil) || t.notice.busyUntil.Before(by) {
			return true
		}
	}
	return false
}

// allBusyUntil returns the earliest end of a busy time if all endpoints that serve a request, may get it
// and do not leave, are busy.
func (b *Balancer) allBusyUntil(req Request, now time.Time) (time.Time, bool) {
	for _, t := range b.serving(req) {
		if !t.notice.leaving && !now.Before(t.notice.busyUntil) && b.Bars(t.Endpoint, req) == ExclusionNone {
			return time.Time{}, false
		}
	}
	return b.nextReturn(req, now)
}

// endNotice reports the notice of an incarnation that has been replaced or removed.
func (b *Balancer) endNotice(t *endpointState) {
	n := &t.notice
	if n.ended || !n.leaving && n.busyUntil.IsZero() {
		return
	}
	n.ended = true
	why := ExclusionBusy
	if n.leaving {
		why = ExclusionLeaving
	}
	b.endedNotices = append(b.endedNotices, EndedNotice{ID: t.ID, StartedMs: t.StartedMs, Why: why, Gone: true})
}

// TakeEndedNotices returns the notices that have ended since the last call.
func (b *Balancer) TakeEndedNotices(now time.Time) []EndedNotice {
	ended := b.endedNotices
	b.endedNotices = nil
	for _, t := range b.endpoints {
		n := &t.notice
		if n.leaving || n.busyUntil.IsZero() || n.ended || now.Before(n.busyUntil) {
			continue
		}
		n.ended = true
		ended = append(ended, EndedNotice{ID: t.ID, StartedMs: t.StartedMs, Why: ExclusionBusy})
	}
	return ended
}
