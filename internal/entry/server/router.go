package server

import (
	"context"
	"time"

	"github.com/egretreach/egretreach/internal/entry/dispatch"
	"github.com/egretreach/egretreach/internal/entry/execution"
	"github.com/egretreach/egretreach/internal/entry/routing"
	"github.com/egretreach/egretreach/internal/entry/suspicion"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
)

const (
	// retryAfterSuspect is the Retry-After of a suspect request while another one runs.
	retryAfterSuspect = time.Second
	clearedTimeout    = 3 * time.Second

	minFirstTokenTimeout    = 5 * time.Second
	firstTokenTimeoutFactor = 4

	codeRestricted    = "no_allowed_endpoint"
	codeQuarantined   = "quarantined"
	reasonQuarantined = "this request has crashed endpoints and is held back"
	reasonPartHeld    = "requests that share a part of the prompt have crashed endpoints and are held back"
)

// Route implements dispatch.Router.
func (s *Server) Route(now time.Time, work dispatch.Work, exclude map[host.ID]bool) (dispatch.Route, error) {
	s.scheduler.mu.Lock()
	defer s.scheduler.mu.Unlock()
	switch body := work.Body.(type) {
	case dispatch.Generation:
		return s.routeGeneration(now, work, body, exclude)
	case dispatch.ServiceCall:
		return s.routeService(work, body, exclude)
	}
	return dispatch.Route{}, dispatch.ErrUnroutable{Code: execution.CodeEndpointFailed, Final: true}
}

func (s *Server) routeGeneration(now time.Time, work dispatch.Work, body dispatch.Generation, exclude map[host.ID]bool) (dispatch.Route, error) {
	sched := s.scheduler
	switch v := sched.suspects.Check(now, work.BodyHash).(type) {
	case suspicion.Quarantined:
		return dispatch.Route{}, dispatch.ErrUnroutable{
			Code: codeQuarantined, Reason: reasonQuarantined, RetryAfter: v.RetryAfter, Final: true,
		}
	case suspicion.Suspect:
		work.Suspect = true
	}
	if sched.isHeldMeanwhile(work) {
		return dispatch.Route{}, dispatch.ErrUnroutable{
			Code: codeQuarantined, Reason: reasonPartHeld, RetryAfter: minHeldRetryAfter, Final: true,
		}
	}
	req := routing.Request{
		Deployment: body.Model, Version: body.Version, Adapter: body.Adapter,
		PromptTokens: body.PromptTokens, PrefixHashes: body.PrefixHashes, BodyHash: work.BodyHash,
		Exclude: sched.excludedReplicas(exclude), Suspect: work.Suspect, Restriction: sched.restriction(work.Team),
	}
	choice, err := sched.router.Pick(now, req)
	if routing.IsErrNoReplica(err) && len(req.Exclude) > 0 {
		req.Exclude = nil
		choice, err = sched.router.Pick(now, req)
	}
	if err != nil {
		return dispatch.Route{}, newErrUnroutable(err)
	}
	return s.startAttempt(now, work, req, choice), nil
}

// excludedReplicas returns the replicas whose head is one of the hosts.
func (sched *scheduler) excludedReplicas(hosts map[host.ID]bool) map[replica.ID]bool {
	if len(hosts) == 0 {
		return nil
	}
	out := map[replica.ID]bool{}
	for _, route := range sched.view.Routes {
		if hosts[route.Replica.Head()] {
			out[route.Replica.ID] = true
		}
	}
	return out
}

func newErrUnroutable(err error) dispatch.ErrUnroutable {
	u := dispatch.ErrUnroutable{Code: execution.CodeNoReplica, Reason: err.Error(), RetryAfter: retryAfterNoReplica}
	if routing.IsErrSuspectRunning(err) {
		u.Code = "suspect_waits"
		u.RetryAfter = retryAfterSuspect
	}
	if routing.IsErrRestricted(err) {
		u.Code = codeRestricted
		u.Restricted = true
	}
	return u
}

// startAttempt records an attempt in the router, the limiter and the suspect tracker, and
// returns its route. The attempt counts from here on, although it may still have to be
// claimed before it is sent.
func (s *Server) startAttempt(now time.Time, work dispatch.Work, req routing.Request, choice routing.Choice) dispatch.Route {
	sched := s.scheduler
	id := choice.Route.Replica.ID
	attemptID := sched.router.Dispatched(now, req, choice)
	limiter := sched.limiter(choice.Route)
	limiter.Started(sched.router.InFlight(id))
	sched.suspects.Begin(work.BodyHash, id, work.Suspect)
	sched.attemptsInFlight++
	times := &attemptTimes{sentAt: now}
	return dispatch.Route{
		Target: target(choice.Route), Suspect: work.Suspect, Revoked: sched.newRevokeContext(work, attemptID),
		FirstTokenTimeout: firstTokenTimeout(work, choice),
		OnFirstToken: func(after time.Duration) {
			sched.mu.Lock()
			defer sched.mu.Unlock()
			times.firstTokenAt = time.Now()
			sched.router.FirstToken(times.firstTokenAt, attemptID)
			limiter.FirstToken(time.Now(), after)
		},
		OnTokenGap: func(gap time.Duration) {
			sched.mu.Lock()
			defer sched.mu.Unlock()
			now := time.Now()
			limiter.TokenGap(now, gap)
			sched.recordLasting(work, *times, now)
		},
		OnEnd: func(end dispatch.AttemptEnd) {
			s.attemptEnded(work, choice.Route, attemptID, *times, end)
		},
	}
}

