package routing

import (
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/egretreach/egretreach/internal/fleet/replica"
)

// candidate is a replica that may take the request. The score, wait and ttft are in
// seconds; a lower score is better.
type candidate struct {
	replica   *replicaState
	score     float64
	wait      float64
	slowness  float64
	ttft      float64
	hitTokens int
}

// Pick chooses the replica for a request. It changes nothing that later choices depend
// on; Dispatched does.
func (r *Router) Pick(now time.Time, req Request) (Choice, error) {
	g := r.groups[req.Deployment]
	if g == nil {
		return Choice{}, ErrNoModel{Deployment: req.Deployment}
	}
	scope := adapterScope(req.Adapter)
	r.lastID++
	matched := r.prefixes.match(now, req.PrefixHashes, scope, r.policy.HitHalfLife, uint64(r.lastID))
	if err := r.collectCandidates(g, req); err != nil {
		return Choice{}, err
	}
	best := r.score(now, g, req, matched, uint64(r.lastID))
	chosen := r.chooseNearBest(best, req.BodyHash)
	return Choice{
		Route:         chosen.replica.route,
		PredictedTTFT: time.Duration(chosen.ttft * float64(time.Second)),
		HitTokens:     chosen.hitTokens,
	}, nil
}

// collectCandidates sets r.candidates to the replicas that may take the request.
func (r *Router) collectCandidates(g *group, req Request) error {
	r.candidates = r.candidates[:0]
	matching, usable, serving, anyAtLimit := false, false, false, false
	restricted := ErrRestricted{Name: req.Deployment}
	for _, s := range g.replicas {
		if !s.matches(req) {
			continue
		}
		matching = true
		if s.route.Replica.State != replica.StateServing {
			continue
		}
		if !req.Restriction.CheckRoute(&s.route, &restricted) {
			continue
		}
		usable = true
		if req.Exclude[s.route.Replica.ID] {
			continue
		}
		serving = true
		anyAtLimit = anyAtLimit || s.atLimit()
		r.candidates = append(r.candidates, candidate{replica: s})
	}
	switch {
	case !matching:
		return ErrNoModel{Deployment: req.Deployment}
	case !usable && !restricted.IsEmpty():
		return restricted
	case !serving:
		return ErrNoReplica{Deployment: req.Deployment}
	case req.Suspect:
		return r.restrictSuspect(req)
	}
	if r.restrictToCopies(req.BodyHash) {
		return nil
	}
	if anyAtLimit {
		r.preferBelowLimit()
	}
	return nil
}

// restrictToCopies keeps only the candidate on which a copy of the body runs. It
// reports false and changes nothing if there is none.
func (r *Router) restrictToCopies(bodyHash uint64) bool {
	target := r.bodyAffinity.replicaRunning(bodyHash)
	if target == nil {
		return false
	}
	i := slices.IndexFunc(r.candidates, func(c candidate) bool { return c.replica == target })
	if i < 0 {
		return false
	}
	r.candidates[0] = r.candidates[i]
	r.candidates = r.candidates[:1]
	return true
}

// restrictSuspect keeps only the candidate that ranks first for the body of a suspect
// request. All entries rank replicas alike, so copies of a suspect sent through several
// entries can crash only that replica, and each runs there alone.
func (r *Router) restrictSuspect(req Request) error {
	preferred, preferredRank := 0, uint64(0)
	for i, c := range r.candidates {
		if rank := rendezvousRank(req.BodyHash, c.replica.idHash); i == 0 || rank > preferredRank {
			preferred, preferredRank = i, rank
		}
	}
	r.candidates[0] = r.candidates[preferred]
	r.candidates = r.candidates[:1]
	if r.candidates[0].replica.suspects > 0 {
		return ErrSuspectRunning{Deployment: req.Deployment}
	}
	return nil
}

// preferBelowLimit removes the candidates at their concurrency limit, unless all of
// them are.
func (r *Router) preferBelowLimit() {
	for _, c := range r.candidates {
		if !c.replica.atLimit() {
			r.candidates = slices.DeleteFunc(r.candidates, func(c candidate) bool { return c.replica.atLimit() })
			return
		}
	}
}

func (s *replicaState) atLimit() bool {
	return s.concurrencyLimit > 0 && len(s.attempts) >= s.concurrencyLimit
}

// roleMixed is the role of an engine that does both prefill and decode.
const roleMixed = "mixed"

