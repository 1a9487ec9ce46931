package gateway

import "github.com/egretreach/egretreach/internal/entry/balance"

// regions returns the regions in which endpoints may get the request.
func (c *call) regions() balance.Regions {
	allowed := balance.Regions{Route: c.route.Regions}
	if c.team != nil {
		allowed.Team = c.team.Regions
	}
	return allowed
}
