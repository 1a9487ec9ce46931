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
	retryAfterSuspect = time.Second
	clearedTimeout    = 3 * time.Second

	leastPatience  = 5 * time.Second
	patienceFactor = 4

	codeQuarantined   = "quarantined"
	reasonQuarantined = "this request has crashed endpoints and is held back"
)

// Route implements dispatch.Router.
func (s *Server) Route(now time.Time, work dispatch.Work, exclude map[host.ID]bool) (dispatch.Route, error) {
	s.policy.mu.Lock()
	defer s.policy.mu.Unlock()
	switch body := work.Body.(type) {
	case dispatch.Generation:
		return s.routeGeneration(now, work, body, exclude)
	case dispatch.ServiceCall:
		return s.routeService(body, exclude)
	}
	return dispatch.Route{}, dispatch.ErrUnroutable{Code: execution.CodeEndpointFailed, Final: true}
}

func (s *Server) routeGeneration(now time.Time, work dispatch.Work, body dispatch.Generation, exclude map[host.ID]bool) (dispatch.Route, error) {
	p := s.policy
	switch v := p.tracker.Check(now, work.BodyHash).(type) {
	case suspicion.Quarantined:
		return dispatch.Route{}, dispatch.ErrUnroutable{
			Code: codeQuarantined, Reason: reasonQuarantined, RetryAfter: v.RetryAfter, Final: true,
		}
	case suspicion.Suspect:
		work.Suspect = true
	}
	req := routing.Request{
		Deployment: body.Model, Version: body.Version, Adapter: body.Adapter,
		PromptTokens: body.PromptTokens, PrefixHashes: body.PrefixHashes, BodyHash: work.BodyHash,
		Exclude: p.excluded(exclude), Suspect: work.Suspect,
	}
	choice, err := p.router.Pick(now, req)
	if routing.IsErrNoReplica(err) && len(req.Exclude) > 0 {
		req.Exclude = nil
		choice, err = p.router.Pick(now, req)
	}
	if err != nil {
		return dispatch.Route{}, unroutable(err)
	}
	return s.flight(now, work, req, choice), nil
}

// excluded turns hosts that failed a request into their replicas.
func (p *policy) excluded(hosts map[host.ID]bool) map[replica.ID]bool {
	if len(hosts) == 0 {
		return nil
	}
	out := map[replica.ID]bool{}
	for _, route := range p.view.Routes {
		if hosts[route.Replica.Head()] {
			out[route.Replica.ID] = true
		}
	}
	return out
}

func unroutable(err error) dispatch.ErrUnroutable {
	u := dispatch.ErrUnroutable{Code: execution.CodeNoReplica, Reason: err.Error(), RetryAfter: retryAfterNoReplica}
	if routing.IsErrSuspectRunning(err) {
		u.Code = "suspect_waits"
		u.RetryAfter = retryAfterSuspect
	}
	return u
}

// flight records a dispatch with every part of the policy that learns from it.
func (s *Server) flight(now time.Time, work dispatch.Work, req routing.Request, choice routing.Choice) dispatch.Route {
	p := s.policy
	id := choice.Route.Replica.ID
	ticket := p.router.Dispatched(now, req, choice)
	limiter := p.limiter(choice.Route)
	limiter.Started(p.router.InFlight(id))
	p.tracker.Begin(work.BodyHash, id, work.Suspect)
	p.flights++
	return dispatch.Route{
		Target: target(choice.Route), Suspect: work.Suspect, Revoked: p.live(work, ticket),
		FirstTokenTimeout: patience(work, choice),
		OnFirstToken: func(after time.Duration) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.router.FirstToken(time.Now(), ticket)
			limiter.FirstToken(time.Now(), after)
		},
		OnTokenGap: func(gap time.Duration) {
			p.mu.Lock()
			defer p.mu.Unlock()
			limiter.TokenGap(time.Now(), gap)
		},
		OnEnd: func(end dispatch.AttemptEnd) {
			s.landed(work, choice.Route, ticket, end)
		},
	}
}

