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

func (s *Server) generate(ctx context.Context, stream *transport.Stream, r *run, answer *message.Answer) *message.End {
	d := r.dispatch
	keep := keeper{answer: answer, limit: s.attempts.MaxAnswerBytes(), on: d.AtMostOnce}
	chunk := &message.Chunk{Ref: d.Ref}
	result, err := s.engine.Generate(ctx, d, func(t engine.TokenBatch) error {
		keep.add(t.Text)
		chunk.Offset, chunk.Count, chunk.Data = t.Offset, t.Count, t.Text
		return keep.unlessKept(stream.Send(chunk))
	})
	s.reject("engine", "events of another request, repeated or behind the end", result.Rejected)
	if err != nil {
		return s.broken(ctx, r, err)
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

// broken returns the End for a generation that failed with err. It cancels the
// generation at the engine if the engine may still be running it.
func (s *Server) broken(ctx context.Context, r *run, err error) *message.End {
	var refused engine.ErrRefused
	switch {
	case errors.As(err, &refused):
		return notRun(refused.Code, err)
	case engine.IsErrNotSent(err):
		return notRun(codeUnreachable, err)
	case ctx.Err() != nil:
		go s.cancelAtEngine(r.dispatch.Ref)
		return s.stopped(ctx, r)
	case engine.IsErrResponseCut(err) && (s.isCrashed(r) || s.checkCrash()):
		return unknown(codeCrashed, err)
	case engine.IsErrResponseCut(err), engine.IsErrMissingTokens(err):
		return unknown(codeCut, err)
	default:
		go s.cancelAtEngine(r.dispatch.Ref)
		return unknown(codeEntryGone, err)
	}
}

func (s *Server) isCrashed(r *run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.crashed
}

// stopped returns the End for an attempt whose context was canceled, by its cause.
func (s *Server) stopped(ctx context.Context, r *run) *message.End {
	cause := context.Cause(ctx)
	var closed gate.ErrClosed
	var stop errStopped
	switch {
	case s.isCrashed(r):
		return unknown(codeCrashed, cause)
	case errors.As(cause, &closed):
		return unknown(closed.Code, cause)
	case errors.As(cause, &stop):
		return unknown(stop.Code, cause)
	default:
		return unknown(codeStopped, cause)
	}
}

// cancelAtEngine sends the engine an explicit cancellation. Closing the connection
// is not enough, since an engine that hangs may not notice it.
func (s *Server) cancelAtEngine(ref message.Ref) {
	ctx, cancel := context.WithTimeout(s.context(), cancelTimeout)
	defer cancel()
	_ = s.engine.Cancel(ctx, ref)
}

// keeper records the body of an at-most-once attempt's answer. A body over limit
// bytes is dropped. If on is false, nothing is recorded.
type keeper struct {
	answer *message.Answer
	limit  int
	on     bool
}

func (k *keeper) add(data []byte) {
	switch {
	case !k.on || k.answer.BodyDropped:
	case len(k.answer.Body)+len(data) > k.limit:
		k.answer.Body = nil
		k.answer.BodyDropped = true
	default:
		k.answer.Body = append(k.answer.Body, data...)
	}
}

// unlessKept returns err, or nil if the answer is recorded: an at-most-once attempt
// continues after its entry is gone.
func (k *keeper) unlessKept(err error) error {
	if k.on {
		return nil
	}
	return err
}
