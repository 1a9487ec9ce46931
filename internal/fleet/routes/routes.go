// Package routes holds what operators decide about callers' requests: which service
// answers them, how often they may be tried and whose keys are valid.
//
// A Table is immutable. Operators replace it whole, under rising versions.
package routes

import (
	"slices"
	"strings"
	"time"
)

// Kind says what may be done with a request more than once.
type Kind uint8

// The kinds of request.
const (
	// KindSafe may run any number of times.
	KindSafe Kind = iota + 1
	// KindUnsafe runs at most once.
	KindUnsafe
	// KindStream is answered by a series of events. It runs at most once unless its
	// route is Resumable.
	KindStream
)

// String returns the kind's name in logs.
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

// Target is one service of a route and its share of the route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route says what is done with the requests of one host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the time in which a request is answered.
	Timeout time.Duration
	// Objective is the time in which an answer, or a stream's first event, is of full use.
	Objective time.Duration
	// MaxEventGap is the longest pause between two events of a stream that is of full use.
	MaxEventGap time.Duration
	// Priority ranks the requests; 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts bounds the endpoints to which one request is sent.
	MaxAttempts int
	// Anonymous routes take requests without a key.
	Anonymous bool
	// Resumable streams may go on at another endpoint behind the last event.
	Resumable bool
}

// Retryable reports whether a request of the route may run more than once.
func (r Route) Retryable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Model is one model that the endpoints of a service can serve.
type Model struct {
	Name string
	// Size is the number of members of one replica.
	Size int
	// Share is the model's expected part of the service's work, 0 to 1.
	Share float64
	// TimeFactor is a factor on all times of the model's replicas.
	TimeFactor float64
	// LoadTime is how long a member takes to load the weights from the weight store, and
	// Warm from its own host.
	LoadTime     time.Duration
	WarmLoadTime time.Duration
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests a replica runs at once.
	Slots int
	// KVTokens is the size of a replica's KV cache, in tokens.
	KVTokens int
	Models   []Model
	// StepTime is the time of one token step, and StepEach what each running request adds.
	StepTime           time.Duration
	StepTimePerRequest time.Duration
	// PrefillRate is how many prompt tokens a replica reads in a second.
	PrefillRate float64
	// PrefillChunk is how many prompt tokens are read between two rounds of steps.
	PrefillChunk int
	// StepsPerRound is how many steps make a round.
	StepsPerRound int
	// LoadRate is how many loads from the weight store may start in a second.
	LoadRate float64
	// MaxConcurrentLoads is how many loads run at full speed at the same time.
	MaxConcurrentLoads int
	// MeanPromptTokens and UsualAnswer are the mean lengths, in tokens.
	MeanPromptTokens int
	MeanOutputTokens int
}

// Model returns the model of that name.
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
	// HealthPath answers 200 while an endpoint is well.
	HealthPath string
	// MaxConnections bounds the open connections to one endpoint from all callers.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Team is a group of callers.
type Team struct {
	Name string
	Keys []string
	// Priority goes before the route's priority, if there is one.
	Priority *int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is everything that one version of the operators' decisions says.
type Table struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits

	index *index
}

// index finds routes and teams without a search of the whole table.
type index struct {
	// hosts holds the routes of each host, the longest prefixes first.
	hosts    map[string][]*Route
	keys     map[string]*Team
	services map[string]*Service
}

// WithIndex returns the table ready for look-ups.
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

// Match returns the route of a request: of those of its host, the one with the longest
// prefix that begins the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.index.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Team returns the team that holds a key.
func (t *Table) Team(key string) (*Team, bool) {
	team, ok := t.index.keys[key]
	return team, ok
}

// Service returns the service of that name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.index.services[name]
	return s, ok
}

// Pick returns the service that a request goes to, for a number draw that is spread
// evenly over 0 up to, not including, 1.
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := int(draw * float64(total))
	for _, t := range r.Targets {
		if at -= t.Weight; at < 0 {
			return t.Service
		}
	}
	return ""
}