func (s *Server) attemptEnded(work dispatch.Work, route view.Route, attemptID routing.AttemptID, times attemptTimes, end dispatch.AttemptEnd) {
	sched := s.scheduler
	id := route.Replica.ID
	sched.mu.Lock()
	now := time.Now()
	complete := end.Kind == execution.EndComplete
	sched.router.Finished(now, attemptID, routing.Result{Complete: complete, CachedTokens: end.CachedTokens})
	sched.suspects.End(work.BodyHash, id, work.Suspect)
	sched.attemptsInFlight--
	sched.removeRevocable(attemptID)
	sched.recordHarm(work, route, times, end, now)
	if end.Code == execution.CodeEngineCrashed {
		sched.suspects.Crashed(now, work.BodyHash, id, route.Replica.Fence)
		sched.revokeSuspects(now)
	}
	cleared := false
	if complete {
		sched.budget.RecordSuccess()
		cleared = sched.suspects.Completed(work.BodyHash)
	}
	sched.setSlots(now)
	sched.mu.Unlock()
	if cleared {
		go s.reportCleared(work.BodyHash)
	}
}

// firstTokenTimeout returns the bound of each wait for a frame until the attempt's first token. It
// returns 0 for a request that must not run twice, whose response is awaited until its deadline.
func firstTokenTimeout(work dispatch.Work, choice routing.Choice) time.Duration {
	if work.AtMostOnce {
		return 0
	}
	return minFirstTokenTimeout + firstTokenTimeoutFactor*choice.PredictedTTFT
}

// newRevokeContext returns a context that is done when the attempt is revoked. It
// returns nil for a request that must not run twice, whose attempts are never revoked.
func (sched *scheduler) newRevokeContext(work dispatch.Work, attemptID routing.AttemptID) context.Context {
	if work.AtMostOnce {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	sched.revocableAttempts[attemptID] = revocableAttempt{hash: work.BodyHash, cancel: cancel}
	return ctx
}

// revocableAttempt is an attempt that may be revoked.
type revocableAttempt struct {
	hash   uint64
	cancel context.CancelFunc
}

// removeRevocable removes a revocable attempt that has ended, and releases its context.
func (sched *scheduler) removeRevocable(attemptID routing.AttemptID) {
	if r, ok := sched.revocableAttempts[attemptID]; ok {
		delete(sched.revocableAttempts, attemptID)
		r.cancel()
	}
}

// revokeSuspects cancels the attempts of bodies that have become suspect or quarantined
// since the attempts were dispatched.
func (sched *scheduler) revokeSuspects(now time.Time) {
	for _, hash := range sched.suspects.Revoked(now) {
		for _, r := range sched.revocableAttempts {
			if r.hash == hash {
				r.cancel()
			}
		}
	}
}

// reportCleared notifies control that a suspect body has completed.
func (s *Server) reportCleared(hash uint64) {
	ctx, cancel := context.WithTimeout(s.baseContext, clearedTimeout)
	defer cancel()
	// If the message is lost, the suspect is cleared the next time it completes, or it
	// expires.
	_, _ = s.session.Call(ctx, &message.SuspectsCleared{BodyHashes: []uint64{hash}})
}

func target(r view.Route) execution.Target {
	return execution.Target{
		Host: r.Replica.Head(), Address: r.Address, Incarnation: r.Incarnation,
		Replica: r.Replica.ID, Fence: r.Replica.Fence,
	}
}

func (s *Server) routeService(work dispatch.Work, body dispatch.ServiceCall, exclude map[host.ID]bool) (dispatch.Route, error) {
	sched := s.scheduler
	restriction := sched.serviceRestriction(work.Team)
	endpoint, err := sched.services.Pick(body.Call.Service, exclude, restriction)
	if routing.IsErrNoEndpoint(err) && len(exclude) > 0 {
		endpoint, err = sched.services.Pick(body.Call.Service, nil, restriction)
	}
	if routing.IsErrRestricted(err) {
		return dispatch.Route{}, newErrUnroutable(err)
	}
	if err != nil {
		return dispatch.Route{}, dispatch.ErrUnroutable{
			Code: "no_endpoint", Reason: err.Error(), RetryAfter: retryAfterNoReplica,
		}
	}
	sched.services.Dispatched(endpoint)
	sched.attemptsInFlight++
	return dispatch.Route{
		Target: execution.Target{Host: endpoint.Host, Address: endpoint.Address, Incarnation: endpoint.Incarnation},
		OnEnd: func(end dispatch.AttemptEnd) {
			sched.mu.Lock()
			defer sched.mu.Unlock()
			sched.services.Finished(endpoint)
			sched.attemptsInFlight--
			if end.Kind == execution.EndComplete {
				sched.budget.RecordSuccess()
			}
		},
	}, nil
}
