package routing

import (
	"math/rand/v2"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/view"
)

// Services routes calls to plain services: of two endpoints drawn at random, the
// one with fewer own calls in flight. Create it with NewServices.
type Services struct {
	rng       *rand.Rand
	endpoints map[string][]view.Service
	running   map[serviceKey]int
	scratch   []view.Service
}

type serviceKey struct {
	name string
	host host.ID
}

// NewServices returns a router without endpoints. It draws its choices from rng.
func NewServices(rng *rand.Rand) *Services {
	return &Services{rng: rng, endpoints: make(map[string][]view.Service), running: make(map[serviceKey]int)}
}

// SetView replaces the endpoints.
func (s *Services) SetView(v view.View) {
	clear(s.endpoints)
	for _, e := range v.Services {
		s.endpoints[e.Name] = append(s.endpoints[e.Name], e)
	}
}

// Pick chooses an endpoint of a service that is not on an excluded host.
func (s *Services) Pick(name string, exclude map[host.ID]bool) (view.Service, error) {
	s.scratch = s.scratch[:0]
	for _, e := range s.endpoints[name] {
		if !exclude[e.Host] {
			s.scratch = append(s.scratch, e)
		}
	}
	if len(s.scratch) == 0 {
		return view.Service{}, ErrNoService{Name: name}
	}
	i := s.rng.IntN(len(s.scratch))
	if len(s.scratch) == 1 {
		return s.scratch[i], nil
	}
	j := s.rng.IntN(len(s.scratch) - 1)
	if j >= i {
		j++
	}
	a, b := s.scratch[i], s.scratch[j]
	if s.running[keyOf(b)] < s.running[keyOf(a)] {
		return b, nil
	}
	return a, nil
}

// Dispatched records that a call goes to an endpoint.
func (s *Services) Dispatched(e view.Service) { s.running[keyOf(e)]++ }

// Finished records that a call to an endpoint ended.
func (s *Services) Finished(e view.Service) {
	key := keyOf(e)
	s.running[key]--
	if s.running[key] <= 0 {
		delete(s.running, key)
	}
}

func keyOf(e view.Service) serviceKey { return serviceKey{name: e.Name, host: e.Host} }
