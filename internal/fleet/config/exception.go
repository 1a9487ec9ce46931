package config

import (
	"reflect"
	"slices"

	"github.com/goccy/go-yaml"

	"github.com/egretreach/egretreach/internal/fleet/document"
	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/team"
)

// Exception overrides some values for a part of the fleet.
type Exception struct {
	Selector Selector `yaml:"selector"`
	// Reason explains to operators why the exception exists.
	Reason string    `yaml:"reason" validate:"required,max=1000"`
	Values Overrides `yaml:"values"`
}

// Selector selects the part of the fleet that an exception applies to. Every field that
// is set must match.
type Selector struct {
	Host          host.ID        `yaml:"host"`
	FailureDomain domain.Failure `yaml:"failure_domain"`
	FabricDomain  domain.Fabric  `yaml:"fabric_domain"`
	Team          team.ID        `yaml:"team"`
	Deployment    string         `yaml:"deployment"`
}

// Subject is what the values in force are looked up for: any of a host with its domains, a
// team and a deployment. Fields that do not apply are empty.
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

// Overrides are the values that an exception changes. All others stay the same.
type Overrides struct {
	values Values
	keys   []string
	fields [][]int
}

// Schema implements document.SchemaProvider.
func (Overrides) Schema() any { return Values{} }

// UnmarshalYAML implements yaml.BytesUnmarshaler.
func (o *Overrides) UnmarshalYAML(data []byte) error { return yaml.Unmarshal(data, &o.values) }

// Keys returns the sorted paths of the changed values, such as "limits.concurrency".
func (o Overrides) Keys() []string { return o.keys }

// withKeys returns a copy of o that changes only the values with the given paths.
func (o Overrides) withKeys(keys []string) Overrides {
	o.keys = keys
	o.fields = nil
	eachValue(&o.values, func(key string, field []int, _ reflect.Value) {
		if slices.Contains(keys, key) {
			o.fields = append(o.fields, field)
		}
	})
	return o
}

// apply returns v with the overrides applied.
func (o Overrides) apply(v Values) Values {
	from := reflect.ValueOf(&o.values).Elem()
	to := reflect.ValueOf(&v).Elem()
	for _, field := range o.fields {
		to.FieldByIndex(field).Set(from.FieldByIndex(field))
	}
	return v
}

// eachValue calls f for every value of v in the order of the fields, with the path and
// the field index of the value.
func eachValue(v *Values, f func(key string, field []int, value reflect.Value)) {
	sections := reflect.ValueOf(v).Elem()
	for i := range sections.NumField() {
		section := sections.Field(i)
		prefix := document.FieldName(sections.Type().Field(i)) + "."
		for j := range section.NumField() {
			f(prefix+document.FieldName(section.Type().Field(j)), []int{i, j}, section.Field(j))
		}
	}
}
