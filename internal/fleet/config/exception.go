package config

import (
	"github.com/goccy/go-yaml"

	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/team"
)

// Exception changes some values for a part of the fleet.
type Exception struct {
	Selector Selector `yaml:"selector"`
	// Reason is why the exception exists, for whoever meets it later.
	Reason string    `yaml:"reason" validate:"required,max=1000"`
	Values Overrides `yaml:"values"`
}

// Selector names the part of the fleet that an exception is for. Every field that
// is set must match.
type Selector struct {
	Host          host.ID        `yaml:"host"`
	FailureDomain domain.Failure `yaml:"failure_domain"`
	FabricDomain  domain.Fabric  `yaml:"fabric_domain"`
	Team          team.ID        `yaml:"team"`
	Deployment    string         `yaml:"deployment"`
}

// Subject is what effective values are asked for: some of a host with its
// domains, a team and a deployment.
type Subject = Selector

// Matches reports whether the selector selects subject.
func (s Selector) Matches(subject Subject) bool {
	return matches(s.Host, subject.Host) &&
		matches(s.FailureDomain, subject.FailureDomain) &&
		matches(s.FabricDomain, subject.FabricDomain) &&
		matches(s.Team, subject.Team) &&
		matches(s.Deployment, subject.Deployment)
}

func matches[T ~string](want, have T) bool { return want == "" || want == have }

// Overrides are the values that an exception changes; all others stay.
type Overrides struct {
	yaml []byte
	keys []string
}

// Shape implements document.Shaped.
func (Overrides) Shape() any { return Values{} }

// UnmarshalYAML implements yaml.BytesUnmarshaler.
func (o *Overrides) UnmarshalYAML(data []byte) error {
	o.yaml = append([]byte(nil), data...)
	return yaml.Unmarshal(data, &Values{})
}

// Keys returns the changed values by their paths, such as "limits.concurrency",
// sorted.
func (o Overrides) Keys() []string { return o.keys }

// apply returns v with the changes.
func (o Overrides) apply(v Values) Values {
	if len(o.yaml) == 0 {
		return v
	}
	changed := v
	if err := yaml.Unmarshal(o.yaml, &changed); err != nil {
		return v // Parse has refused such YAML.
	}
	return changed
}
