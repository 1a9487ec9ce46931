package dispatch

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/entry/execution"
	"github.com/egretreach/egretreach/internal/entry/suspicion"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/process/httpserver"
	"github.com/egretreach/egretreach/internal/process/httpstatus"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// codeInvalidRequest is the code of an agent whose engine refuses the body. Every other
// engine would refuse it too.
const codeInvalidRequest = "invalid_request"

// codeCallerGone is the code of an attempt that ended, or was not made, because the caller has left.
const codeCallerGone = "caller_gone"

// openTimeout bounds the time to open a stream to an agent.
const openTimeout = 2 * time.Second

// runAttempt sends the request to its target once, waits for the end of the attempt and
// reports it to the router.
func (e *executor) runAttempt(ctx context.Context, a execution.Dispatch) execution.Event {
	start := time.Now()
	e.target = a.Target
	e.progress.heardAt = start
	ended := e.streamAttempt(ctx, a, start)
	end := AttemptEnd{Kind: ended.Kind, Code: ended.Code, CachedTokens: -1, Crash: ended.Crash}
	if ended.Kind == execution.EndComplete {
		end.CachedTokens = e.progress.end.CachedTokens
	}
	e.endAttempt(end)
	return ended
}

func (e *executor) streamAttempt(ctx context.Context, a execution.Dispatch, start time.Time) execution.Ended {
	if httpserver.CallerLeft(ctx) {
		return execution.Ended{Kind: execution.EndNotRun, Code: codeCallerGone, Reason: "the caller has left", Final: true}
	}
	stream, err := e.open(ctx, a.Target.Address)
	if err != nil {
		return execution.Ended{Kind: execution.EndNotRun, Code: execution.CodeAgentUnreachable, Reason: err.Error()}
	}
	defer stream.Close()
	stop := stream.CancelOn(ctx)
	defer stop()
	if e.route.Revoked != nil {
		stopOnRevoked := stream.CancelOn(e.route.Revoked)
		defer stopOnRevoked()
	}
	ref := message.Ref{Request: e.work.ID, Attempt: a.Attempt}
	// From here on the agent may have the request, regardless of the error, except for a
	// frame that is too large, of which nothing is sent.
	if err := stream.Send(e.dispatchMessage(a, ref)); err != nil {
		if message.IsErrFrameTooLarge(err) {
			return execution.Ended{Kind: execution.EndNotRun, Code: "request_too_large", Reason: err.Error(), Final: true}
		}
		return e.attemptLost(ctx, err)
	}
	e.progress.beginAttempt(ref)
	stall := newStallTimer(e.route.FirstTokenTimeout, stream.Cancel)
	for {
		stall.start()
		m, err := stream.Receive()
		_, token := m.(*message.Chunk)
		stall.stop(token)
		if err != nil && stall.expired.Load() {
			return execution.Ended{Kind: execution.EndLost, Code: codeStalled, Reason: "the endpoint gave no token for too long"}
		}
		if err != nil {
			return e.attemptLost(ctx, err)
		}
		e.progress.heardAt = time.Now()
		if ended, ok := e.handleFrame(m, ref, start); ok {
			return ended
		}
	}
}

func (e *executor) open(ctx context.Context, address string) (*transport.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	return e.dispatcher.opts.Pool.Open(ctx, address)
}

// handleFrame handles one frame of the attempt. It returns true with the last one.
func (e *executor) handleFrame(m message.Message, ref message.Ref, start time.Time) (execution.Ended, bool) {
	if got, ok := attemptRef(m); !ok || got != ref {
		event.FrameRejected.On(e.dispatcher.opts.Logger).Str("request", ref.Request.String()).
			Str("reason", "frame of another request").Msg("")
		return execution.Ended{}, false
	}
	switch m := m.(type) {
	case *message.Refused:
		return execution.Ended{
			Kind: execution.EndNotRun, Code: m.Code, Reason: m.Reason,
			RetryAfter: time.Duration(m.RetryAfterMs) * time.Millisecond,
		}, true
	case *message.Head:
		return e.handleHead(m)
	case *message.Chunk:
		return e.handleChunk(m, start)
	case *message.End:
		return e.handleEnd(m), true
	default: // The first chunk carries everything that Accepted does.
	}
	return execution.Ended{}, false
}

func (e *executor) handleHead(m *message.Head) (execution.Ended, bool) {
	if err := httpstatus.CheckFinal(m.Status); err != nil {
		return execution.Ended{Kind: execution.EndLost, Code: execution.CodeEndpointFailed, Reason: err.Error()}, true
	}
	e.progress.head = m
	return execution.Ended{}, false
}

