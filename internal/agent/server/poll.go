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

// poll requests the engine's state every loadingInterval while it loads a model, and
// every pollInterval otherwise.
func (s *Server) poll(ctx context.Context) error {
	if s.engine == nil {
		return nil
	}
	for ctx.Err() == nil {
		s.pollOnce(ctx)
		timer := time.NewTimer(s.pollPause())
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-s.polled:
		}
		timer.Stop()
	}
	return nil
}

func (s *Server) pollPause() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loading != 0 {
		return loadingInterval
	}
	return pollInterval
}

func (s *Server) pollOnce(ctx context.Context) {
	report, err := s.report(ctx)
	switch {
	case ctx.Err() != nil:
		return
	case err != nil:
		s.engineLost(err)
	default:
		s.engineReported(report)
	}
}

func (s *Server) report(ctx context.Context) (engine.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	return s.engine.Report(ctx)
}

// engineLost closes the gate after a failed health check. Any failure but a timeout
// is handled as a crash of the engine; a timeout is not.
func (s *Server) engineLost(err error) {
	if !isTimeout(err) {
		s.crashed()
	}
	s.mu.Lock()
	was := s.gate.EngineHealthy()
	s.gate.MarkEngineUnhealthy()
	s.mu.Unlock()
	if was {
		event.EngineUnhealthy.On(s.opts.Logger).Str("reason", err.Error()).Msg("")
		s.session.Renew()
		wake(s.changed)
	}
}

func (s *Server) engineReported(r engine.Report) {
	s.mu.Lock()
	restarted := s.start != "" && s.start != r.Start
	s.mu.Unlock()
	if restarted {
		s.crashed()
	}
	at := s.reading()
	s.mu.Lock()
	was, loaded := s.gate.EngineHealthy(), s.gate.ModelLoaded()
	s.start = r.Start
	s.gate.SetEngineState(true, replica.ID(r.Replica), replica.Fence(r.Fence), r.Loaded, r.LoadPercent)
	s.load = loadOf(r, s.load.Sequence+1)
	order := uint64(0)
	if s.gate.ModelLoaded() {
		order, s.loading = s.loading, 0
	}
	changed := was != s.gate.EngineHealthy() || loaded != s.gate.ModelLoaded()
	again := s.reloadLocked(at, replica.ID(r.Replica))
	s.mu.Unlock()
	if !was {
		event.EngineHealthy.On(s.opts.Logger).Str("start", r.Start).Msg("")
	}
	if order != 0 {
		s.done(order, "")
	}
	if changed {
		s.session.Renew()
		wake(s.changed)
	}
	if again != nil {
		s.queue(again)
	}
}

// reloadLocked returns an order to load the host's replica again under the same
// fence, if the engine no longer holds it, as after a restart. Otherwise it returns
// nil.
func (s *Server) reloadLocked(at gate.LeaseStatus, holds replica.ID) *message.Order {
	place, addresses, ok := s.gate.AssignedReplica()
	if !ok || s.loading != 0 || holds == place.ID || s.gate.Draining() || s.gate.CheckLoad(at, place) != nil {
		return nil
	}
	s.loading = reloadOrder
	return &message.Order{ID: reloadOrder, Action: message.OrderLoad, Replica: place, Addresses: addresses}
}

func loadOf(r engine.Report, sequence uint64) view.Load {
	return view.Load{
		Running: r.Running, Waiting: r.Waiting, WaitingTokens: r.WaitingTokens, PrefillRate: r.PrefillRate,
		TokenGap: time.Duration(r.TokenGapMs * float64(time.Millisecond)),
		Capacity: r.Capacity, Sequence: sequence,
	}
}
