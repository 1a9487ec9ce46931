package dispatch

import (
	"time"

	"github.com/phuslu/log"

	"github.com/egretreach/egretreach/internal/entry/execution"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// logDecision logs what follows from an attempt that failed or found no target: another attempt or
// the end of the request. It logs nothing while an agent is asked for the outcome of the attempt.
func (e *executor) logDecision(failed execution.Event, next execution.Action) {
	if !isFailure(failed) {
		return
	}
	switch next := next.(type) {
	case execution.Wait:
		e.failureEntry(event.RequestRetried, failed).Int64("delay_ms", next.For.Milliseconds()).Msg("")
	case execution.Finish:
		e.failureEntry(event.RequestGivenUp, failed).Str("result", string(next.Result.Outcome)).Msg("")
	case execution.Settle:
		e.failureEntry(event.RequestGivenUp, failed).Str("result", string(next.Item.Outcome)).Msg("")
	default:
	}
}

func isFailure(e execution.Event) bool {
	switch e := e.(type) {
	case execution.Ended:
		return e.Kind != execution.EndComplete
	case execution.Unroutable:
		return true
	default:
		return false
	}
}

// failureEntry returns a log entry with the request, its last attempt and how that failed.
func (e *executor) failureEntry(kind event.Event, failed execution.Event) *log.Entry {
	entry := kind.On(e.dispatcher.opts.Logger).Str("request", e.work.ID.String()).
		Str("host", string(e.target.Host)).Uint64("received", e.progress.offset).
		Int64("left_ms", time.Until(e.work.Deadline).Milliseconds())
	switch failed := failed.(type) {
	case execution.Ended:
		return entry.Str("code", failed.Code).Str("attempt", string(attemptOutcome(failed.Kind))).
			Int64("silent_ms", e.progress.silence(time.Now()).Milliseconds())
	case execution.Unroutable:
		return entry.Str("code", failed.Code).Str("attempt", string(request.OutcomeNotRun))
	default:
		return entry
	}
}

func attemptOutcome(kind execution.EndKind) request.Outcome {
	if kind == execution.EndNotRun {
		return request.OutcomeNotRun
	}
	return request.OutcomeUnknown
}