func (e *executor) handleChunk(m *message.Chunk, start time.Time) (execution.Ended, bool) {
	if !e.progress.firstTokenSeen && e.route.OnFirstToken != nil {
		e.route.OnFirstToken(time.Since(start))
	}
	switch err := e.progress.addChunk(time.Now(), m); {
	case err == nil:
		if gap, ok := e.progress.meanTokenGap(); ok && e.route.OnTokenGap != nil {
			e.route.OnTokenGap(gap)
		}
		return execution.Ended{}, false
	case isErrOffset(err):
		event.FrameRejected.On(e.dispatcher.opts.Logger).Str("request", m.Ref.Request.String()).
			Str("reason", err.Error()).Msg("")
		return execution.Ended{Kind: execution.EndLost, Code: execution.CodeEndpointFailed, Reason: err.Error()}, true
	case isErrAnswerTooLarge(err):
		return execution.Ended{Kind: execution.EndLost, Code: "answer_too_large", Reason: err.Error(), Final: true}, true
	case errors.Is(err, errAnswerMemory):
		return execution.Ended{Kind: execution.EndLost, Code: "answer_memory", Reason: err.Error(), Final: true}, true
	default:
		return execution.Ended{Kind: execution.EndLost, Code: "caller_gone", Reason: err.Error(), Final: true}, true
	}
}

func (e *executor) handleEnd(m *message.End) execution.Ended {
	switch m.Outcome {
	case request.OutcomeComplete:
		if m.Length != e.progress.length() {
			return execution.Ended{
				Kind: execution.EndLost, Code: execution.CodeEndpointFailed,
				Reason: "the answer ended before its whole length had arrived",
			}
		}
		if !e.progress.hasHead() {
			return execution.Ended{Kind: execution.EndLost, Code: execution.CodeEndpointFailed, Reason: "the answer ended without its head"}
		}
		e.progress.end = *m
		return execution.Ended{Kind: execution.EndComplete, Answer: e.progress.ledgerAnswer()}
	case request.OutcomeNotRun:
		return execution.Ended{Kind: execution.EndNotRun, Code: m.Code, Reason: m.Reason, Final: m.Code == codeInvalidRequest}
	case request.OutcomeUnknown:
		ended := execution.Ended{Kind: execution.EndLost, Code: m.Code, Reason: m.Reason, ReportedUnknown: true, Crash: m.Crash}
		if m.Code == execution.CodeEngineCrashed {
			ended.RetryAfter = suspicion.RetryAfterCrash
		}
		return ended
	}
	return execution.Ended{Kind: execution.EndLost, Code: m.Code, Reason: m.Reason}
}

// attemptLost returns the end of an attempt whose stream failed with err. ctx is
// canceled when the caller of an idempotent request leaves, and for a request that runs
// at most once only when the entry stops.
func (e *executor) attemptLost(ctx context.Context, err error) execution.Ended {
	ended := execution.Ended{Kind: execution.EndLost, Code: execution.CodeAgentUnreachable, Reason: "the link to the agent was lost"}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		ended.Code = codeCallerGone
		ended.Final = true
		return ended
	case e.route.Revoked != nil && e.route.Revoked.Err() != nil:
		ended.Code = "revoked"
		ended.Reason = "a copy of the request was in flight when an engine crashed"
		ended.RetryAfter = suspicion.RetryAfterCrash
		return ended
	}
	if !errors.Is(err, io.EOF) {
		event.LinkLost.On(e.dispatcher.opts.Logger).Str("request", e.work.ID.String()).Err(err).Msg("")
	}
	return ended
}

func (e *executor) dispatchMessage(a execution.Dispatch, ref message.Ref) *message.Dispatch {
	m := &message.Dispatch{
		Ref: ref, Team: e.work.Team, Class: e.work.Class, Incarnation: a.Target.Incarnation,
		TimeoutMs: time.Until(e.work.Deadline).Milliseconds(), BodyHash: e.work.BodyHash,
		AtMostOnce: e.work.AtMostOnce, Suspect: e.work.Suspect || e.route.Suspect,
		Priority: e.work.Priority, TraceParent: e.work.TraceParent,
	}
	switch body := e.work.Body.(type) {
	case Generation:
		m.Generate = &message.Generate{
			Replica: a.Target.Replica, Fence: a.Target.Fence, Path: body.Path, Body: body.Raw,
			Adapter: body.Adapter, ResumeOffset: e.progress.offset, ResumeText: string(e.progress.body),
		}
	case ServiceCall:
		call := body.Call
		m.Call = &call
	}
	return m
}

func attemptRef(m message.Message) (message.Ref, bool) {
	switch m := m.(type) {
	case *message.Accepted:
		return m.Ref, true
	case *message.Refused:
		return m.Ref, true
	case *message.Head:
		return m.Ref, true
	case *message.Chunk:
		return m.Ref, true
	case *message.End:
		return m.Ref, true
	default:
		return message.Ref{}, false
	}
}

// askAgent asks an agent over a new stream for the outcome of an attempt.
func (e *executor) askAgent(ctx context.Context, a execution.Ask) execution.Event {
	stream, err := e.open(ctx, a.Address)
	if err != nil {
		return execution.Asked{}
	}
	defer stream.Close()
	stop := stream.CancelOn(ctx)
	defer stop()
	question := a.Message
	if stream.Send(&question) != nil {
		return execution.Asked{}
	}
	answer, err := stream.Receive()
	if err != nil {
		return execution.Asked{}
	}
	result, ok := answer.(*message.AskResult)
	if !ok || result.Ref != question.Ref {
		return execution.Asked{}
	}
	return execution.Asked{Answered: true, State: result.State, Answer: result.Answer}
}