func (s *replicaState) matches(req Request) bool {
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

// score sets the scores of r.candidates and returns the lowest.
func (r *Router) score(now time.Time, g *group, req Request, matched int, matchID uint64) float64 {
	meanDuration := time.Duration(g.meanDuration.valueOr(assumedDuration.Seconds()) * float64(time.Second))
	groupLogRatio := g.slowness.decayed(now)
	total := 0.0
	for i := range r.candidates {
		c := &r.candidates[i]
		c.slowness = c.replica.slowness.factor(now, groupLogRatio)
		c.wait = c.replica.queueWait(now, meanDuration)
		total += c.wait
	}
	weight := r.prefillWeight(total / float64(len(r.candidates)))
	preferred, bonusTokens := r.affinityReplicas(req, matched)
	best := math.Inf(1)
	for i := range r.candidates {
		c := &r.candidates[i]
		hit := c.replica.expectedHitTokens(req, matchID)
		prefill := (float64(req.PromptTokens) - hit) / c.replica.prefillRate()
		c.hitTokens = int(hit)
		c.ttft = (c.wait + prefill) * c.slowness
		c.score = c.ttft + (weight-1)*prefill*c.slowness
		if preferred[0] == c.replica || preferred[1] == c.replica {
			c.score -= bonusTokens / c.replica.prefillRate()
		}
		best = min(best, c.score)
	}
	return best
}

// prefillWeight returns how much a second of prefill counts compared to a second of waiting. While
// requests queue, prefill also delays the requests behind it, and a prefix that is sent to another
// replica has to be computed there again, which delays all requests.
func (r *Router) prefillWeight(meanWait float64) float64 {
	return min(maxPrefillWeight, 1+meanWait/r.policy.CongestionWait.Seconds())
}

const maxPrefillWeight = 16.0

// expectedHitTokens returns how many prompt tokens are expected to be in the cache of
// s.
func (s *replicaState) expectedHitTokens(req Request, matchID uint64) float64 {
	if s.matchID != matchID || len(req.PrefixHashes) == 0 {
		return 0
	}
	return float64(req.PromptTokens) * s.matchWeight * s.hitAccuracy.valueOr(1) / float64(len(req.PrefixHashes))
}

// affinityReplicas chooses two replicas for a prompt by rendezvous hashing (Thaler and
// Ravishankar 1998) on the first block that no replica is known to hold. It returns
// them with the bonus that they get, in tokens. Entries that do not know of each
// other's dispatches choose the same two.
func (r *Router) affinityReplicas(req Request, matched int) (preferred [2]*replicaState, bonusTokens float64) {
	newBlocks := len(req.PrefixHashes) - matched
	if newBlocks < minAffinityBlocks {
		return preferred, 0
	}
	key := req.PrefixHashes[matched]
	var first, second uint64
	for _, c := range r.candidates {
		switch rank := rendezvousRank(key, c.replica.idHash); {
		case preferred[0] == nil || rank > first:
			preferred[1], second = preferred[0], first
			preferred[0], first = c.replica, rank
		case preferred[1] == nil || rank > second:
			preferred[1], second = c.replica, rank
		}
	}
	return preferred, r.policy.Affinity * float64(req.PromptTokens*newBlocks) / float64(len(req.PrefixHashes))
}

// minAffinityBlocks is the least number of new blocks in a prompt for which replicas
// get an affinity bonus.
const minAffinityBlocks = 2

// chooseNearBest takes two of the candidates whose score is close to the best and
// returns the better one.
func (r *Router) chooseNearBest(best float64, bodyHash uint64) candidate {
	bound := best + r.policy.Slack.Seconds() + r.policy.SlackRatio*max(0, best)
	nearBest := r.candidates[:0]
	for _, c := range r.candidates {
		if c.score <= bound {
			nearBest = append(nearBest, c)
		}
	}
	a, b := r.drawTwo(nearBest, bodyHash)
	if b.score < a.score {
		return b
	}
	return a
}

// drawTwo returns the two candidates that rank first for the body, so that copies of
// one body that reach several entries go to few replicas. Without a body hash the two
// are random.
func (r *Router) drawTwo(nearBest []candidate, bodyHash uint64) (candidate, candidate) {
	if bodyHash == 0 {
		bodyHash = r.rng.Uint64()
	}
	first, second := 0, 0
	var firstRank, secondRank uint64
	for i := range nearBest {
		switch rank := rendezvousRank(bodyHash, nearBest[i].replica.idHash); {
		case i == 0 || rank > firstRank:
			second, secondRank = first, firstRank
			first, firstRank = i, rank
		case i == 1 || rank > secondRank:
			second, secondRank = i, rank
		}
	}
	return nearBest[first], nearBest[second]
}

// rendezvousRank mixes two hashes with the finaliser of SplitMix64 (Steele, Lea and
// Flood 2014).
func rendezvousRank(a, b uint64) uint64 {
	z := a ^ b
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

func adapterScope(adapter string) uint64 {
	if adapter == "" {
		return 0
	}
	return xxh3.HashString(adapter)
}
