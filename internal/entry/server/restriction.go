package server

import (
	"strings"
	"time"

	"github.com/egretreach/egretreach/internal/entry/execution"
	"github.com/egretreach/egretreach/internal/entry/routing"
	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/fleet/team"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// evacuatedDomains returns the evacuated failure domains that this entry knows of.
func (sched *scheduler) evacuatedDomains() view.Evacuated {
	if sched.evacuated == nil {
		return view.Evacuated{}
	}
	return sched.evacuated()
}

// restriction returns which replicas may get the requests of a team. mu is held.
func (sched *scheduler) restriction(id team.ID) routing.Restriction {
	r := routing.Restriction{Evacuated: sched.evacuatedDomains()}
	if fleet := sched.fleet; fleet != nil && len(fleet.Regions) > 0 {
		t, _ := fleet.Team(id)
		r.InRegion = func(name string, d domain.Failure) bool { return t.Allows(fleet, d) && fleet.DeploymentAllows(name, d) }
	}
	return r
}

// serviceRestriction returns which endpoints of plain services may get the requests of a team. mu is held.
func (sched *scheduler) serviceRestriction(id team.ID) routing.Restriction {
	r := routing.Restriction{Evacuated: sched.evacuatedDomains()}
	if fleet := sched.fleet; fleet != nil && len(fleet.Regions) > 0 {
		t, _ := fleet.Team(id)
		r.InRegion = func(name string, d domain.Failure) bool { return t.Allows(fleet, d) && fleet.ServiceAllows(name, d) }
	}
	return r
}

// refusalUnserved returns the refusal of a team's requests for a model of which no replica serves now, or none that
// the requests may be sent to. It returns nil if there is one. mu is held.
func (sched *scheduler) refusalUnserved(model string, id team.ID) *execution.Result {
	restriction := sched.restriction(id)
	restricted := routing.ErrRestricted{Name: model}
	for i := range sched.view.Routes {
		route := &sched.view.Routes[i]
		if route.Replica.Spec.Model != model || route.Replica.State != replica.StateServing {
			continue
		}
		if restriction.CheckRoute(route, &restricted) {
			return nil
		}
	}
	if restricted.IsEmpty() {
		return &execution.Result{
			Outcome: request.OutcomeNotRun, Code: execution.CodeNoReplica,
			Reason: "no replica of the model serves now", RetryAfter: retryAfterNoReplica,
		}
	}
	return &execution.Result{
		Outcome: request.OutcomeNotRun, Code: codeRestricted, Reason: restricted.Error(), RetryAfter: retryAfterNoReplica,
	}
}

// refuseRestricted refuses the waiting requests that may not be sent to any of the replicas that serve. Requests for
// a model that no replica serves wait, as the replica may return. mu is held.
func (sched *scheduler) refuseRestricted() {
	for model, q := range sched.queues {
		refusals := map[team.ID]*execution.Result{}
		for id, w := range q.waiters {
			refusal, known := refusals[w.request.Team]
			if !known {
				refusal = sched.refusalUnserved(model, w.request.Team)
				refusals[w.request.Team] = refusal
			}
			if refusal != nil && refusal.Code == codeRestricted && q.queue.Cancel(w.request) {
				q.notify(id, admissionResult{restricted: refusal})
			}
		}
	}
}

// evacuationLearned applies a set of evacuated failure domains that has changed to the slots and the waiting requests.
func (s *Server) evacuationLearned() {
	sched := s.scheduler
	sched.mu.Lock()
	defer sched.mu.Unlock()
	evacuated := sched.evacuatedDomains()
	if evacuated.Revision == sched.loggedEvacuation {
		return
	}
	sched.loggedEvacuation = evacuated.Revision
	sched.setSlots(time.Now())
	sched.refuseRestricted()
	names := make([]string, len(evacuated.Domains))
	for i, d := range evacuated.Domains {
		names[i] = string(d)
	}
	event.EvacuationLearned.On(s.opts.Logger).Str("domains", strings.Join(names, ",")).Uint64("revision", evacuated.Revision).Msg("")
}
