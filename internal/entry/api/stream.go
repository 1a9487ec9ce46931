package api

import (
	"encoding/json"
	"net/http"

	"github.com/egretreach/egretreach/internal/entry/dispatch"
	"github.com/egretreach/egretreach/internal/fleet/request"
)

// streamCompletion serves a generation as server-sent events. Until the first token no
// status has been sent, so a failure gets an ordinary error response. A later failure
// is sent as a last event with an error and without [DONE]. The outcome is in the
// trailer.
func (a *API) streamCompletion(c *call, work dispatch.Work, format completionFormat, usage bool) {
	s := &eventStream{call: c, format: format}
	result := a.backend.Serve(c.r.Context(), work, s)
	complete := result.Outcome == request.OutcomeComplete && result.Answer != nil
	if !s.started && !complete {
		a.writeError(c, newErrorResponse(result))
		return
	}
	s.start()
	if !complete {
		_ = s.event(newErrorResponse(result).body(c.id))
	} else {
		_ = s.event(format.finalChunk(result))
		if usage {
			_ = s.event(format.usageChunk(result))
		}
		_ = s.write("data: [DONE]\n\n")
	}
	c.w.Header().Set(HeaderOutcome, string(result.Outcome))
}

// eventStream writes tokens as server-sent events.
type eventStream struct {
	call    *call
	format  completionFormat
	started bool
}

// Tokens implements dispatch.Sink. It blocks while the caller's connection does not
// accept more data.
func (s *eventStream) Tokens(_ uint64, _ uint32, text []byte) error {
	first := !s.started
	s.start()
	return s.event(s.format.chunk(string(text), first))
}

func (s *eventStream) start() {
	if s.started {
		return
	}
	s.started = true
	h := s.call.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", HeaderOutcome)
	s.call.w.WriteHeader(http.StatusOK)
}

func (s *eventStream) event(v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return s.write("data: " + string(raw) + "\n\n")
}

func (s *eventStream) write(text string) error {
	if _, err := s.call.w.Write([]byte(text)); err != nil {
		return err
	}
	s.call.w.Flush()
	return s.call.r.Context().Err()
}
