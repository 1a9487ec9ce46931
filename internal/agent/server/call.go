package server

import (
	"context"
	"net/http"

	"github.com/egretreach/egretreach/internal/agent/plainservice"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/transport"
)

func (s *Server) call(ctx context.Context, stream *transport.Stream, r *run, answer *message.Answer) *message.End {
	d := r.dispatch
	sink := &callSink{
		stream: stream, ref: d.Ref,
		keeper: keeper{answer: answer, limit: s.attempts.MaxAnswerBytes(), on: d.AtMostOnce},
	}
	err := s.services[d.Call.Service].Call(ctx, d, sink)
	switch {
	case err == nil:
		return &message.End{Outcome: request.OutcomeComplete, Length: sink.offset}
	case plainservice.IsErrNotSent(err):
		return notRun(codeUnreachable, err)
	case ctx.Err() != nil:
		return s.stopped(ctx, r)
	case plainservice.IsErrResponseCut(err):
		return unknown(codeCut, err)
	default:
		return unknown(codeEntryGone, err)
	}
}

// callSink sends the response of a plain service to the entry over a stream.
type callSink struct {
	keeper
	stream *transport.Stream
	ref    message.Ref
	offset uint64
}

// WriteHeader implements plainservice.ResponseSink.
func (c *callSink) WriteHeader(status int, header http.Header) error {
	c.answer.Status = status
	c.answer.Header = header
	return c.unlessKept(c.stream.Send(&message.Head{Ref: c.ref, Status: status, Header: header}))
}

// WriteData implements plainservice.ResponseSink.
func (c *callSink) WriteData(data []byte) error {
	c.add(data)
	chunk := &message.Chunk{Ref: c.ref, Offset: c.offset, Count: uint32(len(data)), Data: data}
	c.offset += uint64(len(data))
	return c.unlessKept(c.stream.Send(chunk))
}