func (s *Server) landed(work dispatch.Work, route view.Route, ticket routing.AttemptID, end dispatch.AttemptEnd) {
	p := s.policy
	id := route.Replica.ID
	p.mu.Lock()
	now := time.Now()
	complete := end.Kind == execution.EndComplete
	p.router.Finished(now, ticket, routing.Result{Complete: complete, CachedTokens: end.CachedTokens})
	p.tracker.End(work.BodyHash, id, work.Suspect)
	p.flights--
	p.revoke(ticket)
	if end.Code == execution.CodeEngineCrashed {
		p.tracker.Crashed(now, work.BodyHash, id, route.Replica.Fence)
		p.revokeSuspects(now)
	}
	cleared := false
	if complete {
		p.budget.RecordSuccess()
		cleared = p.tracker.Completed(work.BodyHash)
	}
	p.setSlots(now)
	p.mu.Unlock()
	if cleared {
		go s.clear(work.BodyHash)
	}
}

// patience is how long the first token may take. An attempt that may not run twice
// is waited for until its deadline.
func patience(work dispatch.Work, choice routing.Choice) time.Duration {
	if work.AtMostOnce {
		return 0
	}
	return leastPatience + patienceFactor*choice.PredictedTTFT
}

// live returns the context in which an attempt may go on. One that may not run twice
// is never broken off.
func (p *policy) live(work dispatch.Work, ticket routing.AttemptID) context.Context {
	if work.AtMostOnce {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.revocable[ticket] = revocable{hash: work.BodyHash, cancel: cancel}
	return ctx
}

// revocable is an attempt that may be broken off.
type revocable struct {
	hash   uint64
	cancel context.CancelFunc
}

func (p *policy) revoke(ticket routing.AttemptID) {
	if r, ok := p.revocable[ticket]; ok {
		delete(p.revocable, ticket)
		r.cancel()
	}
}

// revokeSuspects breaks off the copies of bodies that may no longer run as they do.
func (p *policy) revokeSuspects(now time.Time) {
	for _, hash := range p.tracker.Revoked(now) {
		for _, r := range p.revocable {
			if r.hash == hash {
				r.cancel()
			}
		}
	}
}

// clear tells control that a suspect ran to its end.
func (s *Server) clear(hash uint64) {
	ctx, cancel := context.WithTimeout(s.base, clearedTimeout)
	defer cancel()
	// If this is lost, the suspect is cleared the next time it runs, or expires.
	_, _ = s.session.Call(ctx, &message.SuspectsCleared{BodyHashes: []uint64{hash}})
}

func target(r view.Route) execution.Target {
	return execution.Target{
		Host: r.Replica.Head(), Address: r.Address, Incarnation: r.Incarnation,
		Replica: r.Replica.ID, Fence: r.Replica.Fence,
	}
}

func (s *Server) routeService(body dispatch.ServiceCall, exclude map[host.ID]bool) (dispatch.Route, error) {
	p := s.policy
	endpoint, err := p.services.Pick(body.Call.Service, exclude)
	if err != nil && len(exclude) > 0 {
		endpoint, err = p.services.Pick(body.Call.Service, nil)
	}
	if err != nil {
		return dispatch.Route{}, dispatch.ErrUnroutable{
			Code: "no_endpoint", Reason: err.Error(), RetryAfter: retryAfterNoReplica,
		}
	}
	p.services.Dispatched(endpoint)
	p.flights++
	return dispatch.Route{
		Target: execution.Target{Host: endpoint.Host, Address: endpoint.Address, Incarnation: endpoint.Incarnation},
		OnEnd: func(end dispatch.AttemptEnd) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.services.Finished(endpoint)
			p.flights--
			if end.Kind == execution.EndComplete {
				p.budget.RecordSuccess()
			}
		},
	}, nil
}
