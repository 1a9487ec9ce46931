package server

import (
	"context"
	"sort"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/session"
	"github.com/egretreach/egretreach/internal/process/pause"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}

// detectCrash reports whether the engine crashed, and then handles the crash. A
// response that broke off counts as a crash only if the engine also fails its health
// check, other than by a timeout, or has restarted.
func (s *Server) detectCrash() bool {
	ctx := s.runContext()
	report, err := s.fetchReport(ctx)
	if ctx.Err() != nil {
		return false
	}
	s.mu.Lock()
	crashed := err != nil && !isTimeout(err) || err == nil && s.engineStart != "" && report.Start != s.engineStart
	s.mu.Unlock()
	if crashed {
		s.handleCrash()
		signal(s.pollRequested)
	}
	return crashed
}

// handleCrash marks the generations in progress as crashed, closes the gate and
// reports the hashes of their bodies to control. Each generation is reported only
// once. The gate stays closed until the engine is healthy again.
func (s *Server) handleCrash() {
	s.mu.Lock()
	assigned, _, _ := s.gate.AssignedReplica()
	s.crashCount++
	var suspects []uint64
	seen := map[uint64]bool{}
	for _, r := range s.running {
		if r.dispatch.Generate == nil || r.crash > 0 {
			continue
		}
		r.crash = s.crashCount
		if hash := r.dispatch.BodyHash; !seen[hash] {
			seen[hash] = true
			suspects = append(suspects, hash)
		}
	}
	s.gate.MarkEngineUnhealthy()
	s.mu.Unlock()
	signal(s.gateChanged)
	if len(suspects) == 0 {
		return
	}
	sort.Slice(suspects, func(i, j int) bool { return suspects[i] < suspects[j] })
	event.EngineCrashed.On(s.opts.Logger).Int("suspects", len(suspects)).Msg("")
	go s.reportCrash(&message.CrashReport{
		Replica: assigned.ID, Fence: assigned.Fence, Suspects: suspects, CrashID: request.NewID(),
	})
}

// reportCrash sends a crash report and retries while it is uncertain whether control
// received it. Control counts a repeated report once, by its crash ID.
func (s *Server) reportCrash(report *message.CrashReport) {
	ctx, cancel := context.WithTimeout(s.runContext(), crashReportTimeout)
	defer cancel()
	for {
		_, err := s.session.Call(ctx, report)
		if err == nil {
			return
		}
		if !session.IsErrUncertain(err) || !pause.For(ctx, orderRetryDelay) {
			event.CrashUnreported.On(s.opts.Logger).Str("reason", err.Error()).Msg("")
			return
		}
	}
}

func (s *Server) runContext() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runCtx
}
