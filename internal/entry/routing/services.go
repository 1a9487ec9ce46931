package routing

import (
	"math/rand/v2"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/view"
)

// Services routes calls to plain services. It draws two endpoints at random and takes
// the one with fewer calls of this entry in flight. Create it with NewServices.
type Services struct {
	rng        *rand.Rand
	endpoints  map[string][]view.Service
	inFlight   map[serviceKey]int
	candidates []view.Service
}

type serviceKey struct {
	name string
	host host.ID
}

// NewServices returns a Services without endpoints. It takes random numbers from rng.
func NewServices(rng *rand.Rand) *Services {
	return &Services{rng: rng, endpoints: make(map[string][]view.Service), inFlight: make(map[serviceKey]int)}
}

// SetView replaces the endpoints.
func (s *Services) SetView(v view.View) {
	clear(s.endpoints)
	for _, e := range v.Services {
		s.endpoints[e.Name] = append(s.endpoints[e.Name], e)
	}
}

// Pick chooses an endpoint of a service that the restriction allows, on a host that is not
// excluded. It returns ErrRestricted if the restriction allows none, and ErrNoEndpoint if
// there is none for another reason.
func (s *Services) Pick(name string, exclude map[host.ID]bool, restriction Restriction) (view.Service, error) {
	s.candidates = s.candidates[:0]
	usable, restricted := false, ErrRestricted{Name: name}
	for i := range s.endpoints[name] {
		e := &s.endpoints[name][i]
		if x := restriction.excludeService(e); x != "" {
			restricted.count(x)
			continue
		}
		usable = true
		if !exclude[e.Host] {
			s.candidates = append(s.candidates, *e)
		}
	}
	if !usable && !restricted.IsEmpty() {
		return view.Service{}, restricted
	}
	if len(s.candidates) == 0 {
		return view.Service{}, ErrNoEndpoint{Name: name}
	}
	i := s.rng.IntN(len(s.candidates))
	if len(s.candidates) == 1 {
		return s.candidates[i], nil
	}
	j := s.rng.IntN(len(s.candidates) - 1)
	if j >= i {
		j++
	}
	a, b := s.candidates[i], s.candidates[j]
	if s.inFlight[keyOf(b)] < s.inFlight[keyOf(a)] {
		return b, nil
	}
	return a, nil
}

// Dispatched records that a call is sent to an endpoint.
func (s *Services) Dispatched(e view.Service) { s.inFlight[keyOf(e)]++ }

// Finished records the end of a call to an endpoint.
func (s *Services) Finished(e view.Service) {
	key := keyOf(e)
	s.inFlight[key]--
	if s.inFlight[key] <= 0 {
		delete(s.inFlight, key)
	}
}

func keyOf(e view.Service) serviceKey { return serviceKey{name: e.Name, host: e.Host} }
