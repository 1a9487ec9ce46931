package server

import (
	"fmt"
	"time"

	"github.com/egretreach/egretreach/internal/entry/dispatch"
	"github.com/egretreach/egretreach/internal/entry/execution"
	"github.com/egretreach/egretreach/internal/entry/suspicion"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
)

// minHeldRetryAfter is the least Retry-After of a request that matches a held key.
const minHeldRetryAfter = 2 * time.Second

// setHolds applies control's held keys.
func (sched *scheduler) setHolds(holds message.Holds) {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	sched.observer.SetHolds(holds)
}

// resubscribed makes the next renewal report all crashes that are kept.
func (sched *scheduler) resubscribed() {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	sched.observer.Resubscribed()
}

// allModels is the scope of the generations of all models.
const allModels = ""

// partKeys returns the keys of the shared parts of a request's prompt. The quarantine of bodies concerns the
// whole request.
func partKeys(work dispatch.Work) suspicion.KeySet {
	generation, ok := work.Body.(dispatch.Generation)
	if !ok || len(work.Parts) == 0 {
		return nil
	}
	return suspicion.Identity{Scopes: []string{generation.Model, allModels}, Parts: work.Parts}.PartKeys()
}

// admitHeld returns the refusal of a request because control holds a part of its prompt, or nil. It marks a
// request that control allows as a trial.
func (s *Server) admitHeld(work *dispatch.Work) *execution.Result {
	sched := s.scheduler
	keys := partKeys(*work)
	sched.mu.Lock()
	defer sched.mu.Unlock()
	held, ok := sched.observer.Refuse(keys.All())
	if ok {
		return &execution.Result{
			Outcome: request.OutcomeNotRun, Code: codeQuarantined, Reason: reasonPartHeld, RetryAfter: max(held.For, minHeldRetryAfter),
		}
	}
	work.OnTrial = sched.observer.IsHeld(keys.All())
	return nil
}

// isHeldMeanwhile reports whether control has held a part of the request since it was admitted. mu is held.
func (sched *scheduler) isHeldMeanwhile(work dispatch.Work) bool {
	return !work.OnTrial && sched.observer.IsHeld(partKeys(work).All())
}

// attemptTimes are the times of an attempt that decide whether its request is a suspect of a crash.
type attemptTimes struct{ sentAt, firstTokenAt time.Time }

// lasted returns how long the response has lasted, 0 if it has not begun.
func (t attemptTimes) lasted(now time.Time) time.Duration {
	if t.firstTokenAt.IsZero() {
		return 0
	}
	return now.Sub(t.firstTokenAt)
}

// recordHarm records for control whether an attempt, by its end, completed or may have crashed its engine. mu is held.
func (sched *scheduler) recordHarm(work dispatch.Work, route view.Route, times attemptTimes, end dispatch.AttemptEnd, now time.Time) {
	keys := partKeys(work)
	switch {
	case end.Kind == execution.EndComplete:
		sched.observer.Completed(keys, now)
	case end.Crash != 0:
		engine := fmt.Sprintf("%s/%x", route.Replica.Head(), uint64(route.Incarnation))
		crash := roster.Incarnation{ID: engine, StartedMs: int64(end.Crash)} //nolint:gosec // A count of crashes is small.
		sched.observer.Crashed(crash, suspicion.Broken{Keys: keys, SentAt: times.sentAt, Lasted: times.lasted(now)}, now)
	}
}

// recordLasting records that the response of a generation continues. mu is held.
func (sched *scheduler) recordLasting(work dispatch.Work, times attemptTimes, now time.Time) {
	if lasted := times.lasted(now); lasted > message.SuspectTime {
		sched.observer.Lasts(partKeys(work), lasted, now)
	}
}
