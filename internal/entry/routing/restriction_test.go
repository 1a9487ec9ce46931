package routing

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/view"
)

var allDomains = []domain.Failure{"a", "b", "c", ""}

// drawRestricted returns a view of a deployment and a service in random failure domains, and a random restriction.
func drawRestricted(t *rapid.T) (view.View, Restriction) {
	var v view.View
	domains := rapid.SliceOfN(rapid.SampledFrom(allDomains), 0, 2)
	for _, id := range []replica.ID{"r1", "r2", "r3", "r4"} {
		r := view.Route{Replica: replica.Replica{
			ID: id, Spec: replica.Spec{Deployment: "d", Model: "m"}, Hosts: []host.ID{host.ID(id)}, State: replica.StateServing,
		}}
		r.Domains = domains.Draw(t, "domains")
		v.Routes = append(v.Routes, r)
		v.Services = append(v.Services, view.Service{Name: "d", Host: host.ID(id), Domain: rapid.SampledFrom(allDomains).Draw(t, "of")})
	}
	inRegion := map[domain.Failure]bool{}
	for _, d := range allDomains {
		inRegion[d] = rapid.Bool().Draw(t, "in region")
	}
	var restriction Restriction
	for _, d := range rapid.SliceOfDistinct(rapid.SampledFrom(allDomains[:3]), rapid.ID).Draw(t, "evacuated") {
		restriction.Evacuated = restriction.Evacuated.With(1, d)
	}
	if rapid.Bool().Draw(t, "regions") {
		restriction.InRegion = func(name string, d domain.Failure) bool { return name == "d" && inRegion[d] }
	}
	return v, restriction
}

// TestRestrictedEndpointsGetNoRequest guards against a request that is sent to an evacuated failure domain or out of
// its regions: as a first attempt, as a retry after others have failed, as a copy of a request that runs there, or as a
// suspect. It also guards against a refusal while an endpoint is left.
func TestRestrictedEndpointsGetNoRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, restriction := drawRestricted(t)
		r := newRouter(v.Routes...)
		exclude := map[replica.ID]bool{}
		excludeHosts := map[host.ID]bool{}
		for _, id := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"r1", "r2", "r3"}), rapid.ID).Draw(t, "failed") {
			exclude[replica.ID(id)] = true
			excludeHosts[host.ID(id)] = true
		}
		unrestricted := Request{Deployment: "d", PromptTokens: 100, BodyHash: 7}
		running, err := r.Pick(epoch, unrestricted)
		require.NoError(t, err)
		r.Dispatched(epoch, unrestricted, running)
		allowed, left := 0, 0
		for i := range v.Routes {
			if isAllowed(&v.Routes[i], restriction) {
				allowed++
				if !exclude[v.Routes[i].Replica.ID] {
					left++
				}
			}
		}
		for _, suspect := range []bool{false, true} {
			req := unrestricted
			req.Exclude, req.Suspect, req.Restriction = exclude, suspect, restriction
			choice, err := r.Pick(epoch, req)
			switch {
			case allowed == 0:
				require.True(t, IsErrRestricted(err), "%v", err)
			case left == 0:
				require.True(t, IsErrNoReplica(err), "%v", err)
			default:
				require.NoError(t, err)
				require.True(t, isAllowed(&choice.Route, restriction), "%+v", choice.Route)
			}
		}
		checkServices(t, v, excludeHosts, restriction)
	})
}

// isAllowed states the rule without the code under test.
func isAllowed(r *view.Route, restriction Restriction) bool {
	if len(r.Domains) > 0 && restriction.Evacuated.Contains(r.Domains[0]) {
		return false
	}
	if restriction.InRegion == nil {
		return true
	}
	if len(r.Domains) == 0 {
		return restriction.InRegion("d", "")
	}
	for _, d := range r.Domains {
		if !restriction.InRegion("d", d) {
			return false
		}
	}
	return true
}

func checkServices(t *rapid.T, v view.View, exclude map[host.ID]bool, restriction Restriction) {
	s := NewServices(rand.New(rand.NewPCG(1, 2)))
	s.SetView(v)
	allowed, left := 0, 0
	isFree := func(d domain.Failure) bool {
		return !restriction.Evacuated.Contains(d) && (restriction.InRegion == nil || restriction.InRegion("d", d))
	}
	for _, e := range v.Services {
		if isFree(e.Domain) {
			allowed++
			if !exclude[e.Host] {
				left++
			}
		}
	}
	e, err := s.Pick("d", exclude, restriction)
	switch {
	case allowed == 0:
		require.True(t, IsErrRestricted(err), "%v", err)
	case left == 0:
		require.True(t, IsErrNoEndpoint(err), "%v", err)
	default:
		require.NoError(t, err)
		require.True(t, isFree(e.Domain), "%+v", e)
	}
}
