package overload

import (
	"maps"
	"time"
)

const (
	// teamsInterval is how often the active teams of a rank are counted.
	teamsInterval = 200 * time.Millisecond
	// leadShare is the multiple of its equal share of the throughput that a team gets, in a rank that is short of capacity,
	// before its requests have to leave capacity to other teams.
	leadShare = 1.2
	// hotShare and soleShare bound the part of a rank's throughput that a session gets before its requests have to leave room.
	// Beyond soleShare there are no others to leave room for.
	hotShare  = 0.2
	soleShare = 0.95
)

// teamShares compares what the teams, or the sessions, of one rank were served recently. The zero value is ready to use.
type teamShares struct {
	teams map[string]*teamShare
	// all are the placed requests of all teams, and active the number of teams with recent requests, as of countedAt.
	all       rate
	active    int
	countedAt time.Time
}

// teamShare counts the requests of one team.
type teamShare struct{ offered, placed rate }

// team returns the counts of a team. Callers choose the names of sessions, so no more than maxTeams are kept.
func (t *teamShares) team(name string) *teamShare {
	if t.teams == nil {
		t.teams = map[string]*teamShare{}
	}
	s := t.teams[name]
	if s == nil {
		s = &teamShare{}
		if len(t.teams) < maxTeams {
			t.teams[name] = s
		}
	}
	return s
}

// offer counts a request of a team.
func (t *teamShares) offer(name string, now time.Time) {
	t.team(name).offered.add(now, servedTime)
	t.count(now)
}

// place counts a request of a team that found an endpoint.
func (t *teamShares) place(name string, now time.Time) {
	t.team(name).placed.add(now, servedTime)
	t.all.add(now, servedTime)
}

// count counts the active teams and drops the others, once in each teamsInterval.
func (t *teamShares) count(now time.Time) {
	if since := now.Sub(t.countedAt); since >= 0 && since < teamsInterval {
		return
	}
	maps.DeleteFunc(t.teams, func(_ string, s *teamShare) bool {
		return s.offered.current(now, servedTime) < minOffered && s.placed.current(now, servedTime) < minOffered/2
	})
	t.active, t.countedAt = len(t.teams), now
}

// leads reports whether a team was placed more often than its equal share while other teams had requests.
func (t *teamShares) leads(name string, now time.Time) bool {
	s := t.teams[name]
	if s == nil || t.active < 2 {
		return false
	}
	equal := t.all.current(now, servedTime) / float64(t.active)
	return s.placed.current(now, servedTime) > leadShare*equal
}

// isHot reports whether a session uses a large part of the throughput of its rank.
func (t *teamShares) isHot(name string, now time.Time) bool {
	s := t.teams[name]
	if s == nil {
		return false
	}
	share := s.placed.current(now, servedTime) / max(t.all.current(now, servedTime), minOffered)
	return share > hotShare && share < soleShare
}
