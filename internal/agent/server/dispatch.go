package server

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/agent/attempt"
	"github.com/egretreach/egretreach/internal/agent/gate"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/transport"
)

// runningAttempt is an attempt in progress.
type runningAttempt struct {
	dispatch *message.Dispatch
	cancel   context.CancelCauseFunc
	// crash is the number of the engine's crash that ended the attempt, 0 if none did.
	crash uint64
}

// serveDispatch serves one attempt that an entry dispatched: it runs the attempt
// and sends the response and its End.
func (s *Server) serveDispatch(ctx context.Context, stream *transport.Stream, d *message.Dispatch) {
	if peerClosed := s.answerDispatch(ctx, stream, d); peerClosed != nil {
		<-peerClosed
	}
}

// answerDispatch runs the attempt of a dispatch and sends the answer. If it has accepted the attempt and sent its End, it returns a channel
// that is closed when the entry has closed its side of the stream.
func (s *Server) answerDispatch(ctx context.Context, stream *transport.Stream, d *message.Dispatch) <-chan struct{} {
	s.dispatchStarted()
	defer s.dispatchEnded()
	r := &runningAttempt{dispatch: d}
	runCtx, stop := s.attemptContext(ctx, r)
	defer stop()
	s.awaitLease(ctx, d)
	if err := s.admit(r); err != nil {
		s.refuse(stream, d.Ref, err)
		return nil
	}
	peerClosed := make(chan struct{})
	go func() {
		defer close(peerClosed)
		s.receiveCancels(stream, r)
	}()
	answer := &message.Answer{}
	end := s.runAttempt(runCtx, stream, r, answer)
	end.Ref = d.Ref
	s.finishAttempt(r, end, answer)
	if stream.Answer(end) != nil {
		return nil
	}
	return peerClosed
}

// leaseWait bounds how long an at-most-once attempt waits for this agent's lease.
const leaseWait = 500 * time.Millisecond

// awaitLease waits for the lease of an agent that was cut off and is about to renew it. Each further attempt at an
// at-most-once request needs a claim of its own, and often no other endpoint has the service.
func (s *Server) awaitLease(ctx context.Context, d *message.Dispatch) {
	if !d.AtMostOnce || s.session.Valid() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaseWait)
	defer cancel()
	s.await(ctx, func() bool { return s.session.Valid() || s.gate.Stopping() })
}

func (s *Server) dispatchStarted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatchCount++
}

func (s *Server) dispatchEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatchCount--
	s.broadcastLocked()
}

// attemptContext returns the context of an attempt. The context of an idempotent
// attempt ends with its stream or at its deadline. That of an at-most-once attempt
// continues after the entry is gone, so that the answer can be queried later; it
// ends after MaxAttemptTime.
func (s *Server) attemptContext(ctx context.Context, r *runningAttempt) (context.Context, context.CancelFunc) {
	parent := s.runContext()
	limit := s.opts.MaxAttemptTime
	if !r.dispatch.AtMostOnce && r.dispatch.TimeoutMs > 0 {
		limit = time.Duration(r.dispatch.TimeoutMs) * time.Millisecond
	}
	runCtx, cancel := context.WithCancelCause(parent)
	r.cancel = cancel
	runCtx, stopTimer := context.WithTimeoutCause(runCtx, limit, errStopped{Code: codeDeadline, Reason: "the deadline passed"})
	detach := func() bool { return true }
	if !r.dispatch.AtMostOnce {
		detach = context.AfterFunc(ctx, func() {
			cancel(errStopped{Code: codeEntryGone, Reason: "the entry's call ended"})
		})
	}
	return runCtx, func() {
		detach()
		stopTimer()
		cancel(nil)
	}
}

// admit checks an attempt and records it as accepted, both under one lock.
func (s *Server) admit(r *runningAttempt) error {
	d := r.dispatch
	if (d.Generate == nil) == (d.Call == nil) {
		return gate.ErrClosed{Code: codeMalformed, Reason: "a dispatch carries either a generation or a call"}
	}
	if d.Incarnation != s.opts.Info.Incarnation {
		return gate.ErrClosed{Code: codeWrongIncarnation, Reason: "this agent has restarted since"}
	}
	at := s.leaseStatus()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.checkWithdrawalLocked(now)
	if err := s.checkAcceptLocked(at, d); err != nil {
		return err
	}
	if d.Suspect && s.suspectRunsLocked() {
		return gate.ErrClosed{Code: codeSuspectBusy, Reason: "another suspect request runs here"}
	}
	if err := s.admitColdLocked(d, now); err != nil {
		return err
	}
	if err := s.limitOf(d).admit(now); err != nil {
		return err
	}
	if err := s.attempts.Accept(d.Ref, d.AtMostOnce); err != nil {
		return err
	}
	s.running[d.Ref] = r
	return nil
}

// checkAcceptLocked returns a gate.ErrClosed if an attempt must not be accepted now.
func (s *Server) checkAcceptLocked(at gate.LeaseStatus, d *message.Dispatch) error {
	// The lease was valid at that time, so a set that is read now is at least as new as the lease.
	if s.session.Evacuated().Contains(s.opts.Info.FailureDomain) {
		return gate.ErrClosed{Code: codeEvacuated, Reason: "the failure domain of this endpoint is evacuated"}
	}
	if d.Generate != nil {
		return s.gate.CheckAccept(at, d.Generate.Replica, d.Generate.Fence)
	}
	switch {
	case s.services[d.Call.Service] == nil:
		return gate.ErrClosed{Code: codeNoSuchService, Reason: "this host has no service " + d.Call.Service}
	case s.gate.Stopping():
		return gate.ErrClosed{Code: gate.CodeDraining, Reason: "this endpoint is leaving"}
	case !at.Leased:
		return gate.ErrClosed{Code: gate.CodeLeaseLapsed, Reason: "the agent's lease has lapsed"}
	}
	return nil
}

