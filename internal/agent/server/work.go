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

// run is an attempt in progress.
type run struct {
	dispatch *message.Dispatch
	cancel   context.CancelCauseFunc
	// crashed is true if the engine crashed during the attempt.
	crashed bool
}

// dispatch serves one attempt that an entry dispatched: it runs the attempt and sends
// the response and its End.
func (s *Server) dispatch(ctx context.Context, stream *transport.Stream, d *message.Dispatch) {
	s.entered()
	defer s.exited()
	r := &run{dispatch: d}
	runCtx, stop := s.lifetime(ctx, r)
	defer stop()
	if err := s.admit(r); err != nil {
		s.refuse(stream, d.Ref, err)
		return
	}
	heard := make(chan struct{})
	go func() {
		defer close(heard)
		s.listen(stream, r)
	}()
	answer := &message.Answer{}
	end := s.perform(runCtx, stream, r, answer)
	end.Ref = d.Ref
	s.finish(r, end, answer)
	if stream.Send(end) == nil {
		linger(heard)
	}
}

// linger waits up to lingerTimeout until the entry has closed its side of the
// stream, which shows that it has received the End. Without the wait, an agent that
// shuts down could close the connection before the End arrives.
func linger(heard <-chan struct{}) {
	timer := time.NewTimer(lingerTimeout)
	defer timer.Stop()
	select {
	case <-heard:
	case <-timer.C:
	}
}

func (s *Server) entered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
}

func (s *Server) exited() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls--
	s.notifyLocked()
}

// lifetime returns the context of an attempt. The context of an idempotent attempt
// ends with its stream or at its deadline. That of an at-most-once attempt continues
// after the entry is gone, so that the answer can be queried later; it ends after
// MaxAttemptTime.
func (s *Server) lifetime(ctx context.Context, r *run) (context.Context, context.CancelFunc) {
	base := s.context()
	limit := s.opts.MaxAttemptTime
	if !r.dispatch.AtMostOnce && r.dispatch.TimeoutMs > 0 {
		limit = time.Duration(r.dispatch.TimeoutMs) * time.Millisecond
	}
	runCtx, cancel := context.WithCancelCause(base)
	r.cancel = cancel
	runCtx, stopTimer := context.WithTimeoutCause(runCtx, limit, errStopped{Code: codeDeadline, Reason: "the deadline passed"})
	unfollow := func() bool { return true }
	if !r.dispatch.AtMostOnce {
		unfollow = context.AfterFunc(ctx, func() {
			cancel(errStopped{Code: codeEntryGone, Reason: "the entry's call ended"})
		})
	}
	return runCtx, func() {
		unfollow()
		stopTimer()
		cancel(nil)
	}
}

// admit checks an attempt and records it as accepted, both under one lock.
func (s *Server) admit(r *run) error {
	d := r.dispatch
	if (d.Generate == nil) == (d.Call == nil) {
		return gate.ErrClosed{Code: codeMalformed, Reason: "a dispatch carries either a generation or a call"}
	}
	if d.Incarnation != s.opts.Info.Incarnation {
		return gate.ErrClosed{Code: codeIncarnation, Reason: "this agent has restarted since"}
	}
	at := s.reading()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.mayAcceptLocked(at, d); err != nil {
		return err
	}
	if d.Suspect && s.suspectRunsLocked() {
		return gate.ErrClosed{Code: codeSuspectBusy, Reason: "another suspect request runs here"}
	}
	if err := s.attempts.Accept(d.Ref, d.AtMostOnce); err != nil {
		return err
	}
	s.running[d.Ref] = r
	return nil
}

func (s *Server) mayAcceptLocked(at gate.LeaseStatus, d *message.Dispatch) error {
	if d.Generate != nil {
		return s.gate.CheckAccept(at, d.Generate.Replica, d.Generate.Fence)
	}
	switch {
	case s.services[d.Call.Service] == nil:
		return gate.ErrClosed{Code: codeNoService, Reason: "this host has no service " + d.Call.Service}
	case s.gate.Stopping():
		return gate.ErrClosed{Code: gate.CodeDraining, Reason: "this endpoint is leaving"}
	case !at.Leased:
		return gate.ErrClosed{Code: gate.CodeLeaseLapsed, Reason: "the agent's lease has lapsed"}
	}
	return nil
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
	switch {
	case attempt.IsErrDuplicate(err):
		s.reject(stream.Peer().String(), err.Error(), 1)
		_ = stream.Send(&message.End{Ref: ref, Outcome: request.OutcomeUnknown, Code: codeDuplicate, Reason: err.Error()})
		return
	case attempt.IsErrTombstone(err):
		refused.Code = codeTombstone
	case attempt.IsErrFull(err):
		refused.Code = codeOverloaded
		refused.RetryAfterMs = retryAfterBusyMs
	case errors.As(err, &closed):
		refused.Code = closed.Code
		refused.Reason = closed.Reason
	}
	_ = stream.Send(refused)
}

// perform passes an accepted attempt to its endpoint. It checks the attempt again
// just before.
func (s *Server) perform(ctx context.Context, stream *transport.Stream, r *run, answer *message.Answer) *message.End {
	d := r.dispatch
	if err := stream.Send(&message.Accepted{Ref: d.Ref}); err != nil {
		return notRun(codeEntryGone, err)
	}
	at := s.reading()
	s.mu.Lock()
	err := s.mayAcceptLocked(at, d)
	if err == nil {
		err = s.attempts.Start(d.Ref)
	}
	s.mu.Unlock()
	var closed gate.ErrClosed
	switch {
	case errors.As(err, &closed):
		return notRun(closed.Code, err)
	case err != nil:
		return notRun(codeTombstone, err)
	case d.Generate != nil:
		return s.generate(ctx, stream, r, answer)
	default:
		return s.call(ctx, stream, r, answer)
	}
}

func notRun(code string, err error) *message.End {
	return &message.End{Outcome: request.OutcomeNotRun, Code: code, Reason: err.Error()}
}

func unknown(code string, err error) *message.End {
	return &message.End{Outcome: request.OutcomeUnknown, Code: code, Reason: err.Error()}
}

// listen receives the entry's Cancel frames until the entry closes its side of the
// stream. An entry that only closes its side still reads the response. If the stream
// breaks, the entry is gone, and an idempotent attempt is canceled.
func (s *Server) listen(stream *transport.Stream, r *run) {
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
			s.reject(stream.Peer().String(), "a frame for another attempt", 1)
			continue
		}
		r.cancel(errStopped{Code: codeCancelled, Reason: "the entry gave the attempt up"})
	}
}

func (s *Server) cancel(ref message.Ref, cause error) {
	s.mu.Lock()
	r := s.running[ref]
	s.mu.Unlock()
	if r != nil {
		r.cancel(cause)
	}
}

// finish records how an attempt ended and delivers the result to its waiters.
func (s *Server) finish(r *run, end *message.End, answer *message.Answer) {
	if end.Outcome != request.OutcomeComplete {
		answer = nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, r.dispatch.Ref)
	s.notifyLocked()
	for _, d := range s.attempts.End(r.dispatch.Ref, end.Outcome, answer, time.Now()) {
		if waiting := s.waiters[d.Waiter]; waiting != nil {
			waiting <- d.Result
			delete(s.waiters, d.Waiter)
		}
	}
}

// failOver cancels all generations in progress with err as the cause, unless err is
// nil. Entries then try them on another replica.
func (s *Server) failOver(err error) {
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
