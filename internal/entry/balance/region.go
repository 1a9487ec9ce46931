package balance

import "slices"

// Regions are the regions in which endpoints may get a request: those that its route and its team allow. An empty list allows all. The
// zero value allows all, also endpoints whose region isn't known.
type Regions struct {
	Route, Team []string
}

// allows reports whether an endpoint in a region, empty if that isn't known, may get the request.
func (r Regions) allows(region string) bool {
	if len(r.Route) == 0 && len(r.Team) == 0 {
		return true
	}
	return region != "" && allowsIn(r.Route, region) && allowsIn(r.Team, region)
}

func allowsIn(allowed []string, region string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, region)
}
