// Package quota shares the limits of teams out among the entries.
//
// Each entry holds a share of each team's limit under its lease. The shares that
// may be in use at any moment never come to more than 1: a share is given again
// only after its holder has said that it holds less, or its lease has run out. What
// this costs is use: after an entry's death its share lies idle until its lease
// ends, and after traffic has moved until both entries have renewed.
//
// An Allocator lives in the control leader. It holds no clock, goroutine or lock.
package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
)

// EvenFraction is the part of each limit that is divided evenly among the entries, whatever
// their demand, so that an entry to which traffic moves has something at once.
const EvenFraction = 0.1

// Allocator gives out shares. Create it with New.
type Allocator struct {
	// hold is how long a share may be in use after it was granted: the length of
	// a lease and the drift margin.
	hold time.Duration
	// settled is when all shares granted by an earlier leader have run out.
	settled time.Time
	teams   []string
	entries map[host.ID]*entry
}

// entry is one entry as the leader knows it. What it held when it sent its last
// renewal and what the leader granted since the last grant it has shown to hold may
// be in use until seen + hold.
type entry struct {
	incarnation host.Incarnation
	sequence    uint64
	seen        time.Time
	demand      map[string]float64
	held        map[string]float64
	granted     map[string]float64
	// open is the greatest share of the grants that may still be on their way.
	open map[string]float64
}

// New returns an Allocator for a leader that begins its term now. hold is the length
// of a lease and the drift margin. Until hold is over, entries get no more than they
// say they hold, since the shares of an earlier leader may still be in use.
func New(now time.Time, hold time.Duration) *Allocator {
	return &Allocator{hold: hold, settled: now.Add(hold), entries: make(map[host.ID]*entry)}
}

// SetTeams replaces the teams that have a limit.
func (a *Allocator) SetTeams(teams []string) {
	a.teams = slices.Clone(teams)
	slices.Sort(a.teams)
}

// Renew takes an entry's renewal and returns its shares of every team's limit, for
// its LeaseGrant. It returns nil for a renewal that a later one has overtaken. The
// entry must take grants in the order of their sequences and leave older ones.
func (a *Allocator) Renew(now time.Time, renewal message.Renewal) map[string]float64 {
	a.expire(now)
	e := a.entries[renewal.Host]
	if e != nil && e.incarnation == renewal.Incarnation && renewal.Sequence <= e.sequence {
		return nil
	}
	if e == nil {
		e = &entry{}
		a.entries[renewal.Host] = e
	}
	e.incarnation, e.sequence, e.seen = renewal.Incarnation, renewal.Sequence, now
	e.demand = smooth(e.demand, renewal.Demand)
	e.held = renewal.Shares
	granted := make(map[string]float64, len(a.teams))
	open := make(map[string]float64, len(a.teams))
	for _, team := range a.teams {
		share := min(a.target(team, renewal.Host), a.free(team, renewal.Host))
		if now.Before(a.settled) {
			share = min(share, renewal.Shares[team])
		}
		granted[team] = max(0, share)
		open[team] = granted[team]
		if last, ok := e.granted[team]; ok && last != e.held[team] {
			open[team] = max(open[team], e.open[team])
		}
	}
	e.granted, e.open = granted, open
	return granted
}

// Remove forgets an entry that has given its lease up.
func (a *Allocator) Remove(id host.ID) { delete(a.entries, id) }

// demandWeight is the weight of the newest demand.
const demandWeight = 0.5

func smooth(old, sample map[string]float64) map[string]float64 {
	out := maps.Clone(sample)
	if out == nil {
		out = make(map[string]float64)
	}
	for team, before := range old {
		out[team] = before + demandWeight*(out[team]-before)
		if out[team] < 1e-3 {
			delete(out, team)
		}
	}
	return out
}

// target returns the share an entry would have if all had heard of all demand.
func (a *Allocator) target(team string, id host.ID) float64 {
	total := 0.0
	for _, e := range a.entries {
		total += e.demand[team]
	}
	even := 1 / float64(len(a.entries))
	if total <= 0 {
		return even
	}
	return EvenFraction*even + (1-EvenFraction)*a.entries[id].demand[team]/total
}

// free returns what no other entry may be using.
func (a *Allocator) free(team string, id host.ID) float64 {
	free := 1.0
	for other, e := range a.entries {
		if other != id {
			free -= e.inUse(team)
		}
	}
	return free
}

// inUse returns the greatest share that the entry may be using.
func (e *entry) inUse(team string) float64 { return max(e.held[team], e.open[team]) }

// expire drops entries whose shares have run out.
func (a *Allocator) expire(now time.Time) {
	for id, e := range a.entries {
		if now.Sub(e.seen) >= a.hold {
			delete(a.entries, id)
		}
	}
}
