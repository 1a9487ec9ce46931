// Package config is the fleet configuration: defaults, a short list of exceptions
// with written reasons, and what the fleet serves to whom.
package config

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/document"
	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/team"
)

// Fleet is one accepted configuration. It is not changed after Parse.
type Fleet struct {
	Defaults      Values         `yaml:"defaults"`
	Exceptions    []Exception    `yaml:"exceptions" validate:"max=100,dive"`
	Models        []Model        `yaml:"models" validate:"max=1000,dive"`
	Deployments   []Deployment   `yaml:"deployments" validate:"max=1000,dive"`
	WeightStore   WeightStore    `yaml:"weight_store"`
	FabricDomains []FabricDomain `yaml:"fabric_domains" validate:"max=10000,dive"`
	Classes       []Class        `yaml:"classes" validate:"max=20,dive"`
	Teams         []Team         `yaml:"teams" validate:"max=1000,dive"`
	Services      []Service      `yaml:"services" validate:"max=1000,dive"`

	tokens tokenIndex
}

// Model is a model that the engines can load.
type Model struct {
	Name     string    `yaml:"name" validate:"required,hostname_rfc1123"`
	Versions []Version `yaml:"versions" validate:"min=1,dive"`
	// Adapters are the adapters that may be loaded beside the model.
	Adapters []string `yaml:"adapters" validate:"max=1000,dive,required"`
}

// Version is one version of a model's weights.
type Version struct {
	Name string `yaml:"name" validate:"required"`
	// Weights is the size of the weights that all hosts of a replica load together.
	Weights document.Size `yaml:"weights" validate:"gt=0"`
}

// Role is an engine role.
type Role string

// The engine roles.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Deployment is a number of replicas that serve one version of a model.
type Deployment struct {
	Name     string   `yaml:"name" validate:"required,hostname_rfc1123"`
	Model    string   `yaml:"model" validate:"required"`
	Version  string   `yaml:"version" validate:"required"`
	Adapters []string `yaml:"adapters" validate:"max=100,dive,required"`
	Replicas int      `yaml:"replicas" validate:"min=0,max=10000"`
	// MaxReplicas lets idle hosts serve further replicas, where the weight of
	// stranded accelerators asks for it; 0 is no more than Replicas.
	MaxReplicas     int `yaml:"max_replicas" validate:"min=0,max=10000"`
	HostsPerReplica int `yaml:"hosts_per_replica" validate:"min=1,max=64"`
	// Priority: a deployment may take hosts from those of a lower number.
	Priority int     `yaml:"priority" validate:"min=0,max=1000"`
	Role     Role    `yaml:"role" validate:"omitempty,oneof=mixed prefill decode"`
	Rollout  Rollout `yaml:"rollout"`
	// AcceptCrossFabric lets a replica span fabric domains as a last resort.
	AcceptCrossFabric bool `yaml:"accept_cross_fabric"`
}

// Rollout says how replicas move to another version or adapters.
type Rollout struct {
	// Extra is the number of replicas that may be built beyond Replicas meanwhile.
	// With 0, one replica at a time is taken out and rebuilt.
	Extra int `yaml:"extra" validate:"min=0,max=100"`
}

// WeightStore says how fast the platform's weight store is, in bytes per second; 0 is
// unlimited.
type WeightStore struct {
	// Rate is shared by all loads, HostRate bounds one host's.
	Rate     document.Size `yaml:"rate" validate:"min=0"`
	HostRate document.Size `yaml:"host_rate" validate:"min=0"`
}

// FabricDomain is a fabric domain and the number of its hosts, used to refuse
// replicas that no fabric domain can hold.
type FabricDomain struct {
	Name  domain.Fabric `yaml:"name" validate:"required"`
	Hosts int           `yaml:"hosts" validate:"min=1,max=10000"`
}

// Class is a request class.
type Class struct {
	Name team.Class `yaml:"name" validate:"required,hostname_rfc1123"`
	// Priority: a higher number goes first.
	Priority int `yaml:"priority" validate:"min=0,max=1000"`
	// Deadline is in force where the caller gives none.
	Deadline time.Duration `yaml:"deadline" validate:"min=100ms,max=1h"`
}

// Team is a team of callers.
type Team struct {
	Name team.ID `yaml:"name" validate:"required,hostname_rfc1123"`
	// TokenSHA256 are the hashes of the team's bearer tokens, in hexadecimal.
	TokenSHA256 []string `yaml:"token_sha256" validate:"max=10,dive,sha256"`
	// Weight is the team's share of a full fleet beside the other teams'.
	Weight float64 `yaml:"weight" validate:"gt=0,max=1000"`
	// Classes are those that the team may use; the first is its default. None
	// means all.
	Classes []team.Class `yaml:"classes" validate:"max=20"`
}

// Service is a plain service.
type Service struct {
	Name string `yaml:"name" validate:"required,hostname_rfc1123"`
	// Idempotency overrides what the HTTP standard says of a method. The first
	// rule that matches is in force.
	Idempotency []Rule `yaml:"idempotency" validate:"max=100,dive"`
}

// Rule says whether calls of a method below a path may be repeated.
type Rule struct {
	Method string `yaml:"method" validate:"required,oneof=GET HEAD PUT DELETE POST PATCH OPTIONS"`
	// Path is a prefix such as "/lookup/"; empty means every path.
	Path       string `yaml:"path" validate:"omitempty,startswith=/"`
	Idempotent bool   `yaml:"idempotent"`
}
