package routing

import (
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/replica"
)

// Ticket names one attempt from its dispatch to its end.
type Ticket uint64

// flight is one own attempt.
type flight struct {
	state     *state
	group     *group
	at        time.Time
	tokens    float64
	predicted time.Duration
	started   bool
	suspect   bool
	body      uint64
	// hashes and scope are kept until it is known what was cached.
	hashes []uint64
	scope  uint64
	prompt int
	hit    int
}

// Dispatched records that the request goes to the chosen replica.
func (r *Router) Dispatched(now time.Time, req Request, choice Choice) Ticket {
	r.tickets++
	ticket := r.tickets
	s := r.replicas[choice.Route.Replica.ID]
	if s == nil {
		return ticket
	}
	f := &flight{
		state: s, group: r.models[req.Deployment], at: now,
		tokens:    float64(max(0, req.PromptTokens-choice.HitTokens)),
		predicted: choice.FirstToken, suspect: req.Suspect, body: req.BodyHash,
		hashes: req.PrefixHashes, scope: scopeOf(req.Adapter),
		prompt: req.PromptTokens, hit: choice.HitTokens,
	}
	r.flights[ticket] = f
	s.flights = append(s.flights, f)
	s.pendingTokens += f.tokens
	s.sinceTokens += f.tokens
	s.sinceCount++
	if f.suspect {
		s.suspects++
	}
	for _, hash := range f.hashes {
		r.prefixes.add(scoped(hash, f.scope), s, now)
	}
	r.bodies.begin(f)
	return ticket
}

// FirstToken records that the attempt's first token came.
func (r *Router) FirstToken(now time.Time, ticket Ticket) {
	f := r.flights[ticket]
	if f == nil || f.started {
		return
	}
	f.settle()
	observed := now.Sub(f.at)
	f.state.slow.add(now, observed, f.predicted)
	if f.group != nil {
		f.group.slow.add(now, observed, f.predicted)
	}
}

// settle takes the attempt out of the tokens that wait for prefill.
func (f *flight) settle() {
	if f.started {
		return
	}
	f.started = true
	s := f.state
	s.pendingTokens = max(0, s.pendingTokens-f.tokens)
	if !f.at.Before(s.basis) {
		s.sinceTokens = max(0, s.sinceTokens-f.tokens)
	}
}

// Result is how an attempt ended.
type Result struct {
	// Complete says that the whole answer came.
	Complete bool
	// CachedTokens is the number of prompt tokens the engine found in its cache, 0 if
	// it did not say.
	CachedTokens int
}

// Finished records that the attempt ended, however it did.
func (r *Router) Finished(now time.Time, ticket Ticket, result Result) {
	f := r.flights[ticket]
	if f == nil {
		return
	}
	delete(r.flights, ticket)
	f.settle()
	s := f.state
	if i := slices.Index(s.flights, f); i >= 0 {
		s.flights = slices.Delete(s.flights, i, i+1)
	}
	if !f.at.Before(s.basis) {
		s.sinceCount--
	}
	if f.suspect {
		s.suspects--
	}
	r.bodies.end(f, result.Complete)
	if !result.Complete {
		r.forget(f)
		return
	}
	if f.hit > 0 && result.CachedTokens > 0 {
		s.hitTrust.add(min(1, float64(result.CachedTokens)/float64(f.hit)))
	}
	if f.group != nil {
		f.group.duration.add(now.Sub(f.at).Seconds())
	}
}

// forget drops the belief that the attempt left its prefix in the cache.
func (r *Router) forget(f *flight) {
	if f.hit > 0 {
		return
	}
	for _, hash := range f.hashes {
		r.prefixes.remove(scoped(hash, f.scope), f.state)
	}
}

// CacheEvent is an engine's word on its prefix cache. It comes late, and some
// events never come.
type CacheEvent struct {
	Replica replica.ID
	// Sequence grows by one with each event of a replica.
	Sequence uint64
	Adapter  string
	Stored   []uint64
	Evicted  []uint64
	// Cleared says that the cache is empty.
	Cleared bool
}

// Cached takes a cache event. After a gap in the sequence, blocks seen before are
// half trusted, since their eviction may have been lost.
func (r *Router) Cached(now time.Time, event CacheEvent) {
	s := r.replicas[event.Replica]
	if s == nil || event.Sequence <= s.cacheSequence {
		return
	}
	if s.cacheSequence != 0 && event.Sequence != s.cacheSequence+1 {
		s.cacheGapAt = now
	}
	s.cacheSequence = event.Sequence
	if event.Cleared {
		s.cacheLostAt = now
	}
	scope := scopeOf(event.Adapter)
	for _, hash := range event.Evicted {
		r.prefixes.remove(scoped(hash, scope), s)
	}
	for _, hash := range event.Stored {
		r.prefixes.add(scoped(hash, scope), s, now)
	}
}

// SetLimit bounds the own attempts that run on a replica at once; 0 is no bound.
func (r *Router) SetLimit(id replica.ID, limit int) {
	if s := r.replicas[id]; s != nil {
		s.limit = limit
	}
}

// InFlight returns the number of own attempts that run on a replica.
func (r *Router) InFlight(id replica.ID) int {
	if s := r.replicas[id]; s != nil {
		return len(s.flights)
	}
	return 0
}
