package config

import (
	"slices"
	"strings"

	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/team"
)

// For returns the values in force for subject. These are the defaults, changed by each
// exception that matches in the order of the file, so that the last one wins.
func (f *Fleet) For(subject Subject) Values {
	v := f.Defaults
	for _, e := range f.Exceptions {
		if e.Selector.Matches(subject) {
			v = e.Values.apply(v)
		}
	}
	return v
}

// ForTeam returns the values in force for a team's requests.
func (f *Fleet) ForTeam(id team.ID) Values { return f.For(Subject{Team: id}) }

// ForDeployment returns the values in force for a deployment.
func (f *Fleet) ForDeployment(name string) Values { return f.For(Subject{Deployment: name}) }

// ForHost returns the values in force for a host.
func (f *Fleet) ForHost(id host.ID, failure domain.Failure, fabric domain.Fabric) Values {
	return f.For(Subject{Host: id, FailureDomain: failure, FabricDomain: fabric})
}

// Model returns the model of that name.
func (f *Fleet) Model(name string) (Model, bool) {
	return find(f.Models, func(m Model) bool { return m.Name == name })
}

// Version returns the model's version of that name.
func (m Model) Version(name string) (Version, bool) {
	return find(m.Versions, func(v Version) bool { return v.Name == name })
}

// Deployment returns the deployment of that name.
func (f *Fleet) Deployment(name string) (Deployment, bool) {
	return find(f.Deployments, func(d Deployment) bool { return d.Name == name })
}

// Class returns the request class of that name.
func (f *Fleet) Class(name team.Class) (Class, bool) {
	return find(f.Classes, func(c Class) bool { return c.Name == name })
}

// Team returns the team of that name.
func (f *Fleet) Team(id team.ID) (Team, bool) {
	return find(f.Teams, func(t Team) bool { return t.Name == id })
}

// Service returns the plain service of that name.
func (f *Fleet) Service(name string) (Service, bool) {
	return find(f.Services, func(s Service) bool { return s.Name == name })
}

// ClassFor returns the class of a request of team t that asks for the class wanted, or
// the team's default class if wanted is empty. It returns false if the team may not use
// the class or the class does not exist.
func (f *Fleet) ClassFor(t Team, wanted team.Class) (Class, bool) {
	if wanted == "" {
		if len(t.Classes) == 0 {
			return f.Classes[0], true
		}
		return f.Class(t.Classes[0])
	}
	if len(t.Classes) > 0 && !slices.Contains(t.Classes, wanted) {
		return Class{}, false
	}
	return f.Class(wanted)
}

// Idempotent reports whether a call may be retried. The first rule that matches decides,
// or else the HTTP standard (RFC 9110, section 9.2.2).
func (s Service) Idempotent(method, path string) bool {
	for _, rule := range s.Idempotency {
		if rule.Method == method && strings.HasPrefix(path, rule.Path) {
			return rule.Idempotent
		}
	}
	switch method {
	case "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE":
		return true
	default:
		return false
	}
}

func find[T any](items []T, match func(T) bool) (T, bool) {
	if i := slices.IndexFunc(items, match); i >= 0 {
		return items[i], true
	}
	var none T
	return none, false
}
