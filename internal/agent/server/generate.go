package server

import (
	"context"
	"strconv"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/agent/engine"
	"github.com/egretreach/egretreach/internal/agent/gate"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/transport"
)

// Header fields in the kept answer of an at-most-once generation.
const (
	headerFinishReason     = "Egretreach-Finish-Reason"
	headerPromptLength     = "Egretreach-Prompt-Length"
	headerCompletionLength = "Egretreach-Completion-Length"
)

const statusOK = 200

func (s *Server) generate(ctx context.Context, stream *transport.Stream, r *runningAttempt, answer *message.Answer) *message.End {
	d := r.dispatch
	recorder := answerRecorder{answer: answer, limit: s.attempts.MaxAnswerBytes(), enabled: d.AtMostOnce}
	chunk := &message.Chunk{Ref: d.Ref}
	result, err := s.engine.Generate(ctx, d, func(t engine.TokenBatch) error {
		recorder.add(t.Text)
		chunk.Offset, chunk.Count, chunk.Data = t.Offset, t.Count, t.Text
		return recorder.errUnlessRecording(stream.Send(chunk))
	})
	s.countRejected("engine", "events of another request, repeated or behind the end", result.Rejected)
	if err != nil {
		return s.endForError(ctx, r, err)
	}
	answer.Status = statusOK
	answer.Header = map[string][]string{
		headerFinishReason:     {result.FinishReason},
		headerPromptLength:     {strconv.Itoa(result.PromptTokens)},
		headerCompletionLength: {strconv.Itoa(result.CompletionTokens)},
	}
	return &message.End{
		Outcome: request.OutcomeComplete, Length: result.Length, FinishReason: result.FinishReason,
		PromptTokens: result.PromptTokens, CompletionTokens: result.CompletionTokens, CachedTokens: result.CachedTokens,
	}
}

// endForError returns the End for a generation that failed with err. It cancels the
// generation at the engine if the engine may still be running it.
func (s *Server) endForError(ctx context.Context, r *runningAttempt, err error) *message.End {
	var refused engine.ErrRefused
	switch {
	case errors.As(err, &refused):
		return notRunEnd(refused.Code, err)
	case engine.IsErrNotSent(err):
		return notRunEnd(codeEndpointUnreachable, err)
	case ctx.Err() != nil:
		go s.cancelAtEngine(r.dispatch.Ref)
		return s.endForCause(ctx, r)
	case engine.IsErrResponseCut(err) && (s.isCrashed(r) || s.detectCrash()):
		return s.crashedEnd(r, err)
	case engine.IsErrResponseCut(err), engine.IsErrMissingTokens(err):
		return unknownEnd(codeAnswerCut, err)
	default:
		go s.cancelAtEngine(r.dispatch.Ref)
		return unknownEnd(codeEntryGone, err)
	}
}

func (s *Server) isCrashed(r *runningAttempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.crash > 0
}

// crashedEnd returns the End for an attempt that a crash of the engine has ended.
func (s *Server) crashedEnd(r *runningAttempt, err error) *message.End {
	end := unknownEnd(codeEngineCrashed, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	end.Crash = r.crash
	return end
}

// endForCause returns the End for an attempt whose context was canceled, by its
// cause.
func (s *Server) endForCause(ctx context.Context, r *runningAttempt) *message.End {
	cause := context.Cause(ctx)
	var closed gate.ErrClosed
	var stopped errStopped
	switch {
	case s.isCrashed(r):
		return s.crashedEnd(r, cause)
	case errors.As(cause, &closed):
		return unknownEnd(closed.Code, cause)
	case errors.As(cause, &stopped):
		return unknownEnd(stopped.Code, cause)
	default:
		return unknownEnd(codeAgentStopped, cause)
	}
}

// cancelAtEngine sends the engine an explicit cancellation. Closing the connection
// is not enough, since an engine that hangs may not notice it.
func (s *Server) cancelAtEngine(ref message.Ref) {
	ctx, cancel := context.WithTimeout(s.runContext(), cancelTimeout)
	defer cancel()
	_ = s.engine.Cancel(ctx, ref)
}

// answerRecorder records the body of an at-most-once attempt's answer. A body over
// limit bytes is dropped. If enabled is false, nothing is recorded.
type answerRecorder struct {
	answer  *message.Answer
	limit   int
	enabled bool
}

func (r *answerRecorder) add(data []byte) {
	switch {
	case !r.enabled || r.answer.BodyDropped:
	case len(r.answer.Body)+len(data) > r.limit:
		r.answer.Body = nil
		r.answer.BodyDropped = true
	default:
		r.answer.Body = append(r.answer.Body, data...)
	}
}

// errUnlessRecording returns err, or nil if the answer is recorded: an at-most-once
// attempt continues after its entry is gone.
func (r *answerRecorder) errUnlessRecording(err error) error {
	if r.enabled {
		return nil
	}
	return err
}
