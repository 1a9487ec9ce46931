package routing

import (
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/replica"
)

// AttemptID identifies one attempt from its dispatch to its end.
type AttemptID uint64

// attempt is an attempt of this entry that is in flight.
type attempt struct {
	replica        *replicaState
	group          *group
	dispatchedAt   time.Time
	prefillTokens  float64
	predictedTTFT  time.Duration
	firstTokenSeen bool
	suspect        bool
	bodyHash       uint64
	// prefixHashes and scope are needed at the end of the attempt, to correct the
	// prefix index.
	prefixHashes []uint64
	scope        uint64
	promptTokens int
	hitTokens    int
}

// Dispatched records that the request is sent to the chosen replica.
func (r *Router) Dispatched(now time.Time, req Request, choice Choice) AttemptID {
	r.lastID++
	id := r.lastID
	s := r.replicas[choice.Route.Replica.ID]
	if s == nil {
		return id
	}
	a := &attempt{
		replica: s, group: r.groups[req.Deployment], dispatchedAt: now,
		prefillTokens: float64(max(0, req.PromptTokens-choice.HitTokens)),
		predictedTTFT: choice.PredictedTTFT, suspect: req.Suspect, bodyHash: req.BodyHash,
		prefixHashes: req.PrefixHashes, scope: adapterScope(req.Adapter),
		promptTokens: req.PromptTokens, hitTokens: choice.HitTokens,
	}
	r.attempts[id] = a
	s.attempts = append(s.attempts, a)
	s.pendingTokens += a.prefillTokens
	s.tokensSinceReport += a.prefillTokens
	s.attemptsSinceReport++
	if a.suspect {
		s.suspects++
	}
	for _, hash := range a.prefixHashes {
		r.prefixes.add(scopedHash(hash, a.scope), s, now)
	}
	r.bodyAffinity.begin(a)
	return id
}

// FirstToken records the arrival of the attempt's first token.
func (r *Router) FirstToken(now time.Time, id AttemptID) {
	a := r.attempts[id]
	if a == nil || a.firstTokenSeen {
		return
	}
	a.removePending()
	observed := now.Sub(a.dispatchedAt)
	a.replica.slowness.add(now, observed, a.predictedTTFT)
	if a.group != nil {
		a.group.slowness.add(now, observed, a.predictedTTFT)
	}
}

// removePending subtracts the attempt from the tokens that wait for prefill.
func (a *attempt) removePending() {
	if a.firstTokenSeen {
		return
	}
	a.firstTokenSeen = true
	s := a.replica
	s.pendingTokens = max(0, s.pendingTokens-a.prefillTokens)
	if !a.dispatchedAt.Before(s.reportTime) {
		s.tokensSinceReport = max(0, s.tokensSinceReport-a.prefillTokens)
	}
}

// Result describes how an attempt ended.
type Result struct {
	// Complete is true if the whole answer arrived.
	Complete bool
	// CachedTokens is the number of prompt tokens that the engine found in its cache;
	// zero or less if the engine did not report it.
	CachedTokens int
}

// Finished records the end of the attempt, whether or not it succeeded.
func (r *Router) Finished(now time.Time, id AttemptID, result Result) {
	a := r.attempts[id]
	if a == nil {
		return
	}
	delete(r.attempts, id)
	a.removePending()
	s := a.replica
	if i := slices.Index(s.attempts, a); i >= 0 {
		s.attempts = slices.Delete(s.attempts, i, i+1)
	}
	if !a.dispatchedAt.Before(s.reportTime) {
		s.attemptsSinceReport--
	}
	if a.suspect {
		s.suspects--
	}
	r.bodyAffinity.end(a, result.Complete)
	if !result.Complete {
		r.removePrefix(a)
		return
	}
	if a.hitTokens > 0 && result.CachedTokens > 0 {
		s.hitAccuracy.add(min(1, float64(result.CachedTokens)/float64(a.hitTokens)))
	}
	if a.group != nil {
		a.group.meanDuration.add(now.Sub(a.dispatchedAt).Seconds())
	}
}

// removePrefix removes the blocks of a failed attempt from the prefix index, as the
// replica may not have cached them. Blocks stay if the replica was expected to hold
// part of the prefix before the attempt.
func (r *Router) removePrefix(a *attempt) {
	if a.hitTokens > 0 {
		return
	}
	for _, hash := range a.prefixHashes {
		r.prefixes.remove(scopedHash(hash, a.scope), a.replica)
	}
}

// CacheEvent is an engine's report of changes to its prefix cache. Events arrive late,
// and some are lost.
type CacheEvent struct {
	Replica replica.ID
	// Sequence increases by one with each event of a replica.
	Sequence uint64
	Adapter  string
	Stored   []uint64
	Evicted  []uint64
	// Cleared is true if the engine cleared its cache.
	Cleared bool
}

// ApplyCacheEvent applies a cache event to the prefix index. After a gap in the sequence, blocks
// seen before it count half, since the event that reported their eviction may have been
// lost.
func (r *Router) ApplyCacheEvent(now time.Time, event CacheEvent) {
	s := r.replicas[event.Replica]
	if s == nil || event.Sequence <= s.cacheSequence {
		return
	}
	if s.cacheSequence != 0 && event.Sequence != s.cacheSequence+1 {
		s.cacheGapAt = now
	}
	s.cacheSequence = event.Sequence
	if event.Cleared {
		s.cacheClearedAt = now
	}
	scope := adapterScope(event.Adapter)
	for _, hash := range event.Evicted {
		r.prefixes.remove(scopedHash(hash, scope), s)
	}
	for _, hash := range event.Stored {
		r.prefixes.add(scopedHash(hash, scope), s, now)
	}
}

// SetLimit bounds the attempts of this entry that run on a replica at once; 0 means
// unlimited.
func (r *Router) SetLimit(id replica.ID, limit int) {
	if s := r.replicas[id]; s != nil {
		s.concurrencyLimit = limit
	}
}

// InFlight returns the number of attempts of this entry that run on a replica.
func (r *Router) InFlight(id replica.ID) int {
	if s := r.replicas[id]; s != nil {
		return len(s.attempts)
	}
	return 0
}
