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

// checkCrash reports whether the engine crashed, and then handles the crash. A
// response that broke off counts as a crash only if the engine also fails its health
// check, other than by a timeout, or has restarted.
func (s *Server) checkCrash() bool {
	ctx := s.context()
	report, err := s.report(ctx)
	if ctx.Err() != nil {
		return false
	}
	s.mu.Lock()
	crashed := err != nil && !isTimeout(err) || err == nil && s.start != "" && report.Start != s.start
	s.mu.Unlock()
	if crashed {
		s.crashed()
		wake(s.polled)
	}
	return crashed
}

// crashed marks the generations in progress as crashed, closes the gate and reports
// the hashes of their bodies to control. Each generation is reported only once. The
// gate stays closed until the engine is healthy again.
func (s *Server) crashed() {
	s.mu.Lock()
	place, _, _ := s.gate.AssignedReplica()
	var suspects []uint64
	seen := map[uint64]bool{}
	for _, r := range s.running {
		if r.dispatch.Generate == nil || r.crashed {
			continue
		}
		r.crashed = true
		if hash := r.dispatch.BodyHash; !seen[hash] {
			seen[hash] = true
			suspects = append(suspects, hash)
		}
	}
	s.gate.MarkEngineUnhealthy()
	s.mu.Unlock()
	wake(s.changed)
	if len(suspects) == 0 {
		return
	}
	sort.Slice(suspects, func(i, j int) bool { return suspects[i] < suspects[j] })
	event.EngineCrashed.On(s.opts.Logger).Int("suspects", len(suspects)).Msg("")
	go s.tellCrash(&message.CrashReport{
		Replica: place.ID, Fence: place.Fence, Suspects: suspects, CrashID: request.NewID(),
	})
}

// tellCrash sends a crash report and retries while it is uncertain whether control
// received it. Control counts a repeated report once, by its crash ID.
func (s *Server) tellCrash(report *message.CrashReport) {
	ctx, cancel := context.WithTimeout(s.context(), reportTimeout)
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

func (s *Server) context() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.base
}
