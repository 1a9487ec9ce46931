package overload

import "maps"

// fairShare orders the requests of one rank so that each team gets an equal share while it has some: a request's tag is that after
// the team's last one, and the lowest tag goes first. A team that was idle starts at the tag of the others, so that it accumulates
// no share. The zero value is ready to use.
type fairShare struct {
	// virtual is the highest tag that was placed.
	virtual float64
	// next is the tag of the next request of each team that is ahead of virtual.
	next map[string]float64
}

// maxTeams bounds the teams whose tags are kept before those without a lead are dropped.
const maxTeams = 1024

// peek returns the tag that a request of a team would get.
func (f *fairShare) peek(team string) float64 { return max(f.virtual, f.next[team]) }

// take returns the tag of a request of a team.
func (f *fairShare) take(team string) float64 {
	if f.next == nil {
		f.next = map[string]float64{}
	}
	if len(f.next) >= maxTeams {
		maps.DeleteFunc(f.next, func(_ string, next float64) bool { return next <= f.virtual })
	}
	tag := f.peek(team)
	f.next[team] = tag + 1
	return tag
}

// served records that the request with a tag was placed.
func (f *fairShare) served(tag float64) { f.virtual = max(f.virtual, tag) }

// refused gives the share of a request that was not placed back to its team.
func (f *fairShare) refused(team string) {
	if next, ok := f.next[team]; ok {
		f.next[team] = next - 1
	}
}
