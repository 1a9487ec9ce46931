package balance

import "time"

// LoadSource is the source of the estimate of an endpoint's load.
type LoadSource uint8

// The sources of estimates.
const (
	// LoadFromOwn is what this gateway has at the endpoint, times the number of gateways.
	LoadFromOwn LoadSource = iota
	// LoadFromEndpoint is the load that the endpoint named in a response.
	LoadFromEndpoint
)

// String returns the name of the source in log lines.
func (s LoadSource) String() string {
	if s == LoadFromEndpoint {
		return "endpoint"
	}
	return "own"
}

// loadSource returns the source and the age of the estimate of an endpoint's load.
func (t *endpointState) loadSource(now time.Time) (LoadSource, time.Duration) {
	if age := now.Sub(t.loadAt); age <= loadTTL {
		return LoadFromEndpoint, age
	}
	return LoadFromOwn, 0
}
