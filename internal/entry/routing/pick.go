package routing

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/egretreach/egretreach/internal/fleet/replica"
)

// candidate is a replica that may take the request, with its score in seconds.
type candidate struct {
	state *state
	score float64
	first float64
	hit   int
}

// Pick chooses the replica for a request. It changes nothing that later choices
// depend on until Dispatched is called.
func (r *Router) Pick(now time.Time, req Request) (Choice, error) {
	g := r.models[req.Deployment]
	if g == nil {
		return Choice{}, ErrNoModel{Deployment: req.Deployment}
	}
	scope := scopeOf(req.Adapter)
	r.tickets++
	hits := r.prefixes.match(now, req.PrefixHashes, scope, r.policy.HitHalfLife, uint64(r.tickets))
	if err := r.collect(g, req); err != nil {
		return Choice{}, err
	}
	best := r.score(now, g, req, hits > 0, uint64(r.tickets))
	chosen := r.choose(best, req.BodyHash)
	return Choice{
		Route:      chosen.state.route,
		FirstToken: time.Duration(chosen.first * float64(time.Second)),
		HitTokens:  chosen.hit,
	}, nil
}

// collect fills scratch with the replicas that may take the request.
func (r *Router) collect(g *group, req Request) error {
	r.scratch = r.scratch[:0]
	known, serving, limited := false, false, false
	for _, s := range g.members {
		if !s.offers(req) {
			continue
		}
		known = true
		if s.route.Replica.State != replica.StateServing || req.Exclude[s.route.Replica.ID] {
			continue
		}
		serving = true
		if req.Suspect && s.suspects > 0 {
			continue
		}
		limited = limited || s.full()
		r.scratch = append(r.scratch, candidate{state: s})
	}
	switch {
	case !known:
		return ErrNoModel{Deployment: req.Deployment}
	case !serving:
		return ErrNoReplica{Deployment: req.Deployment}
	case len(r.scratch) == 0:
		return ErrSuspectsBusy{Deployment: req.Deployment}
	}
	if limited {
		r.preferFree()
	}
	return nil
}

// preferFree drops the replicas at their concurrency limit, unless all are.
func (r *Router) preferFree() {
	for _, c := range r.scratch {
		if !c.state.full() {
			r.scratch = slices.DeleteFunc(r.scratch, func(c candidate) bool { return c.state.full() })
			return
		}
	}
}

func (s *state) full() bool { return s.limit > 0 && len(s.flights) >= s.limit }

// roleMixed is the role of an engine that both prefills and decodes.
const roleMixed = "mixed"

func (s *state) offers(req Request) bool {
	spec := &s.route.Replica.Spec
	if req.Version != "" && spec.Version != req.Version {
		return false
	}
	if req.Adapter != "" && !slices.Contains(spec.Adapters, req.Adapter) {
		return false
	}
	anyRole := req.Role == "" || spec.Role == "" || spec.Role == roleMixed
	return anyRole || spec.Role == req.Role
}

// score fills in the scores of scratch and returns the best one.
func (r *Router) score(now time.Time, g *group, req Request, hits bool, stamp uint64) float64 {
	duration := time.Duration(g.duration.or(assumedDuration.Seconds()) * float64(time.Second))
	groupLog := g.slow.decayed(now)
	home := r.home(req, hits)
	best := 0.0
	for i := range r.scratch {
		c := &r.scratch[i]
		s := c.state
		hit := s.hitTokens(req, stamp)
		prefill := (float64(req.PromptTokens) - hit) / s.prefillRate()
		c.hit = int(hit)
		c.first = (s.queueWait(now, duration) + prefill) * s.slow.factor(now, groupLog)
		c.score = c.first
		if home[0] == s || home[1] == s {
			c.score -= r.policy.Affinity.Seconds()
		}
		if i == 0 || c.score < best {
			best = c.score
		}
	}
	return best
}

// hitTokens returns how many prompt tokens are believed to be cached on s.
func (s *state) hitTokens(req Request, stamp uint64) float64 {
	if s.hitStamp != stamp || len(req.PrefixHashes) == 0 {
		return 0
	}
	return float64(req.PromptTokens) * s.hitWeight / float64(len(req.PrefixHashes))
}

// home names two replicas for a prefix that no replica is known to hold, by
// rendezvous hashing (Thaler and Ravishankar 1998). Entries that do not hear of
// each other's dispatches agree on them.
func (r *Router) home(req Request, hits bool) [2]*state {
	var home [2]*state
	if hits || len(req.PrefixHashes) == 0 {
		return home
	}
	key := req.PrefixHashes[0]
	var first, second uint64
	for _, c := range r.scratch {
		switch rank := mix(key, c.state.seed); {
		case home[0] == nil || rank > first:
			home[1], second = home[0], first
			home[0], first = c.state, rank
		case home[1] == nil || rank > second:
			home[1], second = c.state, rank
		}
	}
	return home
}

// choose draws two of the candidates close to the best and returns the better.
func (r *Router) choose(best float64, bodyHash uint64) candidate {
	bound := best + r.policy.Slack.Seconds() + r.policy.SlackRatio*max(0, best)
	near := r.scratch[:0]
	for _, c := range r.scratch {
		if c.score <= bound {
			near = append(near, c)
		}
	}
	a, b := r.draw(near, bodyHash)
	if b.score < a.score {
		return b
	}
	return a
}

// draw returns two of the candidates, the same for equal bodies.
func (r *Router) draw(near []candidate, bodyHash uint64) (candidate, candidate) {
	if len(near) == 1 {
		return near[0], near[0]
	}
	if bodyHash == 0 {
		bodyHash = r.rng.Uint64()
	}
	i := int(bodyHash % uint64(len(near)))
	j := int((bodyHash >> 32) % uint64(len(near)-1))
	if j >= i {
		j++
	}
	return near[i], near[j]
}

func scopeOf(adapter string) uint64 {
	if adapter == "" {
		return 0
	}
	return xxh3.HashString(adapter)
}
