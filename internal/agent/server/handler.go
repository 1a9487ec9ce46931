package server

import (
	"context"
	"fmt"
	"time"

	"github.com/egretreach/egretreach/internal/agent/attempt"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/transport"
)

// firstFrameTimeout limits the wait for the first frame of a stream.
const firstFrameTimeout = 5 * time.Second

// handleStream serves one stream that a peer opened. Only entries may send work and
// only agents may send heartbeats.
func (s *Server) handleStream(ctx context.Context, stream *transport.Stream) {
	_ = stream.SetReadDeadline(time.Now().Add(firstFrameTimeout))
	m, err := stream.Receive()
	if err != nil {
		if message.IsErrMalformed(err) || message.IsErrUnknownKind(err) || message.IsErrFrameTooLarge(err) {
			s.countRejected(stream.Peer().String(), err.Error(), 1)
			_ = stream.Answer(&message.Failure{Code: codeMalformed, Reason: err.Error()})
		}
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	switch stream.Peer().Role {
	case host.RoleEntry:
		s.handleEntry(ctx, stream, m)
	case host.RoleAgent:
		s.handleAgent(stream, m)
	default:
		s.rejectFrame(stream, m)
	}
}

func (s *Server) handleEntry(ctx context.Context, stream *transport.Stream, m message.Message) {
	switch m := m.(type) {
	case *message.Dispatch:
		s.serveDispatch(ctx, stream, m)
	case *message.Cancel:
		s.cancelAttempt(m.Ref, errStopped{Code: codeCancelled, Reason: "the entry gave the attempt up"})
		_ = stream.Answer(&message.Ack{})
	case *message.Ask:
		s.handleAsk(ctx, stream, m)
	default:
		s.rejectFrame(stream, m)
	}
}

func (s *Server) handleAgent(stream *transport.Stream, m message.Message) {
	if first, ok := m.(*message.Beat); ok {
		s.serveHeartbeats(stream, first)
		return
	}
	s.rejectFrame(stream, m)
}

func (s *Server) rejectFrame(stream *transport.Stream, m message.Message) {
	reason := fmt.Sprintf("%T is not taken from a %s", m, stream.Peer().Role)
	s.countRejected(stream.Peer().String(), reason, 1)
	_ = stream.Answer(&message.Failure{Code: codeNotAllowed, Reason: reason})
}

// handleAsk responds with the state of an attempt. If the entry asked to wait, it
// responds when the attempt has ended.
func (s *Server) handleAsk(ctx context.Context, stream *transport.Stream, ask *message.Ask) {
	s.mu.Lock()
	s.lastWaiter++
	waiter := s.lastWaiter
	result, pending := s.attempts.Ask(ask, waiter)
	delivered := make(chan message.AskResult, 1)
	if pending {
		s.waiters[waiter] = delivered
	}
	s.mu.Unlock()
	if pending {
		select {
		case result = <-delivered:
		case <-ctx.Done():
			s.removeWaiter(ask.Ref, waiter)
			return
		}
	}
	_ = stream.Answer(&result)
}

func (s *Server) removeWaiter(ref message.Ref, waiter attempt.WaiterID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, waiter)
	s.attempts.RemoveWaiter(ref, waiter)
}
