package server

import (
	"context"
	"strings"
	"time"

	"github.com/egretreach/egretreach/internal/entry/admission"
	"github.com/egretreach/egretreach/internal/entry/api"
	"github.com/egretreach/egretreach/internal/entry/dispatch"
	"github.com/egretreach/egretreach/internal/entry/execution"
	"github.com/egretreach/egretreach/internal/entry/routing"
	"github.com/egretreach/egretreach/internal/entry/suspicion"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/fleet/team"
)

const (
	retryAfterNotReady = time.Second
	// defaultOutputTokens is the expected length of a generation, unless the caller's
	// limit is lower.
	defaultOutputTokens = 256
	// serviceCost is the cost of a service call in tokens.
	serviceCost = 1
)

// Authenticate implements api.Backend.
func (s *Server) Authenticate(token string) (team.ID, bool) {
	fleet := s.scheduler.fleetConfig()
	if fleet == nil {
		return "", false
	}
	t, ok := fleet.Authenticate(token)
	return t.Name, ok
}

// Configured implements api.Backend.
func (s *Server) Configured() bool { return s.scheduler.fleetConfig() != nil }

// ConfirmConfig implements api.Backend.
func (s *Server) ConfirmConfig(ctx context.Context) bool { return s.session.Confirm(ctx) }

// Models implements api.Backend. It lists, for each deployment, its model, the model
// with its version, and the model with each adapter.
func (s *Server) Models() []api.Model {
	fleet := s.scheduler.fleetConfig()
	if fleet == nil {
		return nil
	}
	var models []api.Model
	seen := map[string]bool{}
	add := func(m api.Model) {
		if !seen[m.ID] {
			seen[m.ID] = true
			models = append(models, m)
		}
	}
	for _, d := range fleet.Deployments {
		add(api.Model{ID: d.Model, Model: d.Model})
		add(api.Model{ID: d.Model + "@" + d.Version, Model: d.Model, Version: d.Version})
		for _, adapter := range d.Adapters {
			add(api.Model{ID: d.Model + ":" + adapter, Model: d.Model, Adapter: adapter})
		}
	}
	return models
}

// ResolveModel implements api.Backend. A name has the form MODEL[@VERSION][:ADAPTER].
func (s *Server) ResolveModel(name string) (api.Model, bool) {
	m := api.Model{ID: name}
	rest, adapter, _ := strings.Cut(name, ":")
	m.Model, m.Version, _ = strings.Cut(rest, "@")
	m.Adapter = adapter
	fleet := s.scheduler.fleetConfig()
	if fleet == nil {
		return m, false
	}
	for _, d := range fleet.Deployments {
		if d.Model == m.Model && (m.Version == "" || m.Version == d.Version) && (adapter == "" || containsString(d.Adapters, adapter)) {
			return m, true
		}
	}
	return m, false
}

func containsString(list []string, wanted string) bool {
	for _, have := range list {
		if have == wanted {
			return true
		}
	}
	return false
}

// LookupService implements api.Backend.
func (s *Server) LookupService(name, method, path string) (known, idempotent bool) {
	fleet := s.scheduler.fleetConfig()
	if fleet == nil {
		return false, false
	}
	service, ok := fleet.Service(name)
	if !ok {
		return false, false
	}
	return true, service.Idempotent(method, path)
}

// ResolveClass implements api.Backend.
func (s *Server) ResolveClass(id team.ID, wanted team.Class) (api.Class, bool) {
	fleet := s.scheduler.fleetConfig()
	if fleet == nil {
		return api.Class{}, false
	}
	t, ok := fleet.Team(id)
	if !ok {
		return api.Class{}, false
	}
	class, ok := fleet.ClassFor(t, wanted)
	return api.Class{Name: class.Name, Priority: class.Priority, Timeout: class.Deadline}, ok
}

// RequestLimits implements api.Backend.
func (s *Server) RequestLimits(id team.ID) api.RequestLimits {
	fleet := s.scheduler.fleetConfig()
	if fleet == nil {
		return api.RequestLimits{}
	}
	r := fleet.ForTeam(id).Request
	return api.RequestLimits{
		MaxBodyBytes: int64(r.MaxBody), MaxAnswerBytes: int64(r.MaxAnswer), MaxTokens: r.MaxTokens, MaxTimeout: r.MaxDeadline,
	}
}

// BodyHash implements api.Backend.
func (s *Server) BodyHash(method, path string, body []byte) uint64 {
	return suspicion.BodyHash(method, path, body)
}

