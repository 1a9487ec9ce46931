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
	if occupied >= float64(t.Slots) {
		return false
	}
	expected := b.firstEvent(t, n, now)
	if now.Add(expected).Before(n.Aim) {
		return true
	}
	return !now.Add(overhead).Before(n.Aim) && occupied < float64(t.Slots)*lateShare
}

// lateShare is the share of an engine's slots up to which it takes requests that are
// late anyway.
const lateShare = 0.5

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
