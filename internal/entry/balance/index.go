package balance

import (
	"cmp"
	"slices"

	"github.com/egretreach/egretreach/internal/fleet/roster"
)

// scope is a service and, for model engines, one of its models.
type scope struct{ service, model string }

// scope returns the scope of a request.
func (req Request) scope() scope { return scope{req.Service, req.Model} }

// serving returns the endpoints that are ready and serve a request's service and model, ordered by ID. The result is
// valid until the endpoints change.
func (b *Balancer) serving(req Request) []*endpointState {
	if b.index == nil {
		b.index = b.buildIndex()
	}
	return b.index[req.scope()]
}

// buildIndex returns the endpoints that are ready, by what they serve.
func (b *Balancer) buildIndex() map[scope][]*endpointState {
	index := map[scope][]*endpointState{}
	for _, t := range b.endpoints {
		if t.State != roster.StateReady {
			continue
		}
		service := scope{service: t.Service}
		index[service] = append(index[service], t)
		if model := (scope{t.Service, t.Model}); t.Model != "" && t.IsServingHead() {
			index[model] = append(index[model], t)
		}
	}
	for _, list := range index {
		slices.SortFunc(list, func(a, b *endpointState) int { return cmp.Compare(a.ID, b.ID) })
	}
	return index
}
