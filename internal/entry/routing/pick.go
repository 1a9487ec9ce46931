package routing

import (
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/egretreach/egretreach/internal/fleet/replica"
)

// candidate is a replica that may take the request, with its score in seconds.
type candidate struct {
	state *state
	score float64
	wait  float64
	slow  float64
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
	matched := r.prefixes.match(now, req.PrefixHashes, scope, r.policy.HitHalfLife, uint64(r.tickets))
	if err := r.collect(g, req); err != nil {
		return Choice{}, err
	}
	best := r.score(now, g, req, matched, uint64(r.tickets))
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
		limited = limited || s.full()
		r.scratch = append(r.scratch, candidate{state: s})
	}
	switch {
	case !known:
		return ErrNoModel{Deployment: req.Deployment}
	case !serving:
		return ErrNoReplica{Deployment: req.Deployment}
	case req.Suspect:
		return r.confine(req)
	}
	if r.join(req.BodyHash) {
		return nil
	}
	if limited {
		r.preferFree()
	}
	return nil
}

// join leaves only the replica where a copy of the body runs, if there is one.
func (r *Router) join(bodyHash uint64) bool {
	holder := r.bodies.holder(bodyHash)
	if holder == nil {
		return false
	}
	i := slices.IndexFunc(r.scratch, func(c candidate) bool { return c.state == holder })
	if i < 0 {
		return false
	}
	r.scratch[0] = r.scratch[i]
	r.scratch = r.scratch[:1]
	return true
}

// confine leaves a suspect only the replica that ranks first for its body, which is
// the same at every entry. So copies of a suspect that are sent through several
// entries cannot crash more than that one, and each runs alone there.
func (r *Router) confine(req Request) error {
	home, homeRank := 0, uint64(0)
	for i, c := range r.scratch {
		if rank := rankOf(req.BodyHash, c.state.seed); i == 0 || rank > homeRank {
			home, homeRank = i, rank
		}
	}
	r.scratch[0] = r.scratch[home]
	r.scratch = r.scratch[:1]
	if r.scratch[0].state.suspects > 0 {
		return ErrSuspectsBusy{Deployment: req.Deployment}
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
func (r *Router) score(now time.Time, g *group, req Request, matched int, stamp uint64) float64 {
	duration := time.Duration(g.duration.or(assumedDuration.Seconds()) * float64(time.Second))
	groupLog := g.slow.decayed(now)
	total := 0.0
	for i := range r.scratch {
		c := &r.scratch[i]
		c.slow = c.state.slow.factor(now, groupLog)
		c.wait = c.state.queueWait(now, duration)
		total += c.wait
	}
	weight := r.prefillWeight(total / float64(len(r.scratch)))
	home, bonus := r.home(req, matched)
	best := math.Inf(1)
	for i := range r.scratch {
		c := &r.scratch[i]
		hit := c.state.hitTokens(req, stamp)
		prefill := (float64(req.PromptTokens) - hit) / c.state.prefillRate()
		c.hit = int(hit)
		c.first = (c.wait + prefill) * c.slow
		c.score = c.first + (weight-1)*prefill*c.slow
		if home[0] == c.state || home[1] == c.state {
			c.score -= bonus / c.state.prefillRate()
		}
		best = min(best, c.score)
	}
	return best
}

// prefillWeight returns what a second of prefill counts against a second of wait.
// Where requests queue, prefill also delays what stands behind it, and a prefix
// that spills over to another replica costs all of them.
func (r *Router) prefillWeight(meanWait float64) float64 {
	return min(maxPrefillWeight, 1+meanWait/r.policy.Congestion.Seconds())
}

const maxPrefillWeight = 16.0

// hitTokens returns how many prompt tokens are believed to be cached on s.
func (s *state) hitTokens(req Request, stamp uint64) float64 {
	if s.hitStamp != stamp || len(req.PrefixHashes) == 0 {
		return 0
	}
	return float64(req.PromptTokens) * s.hitWeight * s.hitTrust.or(1) / float64(len(req.PrefixHashes))
}

// home names two replicas for a prompt by rendezvous hashing (Thaler and
// Ravishankar 1998) on the first block that no replica is known to hold, and the
// bonus of these two in tokens. Entries that do not hear of each other's
// dispatches agree on them.
func (r *Router) home(req Request, matched int) (home [2]*state, bonus float64) {
	left := len(req.PrefixHashes) - matched
	if left < minHomeBlocks {
		return home, 0
	}
	key := req.PrefixHashes[matched]
	var first, second uint64
	for _, c := range r.scratch {
		switch rank := rankOf(key, c.state.seed); {
		case home[0] == nil || rank > first:
			home[1], second = home[0], first
			home[0], first = c.state, rank
		case home[1] == nil || rank > second:
			home[1], second = c.state, rank
		}
	}
	return home, r.policy.Affinity * float64(req.PromptTokens*left) / float64(len(req.PrefixHashes))
}

// minHomeBlocks is the least new part of a prompt that is worth a home.
const minHomeBlocks = 2

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

// draw returns two of the candidates: those that rank first for the body, so that
// copies of one body which reach several entries meet on few replicas.
func (r *Router) draw(near []candidate, bodyHash uint64) (candidate, candidate) {
	if bodyHash == 0 {
		bodyHash = r.rng.Uint64()
	}
	first, second := 0, 0
	var firstRank, secondRank uint64
	for i := range near {
		switch rank := rankOf(bodyHash, near[i].state.seed); {
		case i == 0 || rank > firstRank:
			second, secondRank = first, firstRank
			first, firstRank = i, rank
		case i == 1 || rank > secondRank:
			second, secondRank = i, rank
		}
	}
	return near[first], near[second]
}

// rankOf is the finaliser of SplitMix64 (Steele, Lea and Flood 2014) on two hashes.
func rankOf(a, b uint64) uint64 {
	z := a ^ b
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

func scopeOf(adapter string) uint64 {
	if adapter == "" {
		return 0
	}
	return xxh3.HashString(adapter)
}
