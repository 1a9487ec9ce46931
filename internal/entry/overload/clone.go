package overload

import "maps"

// Clone returns a copy that shares no memory that is written, for decisions that must change nothing.
func (s *Scope) Clone() Scope {
	c := *s
	c.ranks = make(map[int]*rank, len(s.ranks))
	for priority, r := range s.ranks {
		own := *r
		own.fair.next = maps.Clone(r.fair.next)
		own.teams, own.sessions = r.teams.clone(), r.sessions.clone()
		c.ranks[priority] = &own
	}
	return c
}

func (t *teamShares) clone() teamShares {
	c := *t
	c.teams = make(map[string]*teamShare, len(t.teams))
	for name, share := range t.teams {
		own := *share
		c.teams[name] = &own
	}
	return c
}
