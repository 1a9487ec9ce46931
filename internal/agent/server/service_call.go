package server

import (
	"context"
	"net/http"

	"github.com/egretreach/egretreach/internal/agent/plainservice"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/transport"
)

func (s *Server) callService(ctx context.Context, stream *transport.Stream, r *runningAttempt, answer *message.Answer) *message.End {
	d := r.dispatch
	sink := &responseSink{
		stream: stream, ref: d.Ref,
		answerRecorder: answerRecorder{answer: answer, limit: s.attempts.MaxAnswerBytes(), enabled: d.AtMostOnce},
	}
	err := s.services[d.Call.Service].Call(ctx, d, sink)
	switch {
	case err == nil:
		return &message.End{Outcome: request.OutcomeComplete, Length: sink.offset}
	case plainservice.IsErrNotSent(err):
		return notRunEnd(codeEndpointUnreachable, err)
	case ctx.Err() != nil:
		return s.endForCause(ctx, r)
	case plainservice.IsErrResponseCut(err):
		return unknownEnd(codeAnswerCut, err)
	default:
		return unknownEnd(codeEntryGone, err)
	}
}

// responseSink sends the response of a plain service to the entry over a stream.
type responseSink struct {
	answerRecorder
	stream *transport.Stream
	ref    message.Ref
	offset uint64
}

// WriteHeader implements plainservice.ResponseSink.
func (s *responseSink) WriteHeader(status int, header http.Header) error {
	s.answer.Status = status
	s.answer.Header = header
	return s.errUnlessRecording(s.stream.Send(&message.Head{Ref: s.ref, Status: status, Header: header}))
}

// WriteData implements plainservice.ResponseSink.
func (s *responseSink) WriteData(data []byte) error {
	s.add(data)
	chunk := &message.Chunk{Ref: s.ref, Offset: s.offset, Count: uint32(len(data)), Data: data}
	s.offset += uint64(len(data))
	return s.errUnlessRecording(s.stream.Send(chunk))
}
