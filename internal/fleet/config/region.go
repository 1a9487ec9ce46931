package config

import (
	"fmt"
	"slices"

	"github.com/egretreach/egretreach/internal/fleet/domain"
)

// Region is the name of a region, a set of failure domains.
type Region string

// DeploymentAllows reports whether a host in a failure domain may serve a deployment.
func (f *Fleet) DeploymentAllows(name string, d domain.Failure) bool {
	deployment, _ := f.Deployment(name)
	return f.regionIn(deployment.AllowedRegions, d)
}

// ServiceAllows reports whether a host in a failure domain may serve a plain service.
func (f *Fleet) ServiceAllows(name string, d domain.Failure) bool {
	service, _ := f.Service(name)
	return f.regionIn(service.AllowedRegions, d)
}

// Allows reports whether the requests of the team may be sent to a host in a failure domain of the fleet.
func (t Team) Allows(f *Fleet, d domain.Failure) bool { return f.regionIn(t.AllowedRegions, d) }

// regionIn reports whether the region of a failure domain is in allowed, or allowed is empty.
func (f *Fleet) regionIn(allowed []Region, d domain.Failure) bool {
	if len(allowed) == 0 {
		return true
	}
	region, known := f.Regions[d]
	return known && slices.Contains(allowed, region)
}

// checkRegions reports allowed regions in which there is no failure domain.
func (c checker) checkRegions() {
	for i, d := range c.fleet.Deployments {
		c.checkAllowedRegions(fmt.Sprintf("deployments[%d]", i), d.AllowedRegions)
	}
	for i, t := range c.fleet.Teams {
		c.checkAllowedRegions(fmt.Sprintf("teams[%d]", i), t.AllowedRegions)
	}
	for i, s := range c.fleet.Services {
		c.checkAllowedRegions(fmt.Sprintf("services[%d]", i), s.AllowedRegions)
	}
}

func (c checker) checkAllowedRegions(key string, allowed []Region) {
	for i, region := range allowed {
		known := false
		for _, r := range c.fleet.Regions {
			known = known || r == region
		}
		if !known && region != "" {
			c.doc.Report(fmt.Sprintf("%s.allowed_regions[%d]", key, i), fmt.Sprintf("no failure domain is in region %q", region))
		}
	}
}
