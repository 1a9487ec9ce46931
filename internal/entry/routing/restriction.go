package routing

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/view"
)

// Restriction says which endpoints may get a request. The zero value allows all.
type Restriction struct {
	// Evacuated are the failure domains whose endpoints get no requests.
	Evacuated view.Evacuated
	// InRegion reports whether the regions that the request's team and the deployment or service of that name
	// allow contain a failure domain. Nil allows all.
	InRegion func(name string, d domain.Failure) bool
}

// exclusion is the reason why an endpoint may not get a request, or "".
type exclusion string

const (
	exclusionEvacuated exclusion = "evacuated"
	exclusionRegion    exclusion = "region"
)

// excludeRoute returns why a replica may not get the request. The failure domain of its head decides whether it is
// evacuated; all its hosts must be in allowed regions, since they share the request's prompt.
func (r Restriction) excludeRoute(route *view.Route) exclusion {
	if r.Evacuated.Contains(route.HeadDomain()) {
		return exclusionEvacuated
	}
	if r.InRegion == nil {
		return ""
	}
	name := route.Replica.Spec.Deployment
	if len(route.Domains) == 0 && !r.InRegion(name, "") {
		return exclusionRegion
	}
	for _, d := range route.Domains {
		if !r.InRegion(name, d) {
			return exclusionRegion
		}
	}
	return ""
}

// CheckRoute reports whether a replica may get the request, and otherwise counts it in restricted.
func (r Restriction) CheckRoute(route *view.Route, restricted *ErrRestricted) bool {
	x := r.excludeRoute(route)
	restricted.count(x)
	return x == ""
}

// AllowsRoute reports whether a replica may get the request.
func (r Restriction) AllowsRoute(route *view.Route) bool { return r.excludeRoute(route) == "" }

func (r Restriction) excludeService(e *view.Service) exclusion {
	if r.Evacuated.Contains(e.Domain) {
		return exclusionEvacuated
	}
	if r.InRegion != nil && !r.InRegion(e.Name, e.Domain) {
		return exclusionRegion
	}
	return ""
}

// ErrRestricted is returned if every endpoint that serves a request is in an evacuated failure domain or in a region
// that isn't allowed.
type ErrRestricted struct {
	// Name is the deployment, model or service.
	Name string
	// Evacuated and OutsideRegions count the endpoints that were left out.
	Evacuated, OutsideRegions int
}

func (e ErrRestricted) Error() string {
	return fmt.Sprintf("no endpoint of %q is left: %d in evacuated failure domains, %d outside the allowed regions",
		e.Name, e.Evacuated, e.OutsideRegions)
}

// IsErrRestricted reports whether err is an ErrRestricted.
func IsErrRestricted(err error) bool {
	var e ErrRestricted
	return errors.As(err, &e)
}

// count counts an endpoint that was left out.
func (e *ErrRestricted) count(x exclusion) {
	switch x {
	case exclusionEvacuated:
		e.Evacuated++
	case exclusionRegion:
		e.OutsideRegions++
	}
}

// IsEmpty reports whether no endpoint was left out.
func (e *ErrRestricted) IsEmpty() bool { return e.Evacuated == 0 && e.OutsideRegions == 0 }
