package routing

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/view"
)

// Assumptions about a replica that has not reported its load yet.
const (
	assumedPrefillRate = 4000.0 // tokens per second
	assumedCapacity    = 32
	assumedDuration    = 4 * time.Second
)

// replicaState is the Router's state of one replica.
type replicaState struct {
	route view.Route
	// lastView is the Router's viewCount at the last view that listed the replica.
	lastView uint64
	// idHash identifies the replica in rendezvous hashing.
	idHash uint64
	// reportTime is the time that the last load report describes.
	reportTime time.Time
	// attempts are the attempts of this entry that run on the replica, in dispatch
	// order.
	attempts []*attempt
	// pendingTokens counts the prefill tokens of attempts without a first token.
	// tokensSinceReport and attemptsSinceReport cover the attempts dispatched after
	// reportTime.
	pendingTokens       float64
	tokensSinceReport   float64
	attemptsSinceReport int
	suspects            int
	concurrencyLimit    int
	slowness            slowness
	// hitAccuracy is the part of the expected cache hits that the engine confirmed.
	hitAccuracy average
	// cacheSequence is the sequence number of the last cache event. Blocks seen before
	// cacheGapAt count half, blocks seen before cacheClearedAt not at all.
	cacheSequence  uint64
	cacheGapAt     time.Time
	cacheClearedAt time.Time
	// matchedBlocks and matchWeight belong to the Pick call with this matchID.
	matchID       uint64
	matchedBlocks int
	matchWeight   float64
}

// group holds the replicas of one deployment or model.
type group struct {
	replicas     []*replicaState
	slowness     slowness
	meanDuration average
}

// SetView replaces the replicas. A load report with a new sequence number is assumed to describe
// the time now minus Policy.ReportLag.
func (r *Router) SetView(now time.Time, v view.View) {
	r.viewCount++
	changed := false
	for i := range v.Routes {
		changed = r.setRoute(now, &v.Routes[i]) || changed
	}
	for id, s := range r.replicas {
		if s.lastView != r.viewCount {
			r.drop(s)
			delete(r.replicas, id)
			changed = true
		}
	}
	if changed {
		r.rebuildGroups()
	}
}

// setRoute adds or updates the replica of a route. It reports whether the groups
// change.
func (r *Router) setRoute(now time.Time, route *view.Route) bool {
	s, known := r.replicas[route.Replica.ID]
	if known && (s.route.Incarnation != route.Incarnation || s.route.Replica.Fence != route.Replica.Fence) {
		r.drop(s)
		known = false
	}
	if !known {
		s = &replicaState{idHash: hashID(route.Replica.ID), reportTime: now.Add(-r.policy.ReportLag)}
		r.replicas[route.Replica.ID] = s
	}
	newReport := !known || route.Load.Sequence != s.route.Load.Sequence
	oldSpec, newSpec := &s.route.Replica.Spec, &route.Replica.Spec
	changed := !known || oldSpec.Deployment != newSpec.Deployment || oldSpec.Model != newSpec.Model
	s.route = *route
	s.lastView = r.viewCount
	if newReport {
		s.applyReport(now.Add(-r.policy.ReportLag))
	}
	return changed
}

// drop invalidates the records of a replica's cache. Its attempts stay registered until they
// finish.
func (r *Router) drop(s *replicaState) { s.cacheClearedAt = farFuture }

var farFuture = time.Unix(1<<40, 0)

func (r *Router) rebuildGroups() {
	for _, g := range r.groups {
		g.replicas = g.replicas[:0]
	}
	for _, s := range r.replicas {
		spec := s.route.Replica.Spec
		r.addToGroup(spec.Deployment, s)
		if spec.Model != spec.Deployment {
			r.addToGroup(spec.Model, s)
		}
	}
	for name, g := range r.groups {
		if len(g.replicas) == 0 {
			delete(r.groups, name)
			continue
		}
		sortReplicas(g.replicas)
	}
}

func (r *Router) addToGroup(name string, s *replicaState) {
	if name == "" {
		return
	}
	g := r.groups[name]
	if g == nil {
		g = &group{}
		r.groups[name] = g
	}
	g.replicas = append(g.replicas, s)
}

// applyReport restarts the counts since the last load report at a new one, which describes
// the time reportTime.
func (s *replicaState) applyReport(reportTime time.Time) {
	s.reportTime = reportTime
	s.tokensSinceReport, s.attemptsSinceReport = 0, 0
	for _, a := range s.attempts {
		if a.dispatchedAt.Before(reportTime) {
			continue
		}
		s.attemptsSinceReport++
		if !a.firstTokenSeen {
			s.tokensSinceReport += a.prefillTokens
		}
	}
}

func (s *replicaState) prefillRate() float64 {
	if s.route.Load.PrefillRate > 0 {
		return s.route.Load.PrefillRate
	}
	return assumedPrefillRate
}

func (s *replicaState) capacity() int {
	if s.route.Load.Capacity > 0 {
		return s.route.Load.Capacity
	}
	return assumedCapacity
}

// backlogTokens predicts the number of prompt tokens that wait for prefill at now.
func (s *replicaState) backlogTokens(now time.Time) float64 {
	drained := s.prefillRate() * max(0, now.Sub(s.reportTime).Seconds())
	waiting := float64(s.route.Load.WaitingTokens) + s.tokensSinceReport - drained
	return max(s.pendingTokens, waiting)
}

// activeRequests predicts the number of requests that run or wait on the replica.
func (s *replicaState) activeRequests() int {
	return max(len(s.attempts), s.route.Load.Running+s.route.Load.Waiting+s.attemptsSinceReport)
}

// queueWait predicts the wait before prefill starts, in seconds.
func (s *replicaState) queueWait(now time.Time, meanDuration time.Duration) float64 {
	wait := s.backlogTokens(now) / s.prefillRate()
	if excess := s.activeRequests() + 1 - s.capacity(); excess > 0 {
		wait += float64(excess) * meanDuration.Seconds() / float64(s.capacity())
	}
	return wait + s.overdue(now)
}

// overdueGrace is how late a first token may be, on top of twice its prediction, before
// the replica counts as stalled.
const overdueGrace = 500 * time.Millisecond

// overdue returns by how many seconds the oldest attempt without a first token is late.
func (s *replicaState) overdue(now time.Time) float64 {
	for _, a := range s.attempts {
		if a.firstTokenSeen {
			continue
		}
		late := now.Sub(a.dispatchedAt) - 2*a.predictedTTFT - overdueGrace
		return max(0, late.Seconds())
	}
	return 0
}
