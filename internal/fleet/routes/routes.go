// Package routes holds the operators' decisions on callers' requests: which service answers them,
// how often they may be tried and whose keys are valid. It also describes the services' engines and
// models.
//
// A Table is immutable. Operators replace the whole table, with rising versions.
package routes

import (
	"slices"
	"strings"
	"time"
)

// Kind tells whether a request may run more than once.
type Kind uint8

// The kinds of request.
const (
	// KindSafe may run any number of times.
	KindSafe Kind = iota + 1
	// KindUnsafe runs at most once.
	KindUnsafe
	// KindStream is answered with a stream of events. It runs at most once unless its route is
	// Resumable.
	KindStream
)

// String returns the name of the kind for logs.
func (k Kind) String() string {
	switch k {
	case KindSafe:
		return "safe"
	case KindUnsafe:
		return "unsafe"
	case KindStream:
		return "stream"
	}
	return "unknown"
}

// Target is a service of a route with its weight among the route's targets.
type Target struct {
	Service string
	Weight  int
}

// Route configures the requests of one host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the time until a request is answered.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a stream, has its full
	// value.
	Objective time.Duration
	// MaxEventGap is the longest pause between two events of a stream at which it has its full
	// value.
	MaxEventGap time.Duration
	// Priority orders requests. 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts bounds the number of endpoints to which a request is sent.
	MaxAttempts int
	// Anonymous routes accept requests without a key.
	Anonymous bool
	// Resumable streams may be resumed at another endpoint after the last event received.
	Resumable bool
	// Regions are the regions whose endpoints may get the requests; none is no limit.
	Regions []string
}

// Retryable reports whether a request of the route may run more than once.
func (r Route) Retryable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Model is a model that the endpoints of a service can serve.
type Model struct {
	Name string
	// Size is the number of members of a replica.
	Size int
	// Share is the expected fraction of the service's work for this model, 0 to 1.
	Share float64
	// TimeFactor scales all prefill and decode times of the model's replicas.
	TimeFactor float64
	// LoadTime is how long a member takes to load the weights from the weight store. WarmLoadTime
	// is how long it takes to load them from its host.
	LoadTime     time.Duration
	WarmLoadTime time.Duration
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that a replica runs concurrently.
	Slots int
	// KVTokens is the size of a replica's KV cache, in tokens.
	KVTokens int
	Models   []Model
	// StepTime is the time of one decode step. StepTimePerRequest is added for each running
	// request.
	StepTime           time.Duration
	StepTimePerRequest time.Duration
	// PrefillRate is the number of prompt tokens that a replica processes per second.
	PrefillRate float64
	// PrefillChunk is the number of prompt tokens that are processed between two rounds of decode
	// steps.
	PrefillChunk int
	// StepsPerRound is the number of decode steps in a round.
	StepsPerRound int
	// LoadRate is the number of loads from the weight store that may start per second.
	LoadRate float64
	// MaxConcurrentLoads is the number of loads that can run at full speed at the same time.
	MaxConcurrentLoads int
	// MeanPromptTokens and MeanOutputTokens are the mean lengths of prompts and answers.
	MeanPromptTokens int
	MeanOutputTokens int
}

// Model returns the model with a name.
func (e *Engine) Model(name string) (Model, bool) {
	if e == nil {
		return Model{}, false
	}
	i := slices.IndexFunc(e.Models, func(m Model) bool { return m.Name == name })
	if i < 0 {
		return Model{}, false
	}
	return e.Models[i], true
}

// Service is a set of endpoints that answer the same requests.
type Service struct {
	Name string
	// HealthPath is the path that answers 200 while an endpoint is healthy.
	HealthPath string
	// MaxConnections bounds the open connections of all callers to one endpoint.
	MaxConnections int
	// Engine is nil for services that run no model.
	Engine *Engine
	// WarmUp limits the requests to the service's endpoints after their start.
	WarmUp WarmUp
}

// WarmUp is the warm-up limit of a service: for Time after its start an endpoint is cold, and all gateways together send it
// about PerSecond requests a second. The zero value is no limit.
type WarmUp struct {
	Time      time.Duration
	PerSecond float64
}

// IsSet reports whether there is a limit.
func (w WarmUp) IsSet() bool { return w.Time > 0 && w.PerSecond > 0 }

// Team is a group of callers.
type Team struct {
	Name string
	Keys []string
	// Priority overrides the route's priority unless it is nil.
	Priority *int
	// Regions are the regions whose endpoints may get the team's requests, besides those of the route; none is no limit.
	Regions []string
}

// Limits bound callers' requests and connections.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the operators' decisions.
type Table struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits

	index *index
}

// index speeds up the lookups of routes, keys and services.
type index struct {
	// hosts holds the routes of each host, longest prefix first.
	hosts    map[string][]*Route
	keys     map[string]*Team
	services map[string]*Service
}

// WithIndex returns a copy of the table with an index for lookups.
func (t Table) WithIndex() *Table {
	x := &index{hosts: map[string][]*Route{}, keys: map[string]*Team{}, services: map[string]*Service{}}
	for i := range t.Routes {
		r := &t.Routes[i]
		x.hosts[r.Host] = append(x.hosts[r.Host], r)
	}
	for _, list := range x.hosts {
		slices.SortFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range t.Teams {
		for _, key := range t.Teams[i].Keys {
			x.keys[key] = &t.Teams[i]
		}
	}
	for i := range t.Services {
		x.services[t.Services[i].Name] = &t.Services[i]
	}
	t.index = x
	return &t
}

// Match returns the route for a request: the one of its host with the longest prefix that matches
// the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.index.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Team returns the team that has a key.
func (t *Table) Team(key string) (*Team, bool) {
	team, ok := t.index.keys[key]
	return team, ok
}

// Service returns the service with a name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.index.services[name]
	return s, ok
}

// Pick returns the service for a request, chosen by the targets' weights. draw is a uniformly
// distributed random number from 0 up to, but not including, 1.
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	remaining := int(draw * float64(total))
	for _, t := range r.Targets {
		if remaining -= t.Weight; remaining < 0 {
			return t.Service
		}
	}
	return ""
}
