package server

import (
	"context"
	"time"

	"github.com/egretreach/egretreach/internal/agent/engine"
	"github.com/egretreach/egretreach/internal/agent/gate"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// pollEngine requests the engine's state every loadingPollInterval while it loads a
// model, and every pollInterval otherwise.
func (s *Server) pollEngine(ctx context.Context) error {
	if s.engine == nil {
		return nil
	}
	for ctx.Err() == nil {
		s.pollOnce(ctx)
		timer := time.NewTimer(s.nextPollDelay())
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-s.pollRequested:
		}
		timer.Stop()
	}
	return nil
}

func (s *Server) nextPollDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loadingOrder != 0 {
		return loadingPollInterval
	}
	return pollInterval
}

func (s *Server) pollOnce(ctx context.Context) {
	report, err := s.fetchReport(ctx)
	switch {
	case ctx.Err() != nil:
		return
	case err != nil:
		s.handleEngineFailure(err)
	default:
		s.handleEngineReport(report)
	}
}

func (s *Server) fetchReport(ctx context.Context) (engine.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	return s.engine.Report(ctx)
}

// handleEngineFailure closes the gate after a failed health check. Any failure but a
// timeout is handled as a crash; an engine that only responds late has not crashed.
func (s *Server) handleEngineFailure(err error) {
	if !isTimeout(err) {
		s.handleCrash()
	}
	s.mu.Lock()
	wasHealthy := s.gate.EngineHealthy()
	s.gate.MarkEngineUnhealthy()
	s.mu.Unlock()
	if wasHealthy {
		event.EngineUnhealthy.On(s.opts.Logger).Str("reason", err.Error()).Msg("")
		s.session.Renew()
		signal(s.gateChanged)
	}
}

func (s *Server) handleEngineReport(r engine.Report) {
	s.mu.Lock()
	restarted := s.engineStart != "" && s.engineStart != r.Start
	s.mu.Unlock()
	if restarted {
		s.handleCrash()
	}
	at := s.leaseStatus()
	s.mu.Lock()
	wasHealthy, wasLoaded := s.gate.EngineHealthy(), s.gate.ModelLoaded()
	s.engineStart = r.Start
	s.gate.SetEngineState(true, replica.ID(r.Replica), replica.Fence(r.Fence), r.Loaded, r.LoadPercent)
	s.engineLoad = loadOf(r, s.engineLoad.Sequence+1)
	order := uint64(0)
	if s.gate.ModelLoaded() {
		order, s.loadingOrder = s.loadingOrder, 0
	}
	changed := wasHealthy != s.gate.EngineHealthy() || wasLoaded != s.gate.ModelLoaded()
	reload := s.reloadOrderLocked(at, replica.ID(r.Replica))
	s.mu.Unlock()
	if !wasHealthy || restarted {
		s.engineWarmUp.begin(time.Now(), warmUpStart)
	}
	if !wasHealthy {
		event.EngineHealthy.On(s.opts.Logger).Str("start", r.Start).Msg("")
	}
	if order != 0 {
		s.finishOrder(order, "")
	}
	if changed {
		s.session.Renew()
		signal(s.gateChanged)
	}
	if reload != nil {
		s.enqueueOrder(reload)
	}
}

// reloadOrderLocked returns an order to load the host's replica again under the same
// fence, if the engine no longer holds it, as after a restart, and records it as the
// load order in progress. Otherwise it returns nil.
func (s *Server) reloadOrderLocked(at gate.LeaseStatus, holds replica.ID) *message.Order {
	assigned, addresses, ok := s.gate.AssignedReplica()
	if !ok || s.loadingOrder != 0 || holds == assigned.ID || s.gate.Draining() || s.gate.CheckLoad(at, assigned) != nil {
		return nil
	}
	s.loadingOrder = reloadOrderID
	return &message.Order{ID: reloadOrderID, Action: message.OrderLoad, Replica: assigned, Addresses: addresses}
}

func loadOf(r engine.Report, sequence uint64) view.Load {
	return view.Load{
		Running: r.Running, Waiting: r.Waiting, WaitingTokens: r.WaitingTokens, PrefillRate: r.PrefillRate,
		TokenGap: time.Duration(r.TokenGapMs * float64(time.Millisecond)),
		Capacity: r.Capacity, Sequence: sequence,
	}
}