// limitOf returns the limit of the endpoint that an acceptable attempt is for.
func (s *Server) limitOf(d *message.Dispatch) *endpointLimit {
	if d.Generate != nil {
		return s.engineLimit
	}
	return s.serviceLimits[d.Call.Service]
}

func (s *Server) suspectRunsLocked() bool {
	for _, r := range s.running {
		if r.dispatch.Suspect {
			return true
		}
	}
	return false
}

// refuse responds to an attempt that was not accepted. A duplicate gets an End with
// outcome unknown, since the earlier copy may have run.
func (s *Server) refuse(stream *transport.Stream, ref message.Ref, err error) {
	refused := &message.Refused{Ref: ref, Reason: err.Error()}
	var closed gate.ErrClosed
	var limited ErrLimited
	switch {
	case errors.As(err, &limited):
		refused.Code = codeOverloaded
		refused.RetryAfterMs = limited.RetryAfter.Milliseconds() + 1
	case attempt.IsErrDuplicate(err):
		s.countRejected(stream.Peer().String(), err.Error(), 1)
		_ = stream.Answer(&message.End{Ref: ref, Outcome: request.OutcomeUnknown, Code: codeDuplicate, Reason: err.Error()})
		return
	case attempt.IsErrTombstone(err):
		refused.Code = codeGivenUp
	case attempt.IsErrFull(err):
		refused.Code = codeOverloaded
		refused.RetryAfterMs = retryAfterBusyMs
	case errors.As(err, &closed):
		refused.Code = closed.Code
		refused.Reason = closed.Reason
	}
	_ = stream.Answer(refused)
}

// runAttempt passes an accepted attempt to its endpoint. It checks the attempt again
// just before.
func (s *Server) runAttempt(ctx context.Context, stream *transport.Stream, r *runningAttempt, answer *message.Answer) *message.End {
	d := r.dispatch
	if err := stream.Send(&message.Accepted{Ref: d.Ref}); err != nil {
		return notRunEnd(codeEntryGone, err)
	}
	at := s.leaseStatus()
	s.mu.Lock()
	err := s.checkAcceptLocked(at, d)
	if err == nil {
		err = s.attempts.Start(d.Ref)
	}
	s.mu.Unlock()
	var closed gate.ErrClosed
	switch {
	case errors.As(err, &closed):
		return notRunEnd(closed.Code, err)
	case err != nil:
		return notRunEnd(codeGivenUp, err)
	case d.Generate != nil:
		return s.generate(ctx, stream, r, answer)
	default:
		return s.callService(ctx, stream, r, answer)
	}
}

func notRunEnd(code string, err error) *message.End {
	return &message.End{Outcome: request.OutcomeNotRun, Code: code, Reason: err.Error()}
}

func unknownEnd(code string, err error) *message.End {
	return &message.End{Outcome: request.OutcomeUnknown, Code: code, Reason: err.Error()}
}

// receiveCancels receives the entry's Cancel frames until the entry closes its side
// of the stream. An entry that only closes its side still reads the response. If
// the stream breaks, the entry is gone, and an idempotent attempt is canceled.
func (s *Server) receiveCancels(stream *transport.Stream, r *runningAttempt) {
	for {
		m, err := stream.Receive()
		switch {
		case errors.Is(err, io.EOF):
			return
		case err != nil:
			if !r.dispatch.AtMostOnce {
				r.cancel(errStopped{Code: codeEntryGone, Reason: "the entry's call ended"})
			}
			return
		}
		cancel, ok := m.(*message.Cancel)
		if !ok || cancel.Ref != r.dispatch.Ref {
			s.countRejected(stream.Peer().String(), "a frame for another attempt", 1)
			continue
		}
		r.cancel(errStopped{Code: codeCancelled, Reason: "the entry gave the attempt up"})
	}
}

func (s *Server) cancelAttempt(ref message.Ref, cause error) {
	s.mu.Lock()
	r := s.running[ref]
	s.mu.Unlock()
	if r != nil {
		r.cancel(cause)
	}
}

// finishAttempt records how an attempt ended and delivers the result to its waiters.
func (s *Server) finishAttempt(r *runningAttempt, end *message.End, answer *message.Answer) {
	if end.Outcome != request.OutcomeComplete {
		answer = nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, r.dispatch.Ref)
	s.broadcastLocked()
	for _, d := range s.attempts.End(r.dispatch.Ref, end.Outcome, answer, time.Now()) {
		if waiter := s.waiters[d.Waiter]; waiter != nil {
			waiter <- d.Result
			delete(s.waiters, d.Waiter)
		}
	}
}

// cancelGenerations cancels all generations in progress with err as the cause, so
// that the entries which sent them can fail over to another replica. If err is nil,
// it does nothing.
func (s *Server) cancelGenerations(err error) {
	if err == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.running {
		if r.dispatch.Generate != nil {
			r.cancel(err)
		}
	}
}
