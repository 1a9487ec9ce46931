// Package explanation holds a gateway's explanation of where a request would be sent, as it is transferred and printed.
package explanation

// Path is the path of a gateway's page, on its health listeners.
const Path = "/explain"

// KeyHeader carries the key of the caller whose request is explained. It is no part of the URL, which logs may show.
const KeyHeader = "Egretreach-Caller-Key"

// The parameters of the page's query.
const (
	paramMethod       = "method"
	paramPath         = "path"
	paramHost         = "host"
	paramModel        = "model"
	paramPromptTokens = "prompt_tokens"
	paramOutputTokens = "output_tokens"
	paramParts        = "parts"
)

// Request describes a caller's request.
type Request struct {
	Method string `json:"method"`
	// Path is the request's target; a query is ignored.
	Path string `json:"path"`
	Host string `json:"host"`
	// Key is the caller's key. It is never printed.
	Key   string `json:"-"`
	Model string `json:"model,omitempty"`
	// PromptTokens and OutputTokens are the request's size.
	PromptTokens int `json:"prompt_tokens"`
	OutputTokens int `json:"output_tokens"`
	// Parts lists the parts of the prompt as the caller's header does.
	Parts string `json:"parts,omitempty"`
}

// Document says where a request would go and why. Fields that the gateway did not determine before its verdict are zero.
type Document struct {
	Gateway       string        `json:"gateway"`
	FailureDomain string        `json:"failure_domain"`
	Request       Request       `json:"request"`
	Verdict       Verdict       `json:"verdict"`
	Configuration Configuration `json:"configuration"`
	Evacuations   Evacuations   `json:"evacuations"`
	Route         string        `json:"route"`
	// Team is empty for a caller without a known key.
	Team     string `json:"team"`
	Priority int    `json:"priority"`
	// RouteRegions and TeamRegions are the allowed regions of the route and of the team. Empty ones allow all.
	RouteRegions []string `json:"route_regions"`
	TeamRegions  []string `json:"team_regions"`
	// Service is the one that was drawn from Targets.
	Service    string      `json:"service"`
	Model      string      `json:"model"`
	Targets    []Target    `json:"targets"`
	Candidates []Candidate `json:"candidates"`
	Queue      Queue       `json:"queue"`
}

// The actions of a Verdict.
const (
	// ActionSent is a request that would be sent to Verdict.Endpoint.
	ActionSent = "sent"
	// ActionWaits is a request that would wait for capacity.
	ActionWaits = "waits"
	// ActionRefused is a request that would be refused, and may be sent again after Verdict.RetryAfter.
	ActionRefused = "refused"
	// ActionDenied is a request that the configuration does not allow.
	ActionDenied = "denied"
	// ActionAsksControl is a request for which the gateway would first ask control whether its configuration is outdated.
	ActionAsksControl = "asks_control"
)

// Verdict is what the gateway would do with the request.
type Verdict struct {
	Action   string `json:"action"`
	Endpoint string `json:"endpoint,omitempty"`
	// ForecastMs is the expected time to the first event at Endpoint, in milliseconds.
	ForecastMs float64 `json:"forecast_ms,omitempty"`
	// WaitMs is how long the request would wait at most, in milliseconds.
	WaitMs float64 `json:"wait_ms,omitempty"`
	// Status is that of the response to a request that is refused or denied.
	Status int    `json:"status,omitempty"`
	Reason string `json:"reason,omitempty"`
	// RetryAfter is the Retry-After of the response, in seconds.
	RetryAfter float64 `json:"retry_after_s,omitempty"`
}

// Configuration is the configuration in force at the gateway and the evidence for its age, which is also that of the evacuations.
type Configuration struct {
	Version uint64 `json:"version"`
	// AgeMs is the time since control was asked the latest question that it has answered, in milliseconds. It is -1 if control has
	// answered none.
	AgeMs float64 `json:"age_ms"`
	// Following reports that there is a subscription at the control leader.
	Following bool `json:"following"`
	// LatenessMs is the scheduling delay of the gateway, in milliseconds.
	LatenessMs float64 `json:"lateness_ms"`
}

// Evacuations are the failure domains to which the gateway sends nothing.
type Evacuations struct {
	Revision uint64   `json:"revision"`
	Domains  []string `json:"domains"`
}

// Target is a service of a route, with its weight.
type Target struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Candidate is an endpoint that is ready and serves the request.
type Candidate struct {
	Endpoint      string `json:"endpoint"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Region is empty if it isn't known.
	Region     string  `json:"region"`
	ForecastMs float64 `json:"forecast_ms"`
	// Occupied is the estimated number of requests at the endpoint, of InFlight from this gateway.
	Occupied float64 `json:"occupied"`
	Slots    int     `json:"slots"`
	InFlight int     `json:"in_flight"`
	// OccupiedFrom is the source of the estimate: "endpoint" for a report of the endpoint, which is OccupiedAgeMs old, or "own" for the
	// requests of this gateway.
	OccupiedFrom  string  `json:"occupied_from"`
	OccupiedAgeMs float64 `json:"occupied_age_ms"`
	// Cost ranks the endpoints that may get the request, the lowest first. It is nil for the others.
	Cost *float64 `json:"cost"`
	// PassedOver is why the endpoint doesn't get the request. It is empty for the one that does.
	PassedOver string `json:"passed_over"`
}

// Queue counts the requests that wait at the gateway for the same service and model.
type Queue struct {
	Waiting int `json:"waiting"`
	// Before counts those that are tried before the request.
	Before int `json:"before"`
}