// Serve implements api.Backend.
func (s *Server) Serve(ctx context.Context, work dispatch.Work, sink dispatch.Sink) dispatch.Result {
	s.inFlight.Begin()
	defer s.inFlight.End()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.baseContext, cancel)()
	observation := s.metrics.begin(work)
	if !s.session.Valid() {
		// Without control the ledger cannot be asked. The refusal holds for this
		// submission only; an earlier one may have run.
		return observation.end(dispatch.Result{Result: *notReady()})
	}
	refused := s.checkAcceptance(work)
	if refused == nil {
		refused = s.admitHeld(&work)
	}
	if refused != nil {
		return observation.end(s.dispatcher.Refuse(ctx, work, sink, *refused))
	}
	var result dispatch.Result
	switch body := work.Body.(type) {
	case dispatch.Generation:
		body.PrefixHashes = routing.PrefixHashes(body.Prompt)
		work.Body = body
		result = s.generate(ctx, work, body, sink, observation)
	case dispatch.ServiceCall:
		result = s.callService(ctx, work, observation)
	}
	return observation.end(result)
}

func notReady() *execution.Result {
	return &execution.Result{
		Outcome: request.OutcomeNotRun, Code: "not_ready",
		Reason: "this entry takes no new work now", RetryAfter: retryAfterNotReady,
	}
}

// checkAcceptance returns a refusal for a request that must not even be queued, or nil.
func (s *Server) checkAcceptance(work dispatch.Work) *execution.Result {
	if s.refuseNew.Load() || !s.scheduler.holdsShares() {
		return notReady()
	}
	s.scheduler.mu.Lock()
	defer s.scheduler.mu.Unlock()
	if v, ok := s.scheduler.suspects.Check(time.Now(), work.BodyHash).(suspicion.Quarantined); ok {
		return &execution.Result{
			Outcome: request.OutcomeNotRun, Code: codeQuarantined, Reason: reasonQuarantined, RetryAfter: v.RetryAfter,
		}
	}
	return nil
}

func (s *Server) generate(ctx context.Context, work dispatch.Work, body dispatch.Generation, sink dispatch.Sink, observation *requestObservation) dispatch.Result {
	cost := float64(body.PromptTokens + expectedOutput(body))
	if refused := s.scheduler.takeQuota(work.Team, cost); refused != nil {
		return s.dispatcher.Refuse(ctx, work, sink, *refused)
	}
	r := admission.Request{
		ID: work.ID, Team: work.Team, Class: work.Class, Priority: work.Priority, Deadline: work.Deadline, Cost: cost,
	}
	if refused := s.scheduler.admit(ctx, body.Model, r); refused != nil {
		s.scheduler.releaseQuota(work.Team, 0)
		return s.dispatcher.Refuse(ctx, work, sink, *refused)
	}
	observation.admitted()
	start := time.Now()
	result := s.dispatcher.Do(ctx, work, observation.timeTokens(sink))
	ran := time.Duration(0)
	if result.Outcome == request.OutcomeComplete {
		ran = time.Since(start)
	}
	s.scheduler.releaseSlot(body.Model, r, ran)
	used := float64(result.Usage.PromptTokens + result.Usage.CompletionTokens)
	s.scheduler.releaseQuota(work.Team, used-cost)
	return result
}

// expectedOutput returns the number of tokens that a generation is expected to produce.
func expectedOutput(body dispatch.Generation) int {
	if body.MaxTokens > 0 {
		return min(body.MaxTokens, defaultOutputTokens)
	}
	return defaultOutputTokens
}

func (s *Server) callService(ctx context.Context, work dispatch.Work, observation *requestObservation) dispatch.Result {
	if refused := s.scheduler.takeQuota(work.Team, serviceCost); refused != nil {
		return s.dispatcher.Refuse(ctx, work, nil, *refused)
	}
	defer s.scheduler.releaseQuota(work.Team, 0)
	observation.admitted()
	return s.dispatcher.Do(ctx, work, nil)
}

func (sched *scheduler) takeQuota(id team.ID, tokens float64) *execution.Result {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	refused, ok := sched.quota.Take(time.Now(), id, tokens)
	if ok {
		return nil
	}
	return &execution.Result{
		Outcome: request.OutcomeNotRun, Code: string(refused.Code),
		Reason: "the team has reached a limit of its own", RetryAfter: refused.RetryAfter,
	}
}

// releaseQuota ends a request. extra is the number of tokens that it used beyond those
// that takeQuota charged; it is negative if it used fewer.
func (sched *scheduler) releaseQuota(id team.ID, extra float64) {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	sched.quota.Release(id, extra)
}
