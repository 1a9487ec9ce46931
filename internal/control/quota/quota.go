// Package quota divides the limits of teams among the entries.
//
// Each entry holds a share of each team's limit under its lease. The shares that may
// be in use at any moment never add up to more than 1: a share is granted again only
// after the entry that held it has reported that it holds less, or after its lease has
// expired. The price is unused capacity: the share of an entry that died stays unused
// until its lease ends, and a share that follows moved traffic until both entries have
// renewed.
//
// An Allocator belongs to the control leader. It has no clock, goroutine or lock.
package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
)

// EvenFraction is the part of each limit that is divided evenly among the entries,
// regardless of their demand, so that an entry to which traffic moves has a share at once.
const EvenFraction = 0.1

// Allocator grants shares. Create it with New.
type Allocator struct {
	// shareLifetime is how long a share may be in use after it was granted: the length
	// of a lease plus the drift margin.
	shareLifetime time.Duration
	// formerSharesEndAt is when all shares granted by an earlier leader have expired.
	formerSharesEndAt time.Time
	teams             []string
	entries           map[host.ID]*entryShares
}

// entryShares is what the leader knows about the shares of one entry. The shares that
// the entry held when it sent its last renewal, and those granted since the last grant
// that it confirmed, may be in use until renewedAt + shareLifetime.
type entryShares struct {
	incarnation host.Incarnation
	sequence    uint64
	renewedAt   time.Time
	demand      map[string]float64
	held        map[string]float64
	granted     map[string]float64
	// unconfirmed is the greatest share of each team among the grants that may still
	// be in flight.
	unconfirmed map[string]float64
}

// New returns an Allocator for a leader that begins its term now. shareLifetime is the
// length of a lease plus the drift margin. Until it has passed, entries get no more than
// they report to hold, since the shares of an earlier leader may still be in use.
func New(now time.Time, shareLifetime time.Duration) *Allocator {
	return &Allocator{shareLifetime: shareLifetime, formerSharesEndAt: now.Add(shareLifetime), entries: make(map[host.ID]*entryShares)}
}

// SetTeams replaces the list of teams that have a limit.
func (a *Allocator) SetTeams(teams []string) {
	a.teams = slices.Clone(teams)
	slices.Sort(a.teams)
}

// Renew handles an entry's renewal and returns its shares of every team's limit, for
// its LeaseGrant. It returns nil for a renewal that arrives after a later one. The
// entry must apply grants in the order of their sequences and ignore older ones.
func (a *Allocator) Renew(now time.Time, renewal message.Renewal) map[string]float64 {
	a.expire(now)
	e := a.entries[renewal.Host]
	if e != nil && e.incarnation == renewal.Incarnation && renewal.Sequence <= e.sequence {
		return nil
	}
	if e == nil {
		e = &entryShares{}
		a.entries[renewal.Host] = e
	}
	e.incarnation, e.sequence, e.renewedAt = renewal.Incarnation, renewal.Sequence, now
	e.demand = smooth(e.demand, renewal.Demand)
	e.held = renewal.Shares
	granted := make(map[string]float64, len(a.teams))
	unconfirmed := make(map[string]float64, len(a.teams))
	for _, team := range a.teams {
		share := min(a.target(team, renewal.Host), a.available(team, renewal.Host))
		if now.Before(a.formerSharesEndAt) {
			share = min(share, renewal.Shares[team])
		}
		granted[team] = max(0, share)
		unconfirmed[team] = granted[team]
		if last, ok := e.granted[team]; ok && last != e.held[team] {
			unconfirmed[team] = max(unconfirmed[team], e.unconfirmed[team])
		}
	}
	e.granted, e.unconfirmed = granted, unconfirmed
	return granted
}

// Remove removes an entry that has given up its lease.
func (a *Allocator) Remove(id host.ID) { delete(a.entries, id) }

// demandWeight is the weight of the newest sample of demand in its moving average.
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

// target returns the share that an entry is due by the demand of all entries, regardless
// of what the others may still be using.
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

// available returns the part of a team's limit that no other entry may be using.
func (a *Allocator) available(team string, id host.ID) float64 {
	free := 1.0
	for other, e := range a.entries {
		if other != id {
			free -= e.inUse(team)
		}
	}
	return free
}

// inUse returns the greatest share that the entry may be using.
func (e *entryShares) inUse(team string) float64 { return max(e.held[team], e.unconfirmed[team]) }

// expire removes entries whose shares have expired.
func (a *Allocator) expire(now time.Time) {
	for id, e := range a.entries {
		if now.Sub(e.renewedAt) >= a.shareLifetime {
			delete(a.entries, id)
		}
	}
}
