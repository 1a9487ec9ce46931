package routing

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/view"
)

// Assumptions about a replica that has not reported yet.
const (
	assumedPrefillRate = 4000.0 // tokens per second
	assumedCapacity    = 32
	assumedDuration    = 4 * time.Second
)

// state is what the Router knows of one replica.
type state struct {
	route view.Route
	// view counts the views up to the last one that named the replica.
	view uint64
	// seed stands for the replica in rendezvous hashing.
	seed uint64
	// basis is the time which the last report describes.
	basis time.Time
	// flights are the own attempts that run there, in the order of dispatch.
	flights []*flight
	// pendingTokens are the prefill tokens of own attempts without a first token;
	// sinceTokens and sinceCount are those of attempts sent after basis.
	pendingTokens float64
	sinceTokens   float64
	sinceCount    int
	suspects      int
	limit         int
	slow          slowness
	// hitTrust is the part of believed hits that the engine confirmed.
	hitTrust average
	// cacheSequence is the last cache event seen. Blocks seen before cacheGapAt
	// are half trusted, blocks seen before cacheLostAt are gone.
	cacheSequence uint64
	cacheGapAt    time.Time
	cacheLostAt   time.Time
	// hit fields belong to the Pick with the same stamp.
	hitStamp  uint64
	hitBlocks int
	hitWeight float64
}

// group is the replicas of one deployment or model.
type group struct {
	members  []*state
	slow     slowness
	duration average
}

// SetView replaces the replicas. A load report with a sequence not seen before
// counts from now less the report lag.
func (r *Router) SetView(now time.Time, v view.View) {
	r.views++
	changed := false
	for i := range v.Routes {
		changed = r.setRoute(now, &v.Routes[i]) || changed
	}
	for id, s := range r.replicas {
		if s.view != r.views {
			r.drop(s)
			delete(r.replicas, id)
			changed = true
		}
	}
	if changed {
		r.regroup()
	}
}

// setRoute takes one route and reports whether the groups change.
func (r *Router) setRoute(now time.Time, route *view.Route) bool {
	s, known := r.replicas[route.Replica.ID]
	if known && (s.route.Incarnation != route.Incarnation || s.route.Replica.Fence != route.Replica.Fence) {
		r.drop(s)
		known = false
	}
	if !known {
		s = &state{seed: seedOf(route.Replica.ID), basis: now.Add(-r.policy.ReportLag)}
		r.replicas[route.Replica.ID] = s
	}
	fresh := !known || route.Load.Sequence != s.route.Load.Sequence
	before, spec := &s.route.Replica.Spec, &route.Replica.Spec
	changed := !known || before.Deployment != spec.Deployment || before.Model != spec.Model
	s.route = *route
	s.view = r.views
	if fresh {
		s.report(now.Add(-r.policy.ReportLag))
	}
	return changed
}

// drop forgets a replica. Its attempts keep their tickets until they finish.
func (r *Router) drop(s *state) { s.cacheLostAt = farFuture }

var farFuture = time.Unix(1<<40, 0)

func (r *Router) regroup() {
	for _, g := range r.models {
		g.members = g.members[:0]
	}
	for _, s := range r.replicas {
		spec := s.route.Replica.Spec
		r.enlist(spec.Deployment, s)
		if spec.Model != spec.Deployment {
			r.enlist(spec.Model, s)
		}
	}
	for name, g := range r.models {
		if len(g.members) == 0 {
			delete(r.models, name)
			continue
		}
		sortMembers(g.members)
	}
}

func (r *Router) enlist(name string, s *state) {
	if name == "" {
		return
	}
	g := r.models[name]
	if g == nil {
		g = &group{}
		r.models[name] = g
	}
	g.members = append(g.members, s)
}

// report takes a load report that describes the time basis.
func (s *state) report(basis time.Time) {
	s.basis = basis
	s.sinceTokens, s.sinceCount = 0, 0
	for _, f := range s.flights {
		if f.at.Before(basis) {
			continue
		}
		s.sinceCount++
		if !f.started {
			s.sinceTokens += f.tokens
		}
	}
}

func (s *state) prefillRate() float64 {
	if s.route.Load.PrefillRate > 0 {
		return s.route.Load.PrefillRate
	}
	return assumedPrefillRate
}

func (s *state) capacity() int {
	if s.route.Load.Capacity > 0 {
		return s.route.Load.Capacity
	}
	return assumedCapacity
}

// backlogTokens predicts the prompt tokens waiting for prefill at now.
func (s *state) backlogTokens(now time.Time) float64 {
	drained := s.prefillRate() * max(0, now.Sub(s.basis).Seconds())
	waiting := float64(s.route.Load.WaitingTokens) + s.sinceTokens - drained
	return max(s.pendingTokens, waiting)
}

// active predicts the requests that run or wait there.
func (s *state) active() int {
	return max(len(s.flights), s.route.Load.Running+s.route.Load.Waiting+s.sinceCount)
}

// queueWait predicts the wait before prefill begins, in seconds.
func (s *state) queueWait(now time.Time, duration time.Duration) float64 {
	wait := s.backlogTokens(now) / s.prefillRate()
	if over := s.active() + 1 - s.capacity(); over > 0 {
		wait += float64(over) * duration.Seconds() / float64(s.capacity())
	}
	return wait + s.stall(now)
}

// stallGrace is how late a first token may be before its replica counts as stalled.
const stallGrace = 500 * time.Millisecond

// stall returns by how many seconds the oldest own attempt without a first token
// is late.
func (s *state) stall(now time.Time) float64 {
	for _, f := range s.flights {
		if f.started {
			continue
		}
		late := now.Sub(f.at) - 2*f.predicted - stallGrace
		return max(0, late.Seconds())
	}
	return 0
}
