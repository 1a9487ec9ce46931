package balance

import (
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/roster"
)

// pick returns the endpoint with the most room for a request, if there is any room.
func (b *Board) pick(n Need, now time.Time) (*target, bool) {
	var best *target
	var lowest float64
	for _, t := range b.targets {
		if !t.fits(n) || now.Before(t.banned) || slices.Contains(n.Avoid, t.ID) || t.stalled(now) {
			continue
		}
		if !b.room(t, n, now) {
			continue
		}
		cost := b.cost(t, n, now)
		if best == nil || cost < lowest || cost == lowest && t.ID < best.ID {
			best, lowest = t, cost
		}
	}
	return best, best != nil
}

// fits reports whether an endpoint serves what a request wants.
func (t *target) fits(n Need) bool {
	if t.Service != n.Service || t.State != roster.StateReady {
		return false
	}
	return n.Model == "" || t.Heads() && t.Model == n.Model
}

// served reports whether any endpoint serves what a request wants.
func (b *Board) served(n Need) bool {
	for _, t := range b.targets {
		if t.fits(n) {
			return true
		}
	}
	return false
}

// room reports whether an endpoint may take a request: it has a slot, and a model engine
// is likely to give the first event in time. A request that is late anyway is taken only
// where it hardly holds back others.
func (b *Board) room(t *target, n Need, now time.Time) bool {
	occupied := b.occupied(t, now)
	if n.Model == "" {
		return occupied < float64(t.Slots)*(1+plainQueue)
	}
	if occupied >= float64(t.Slots)*overfull {
		return false
	}
	if n.Resumed {
		return b.firstEvent(t, n, now) < resumeLimit
	}
	if now.Add(b.firstEvent(t, b.usual(n), now)).Before(n.Aim) {
		return true
	}
	return n.late(now) && b.spare(t, n, now)
}

// usual returns a need with a prompt of at most the usual length: room is judged by what
// waits at an engine, not by a request's own size, so that large ones are not starved.
func (b *Board) usual(n Need) Need {
	if service := b.engines[n.Service]; service != nil {
		n.Prompt = min(n.Prompt, service.UsualPrompt)
	}
	return n
}

// late reports whether a request can't be answered in time any more.
func (n Need) late(now time.Time) bool { return !now.Add(overhead).Before(n.Aim) }

// spare reports whether an engine can take a late request and still give the first event of
// another one of usual size in time.
func (b *Board) spare(t *target, n Need, now time.Time) bool {
	if b.occupied(t, now) >= float64(t.Slots)*lateShare {
		return false
	}
	both := b.usual(n)
	if service := b.engines[t.Service]; service != nil {
		both.Prompt += service.UsualPrompt
	}
	return b.firstEvent(t, both, now) < time.Duration(float64(n.Objective)*spareShare)
}

const (
	// overfull is the part of its slots up to which an engine is filled: a few requests
	// wait there, so that a slot that comes free is taken at once.
	overfull = 1.1
	// resumeLimit is how long the caller of a broken stream may have to wait for its next
	// event.
	resumeLimit = 1500 * time.Millisecond
	// lateShare is the share of an engine's slots up to which it takes late requests.
	lateShare = 0.9
	// spareShare is the share of the objective within which an engine that takes a late
	// request must still be able to answer.
	spareShare = 0.8
)

// cost ranks endpoints: the load, or the time to the first event in units of the
// objective's usual size, with what a failing or distant one adds.
func (b *Board) cost(t *target, n Need, now time.Time) float64 {
	cost := b.occupied(t, now)/float64(max(t.Slots, 1)) + errorCost*t.errors
	if n.Model != "" {
		cost += float64(b.firstEvent(t, n, now)) / float64(costUnit)
	}
	if t.Zone != b.Zone {
		cost += remoteCost
	}
	return cost
}

// costUnit is the time to the first event that weighs as much as a full engine.
const costUnit = 400 * time.Millisecond
