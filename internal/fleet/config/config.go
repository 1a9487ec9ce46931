// Package config parses and checks the fleet configuration. It consists of default
// values, a short list of exceptions with reasons, and the models, deployments, services
// and teams of the fleet.
package config

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/document"
	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/team"
)

// Fleet is one fleet configuration. It is not modified after Parse.
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
	// Regions are the regions of failure domains. A failure domain that is not listed has no known region.
	Regions map[domain.Failure]Region `yaml:"regions" validate:"max=1000,dive,keys,required,endkeys,required"`

	tokens tokenIndex
}

// Model is a model that the engines can load.
type Model struct {
	Name     string    `yaml:"name" validate:"required,hostname_rfc1123"`
	Versions []Version `yaml:"versions" validate:"min=1,dive"`
	// Adapters are the adapters that may be loaded in addition to the model.
	Adapters []string `yaml:"adapters" validate:"max=1000,dive,required"`
}

// Version is one version of a model's weights.
type Version struct {
	Name string `yaml:"name" validate:"required"`
	// Weights is the total size of the weights that the hosts of a replica load.
	Weights document.Size `yaml:"weights" validate:"gt=0"`
}

// Role is the role of the engines of a deployment.
type Role string

// The engine roles.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Deployment is a set of replicas that serve one version of a model.
type Deployment struct {
	Name     string   `yaml:"name" validate:"required,hostname_rfc1123"`
	Model    string   `yaml:"model" validate:"required"`
	Version  string   `yaml:"version" validate:"required"`
	Adapters []string `yaml:"adapters" validate:"max=100,dive,required"`
	Replicas int      `yaml:"replicas" validate:"min=0,max=10000"`
	// MaxReplicas allows extra replicas on idle hosts if Objectives.StrandedAccelerators
	// makes them worthwhile; 0 means no more than Replicas.
	MaxReplicas     int `yaml:"max_replicas" validate:"min=0,max=10000"`
	HostsPerReplica int `yaml:"hosts_per_replica" validate:"min=1,max=64"`
	// Priority ranks the deployments. One with a higher number may take hosts from those
	// with a lower number.
	Priority int     `yaml:"priority" validate:"min=0,max=1000"`
	Role     Role    `yaml:"role" validate:"omitempty,oneof=mixed prefill decode"`
	Rollout  Rollout `yaml:"rollout"`
	// AcceptCrossFabric allows replicas that span fabric domains, as a last resort.
	AcceptCrossFabric bool `yaml:"accept_cross_fabric"`
	// AllowedRegions are the regions whose hosts may serve the deployment. An empty list allows all.
	AllowedRegions []Region `yaml:"allowed_regions" validate:"max=100,dive,required"`
	WarmUp         WarmUp   `yaml:"warm_up"`
}

// WarmUp bounds the requests of an endpoint that has just started or returned. The zero value is no bound.
type WarmUp struct {
	// Time is how long the endpoint is cold after its start or return.
	Time time.Duration `yaml:"time" validate:"min=0s,max=1h"`
	// RequestsPerSecond is what a cold endpoint takes from all entries together.
	RequestsPerSecond float64 `yaml:"requests_per_second" validate:"min=0,max=1000000"`
}

// Rollout configures how replicas are replaced for another version or other adapters.
type Rollout struct {
	// Extra is the number of replicas beyond Replicas that may exist during a rollout.
	// With 0, one replica at a time is removed and rebuilt.
	Extra int `yaml:"extra" validate:"min=0,max=100"`
}

// WeightStore is the throughput of the platform's weight store, in bytes per second; 0
// means unlimited.
type WeightStore struct {
	// Rate is shared by all loads.
	Rate document.Size `yaml:"rate" validate:"min=0"`
	// HostRate bounds the loads of one host.
	HostRate document.Size `yaml:"host_rate" validate:"min=0"`
}

// FabricDomain is a fabric domain and the number of its hosts. It is used to refuse
// replicas that do not fit into any fabric domain.
type FabricDomain struct {
	Name  domain.Fabric `yaml:"name" validate:"required"`
	Hosts int           `yaml:"hosts" validate:"min=1,max=10000"`
}

// Class is a request class.
type Class struct {
	Name team.Class `yaml:"name" validate:"required,hostname_rfc1123"`
	// Priority is the weight of the class in the queue of a team, where 0 counts as 1,
	// and the priority of its requests at the engines. A higher number is preferred.
	Priority int `yaml:"priority" validate:"min=0,max=1000"`
	// Deadline is the deadline of requests whose caller gives none.
	Deadline time.Duration `yaml:"deadline" validate:"min=100ms,max=1h"`
}

// Team is a team of callers.
type Team struct {
	Name team.ID `yaml:"name" validate:"required,hostname_rfc1123"`
	// TokenSHA256 are the hashes of the team's bearer tokens, in hexadecimal.
	TokenSHA256 []string `yaml:"token_sha256" validate:"max=10,dive,sha256"`
	// Weight is the team's share of a busy fleet, relative to the weights of the other
	// teams. The default is 1.
	Weight float64 `yaml:"weight" validate:"gt=0,max=1000"`
	// Classes are the classes that the team may use. The first is its default. An empty
	// list allows all classes.
	Classes []team.Class `yaml:"classes" validate:"max=20"`
	// AllowedRegions are the regions to which the team's requests may be sent. An empty list allows all.
	AllowedRegions []Region `yaml:"allowed_regions" validate:"max=100,dive,required"`
}

// Service is a plain service.
type Service struct {
	Name string `yaml:"name" validate:"required,hostname_rfc1123"`
	// Idempotency overrides the idempotency of methods in the HTTP standard. The first
	// rule that matches applies.
	Idempotency []Rule `yaml:"idempotency" validate:"max=100,dive"`
	// AllowedRegions are the regions whose hosts may serve the service. An empty list allows all.
	AllowedRegions []Region `yaml:"allowed_regions" validate:"max=100,dive,required"`
	WarmUp         WarmUp   `yaml:"warm_up"`
}

// Rule states whether calls with a method and a path prefix are idempotent, so that they
// may be retried.
type Rule struct {
	Method string `yaml:"method" validate:"required,oneof=GET HEAD PUT DELETE POST PATCH OPTIONS"`
	// Path is a prefix such as "/lookup/"; empty means every path.
	Path       string `yaml:"path" validate:"omitempty,startswith=/"`
	Idempotent bool   `yaml:"idempotent"`
}
