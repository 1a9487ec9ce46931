package routes

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrInvalid is returned for a table that can't be put into force.
type ErrInvalid struct {
	// What names the invalid part of the table.
	What   string
	Reason string
}

func (e ErrInvalid) Error() string { return fmt.Sprintf("%s: %s", e.What, e.Reason) }

// IsErrInvalid reports whether err is an ErrInvalid.
func IsErrInvalid(err error) bool {
	var e ErrInvalid
	return errors.As(err, &e)
}

type hostPrefix struct{ host, prefix string }

// Check returns an ErrInvalid if the table is inconsistent.
func (t Table) Check() error {
	services := map[string]bool{}
	for _, s := range t.Services {
		services[s.Name] = true
		if s.WarmUp.Time < 0 || s.WarmUp.PerSecond < 0 || (s.WarmUp.Time > 0) != (s.WarmUp.PerSecond > 0) {
			return ErrInvalid{"service " + s.Name, "its warm-up needs a time and a rate above 0"}
		}
	}
	taken := map[hostPrefix]string{}
	for _, r := range t.Routes {
		if err := r.check(services); err != nil {
			return err
		}
		key := hostPrefix{r.Host, r.Prefix}
		if other, ok := taken[key]; ok {
			return ErrInvalid{"route " + r.Name, "has the host and prefix of route " + other}
		}
		taken[key] = r.Name
	}
	return t.checkKeys()
}

func (r Route) check(services map[string]bool) error {
	what := "route " + r.Name
	total := 0
	for _, target := range r.Targets {
		if !services[target.Service] {
			return ErrInvalid{what, fmt.Sprintf("names the unknown service %q", target.Service)}
		}
		if target.Weight < 0 {
			return ErrInvalid{what, "has a negative weight"}
		}
		total += target.Weight
	}
	switch {
	case total == 0:
		return ErrInvalid{what, "its weights add up to 0"}
	case r.Timeout <= 0:
		return ErrInvalid{what, "its timeout is not above 0"}
	case r.Kind == 0:
		return ErrInvalid{what, "its kind is unknown"}
	}
	return nil
}

func (t Table) checkKeys() error {
	holders := map[string]string{}
	for _, team := range t.Teams {
		for _, key := range team.Keys {
			if other, ok := holders[key]; ok && other != team.Name {
				return ErrInvalid{"team " + team.Name, "shares a key with team " + other}
			}
			holders[key] = team.Name
		}
	}
	return nil
}
