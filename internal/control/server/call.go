package server

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/control/state"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/identity"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// The codes of message.Failure.
const (
	codeForbidden   = "forbidden"
	codeMalformed   = "malformed"
	codeSuperseded  = "superseded"
	codeUnavailable = "unavailable"
	codeUncertain   = "uncertain"
	codeRefused     = "refused"
	codeNotFound    = "not_found"
)

// firstFrameTimeout limits the wait for the first frame of a stream.
const firstFrameTimeout = 5 * time.Second

// ErrFailure is the error of a call that is answered by a message.Failure with its code and reason.
type ErrFailure struct {
	Code   string
	Reason string
}

func (e ErrFailure) Error() string { return e.Code + ": " + e.Reason }

// IsErrFailure reports whether err is an ErrFailure.
func IsErrFailure(err error) bool {
	var e ErrFailure
	return errors.As(err, &e)
}

// unexpectedResult returns the error for a result that is not of the expected type.
func unexpectedResult(result any) error {
	if refused, ok := result.(state.Refused); ok {
		return ErrFailure{Code: codeRefused, Reason: refused.Reason}
	}
	return errors.Errorf("command answered by %T", result)
}

// handleStream serves one stream by its first frame: a quorum link, a daemon's session or a single
// call.
func (s *Server) handleStream(ctx context.Context, stream *transport.Stream) {
	_ = stream.SetReadDeadline(time.Now().Add(firstFrameTimeout))
	first, err := stream.Receive()
	if err != nil {
		event.FrameRejected.On(s.opts.Logger).Str("peer", stream.Peer().String()).Str("reason", err.Error()).Msg("")
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	if role := callerRole(first); stream.Peer().Role != role && !isDaemonAnnounce(first, stream) {
		_ = stream.Answer(&message.Failure{Code: codeForbidden, Reason: "the certificate's role may not make this call"})
		return
	}
	switch m := first.(type) {
	case *message.Quorum:
		s.log.Serve(ctx, stream, m)
	case *message.Announce:
		s.serveSession(ctx, stream, m)
	default:
		s.serveCall(ctx, stream, first)
	}
}

// callerRole returns the role whose certificate allows the call or quorum link. Agents and entries
// that announce themselves are allowed by isDaemonAnnounce instead.
func callerRole(m message.Message) host.Role {
	switch m.(type) {
	case *message.Quorum:
		return host.RoleControl
	case *message.Claim, *message.Settle, *message.SuspectsCleared:
		return host.RoleEntry
	case *message.CrashReport:
		return host.RoleAgent
	default:
		return host.RoleOperator
	}
}

// isDaemonAnnounce reports whether an agent or entry opens a session.
func isDaemonAnnounce(m message.Message, stream *transport.Stream) bool {
	_, ok := m.(*message.Announce)
	role := stream.Peer().Role
	return ok && (role == host.RoleAgent || role == host.RoleEntry)
}

// serveCall answers one call.
func (s *Server) serveCall(ctx context.Context, stream *transport.Stream, m message.Message) {
	s.callCount.Add(1)
	s.callsInProgress.Add(1)
	defer s.callsInProgress.Add(-1)
	_ = stream.Answer(s.answer(ctx, stream.Peer(), m))
}

func (s *Server) answer(ctx context.Context, peer identity.Identity, m message.Message) message.Message {
	l := s.leader.Load()
	if l == nil || s.redirecting.Load() {
		return s.notLeader()
	}
	answer, err := l.answer(ctx, peer, m)
	if err != nil {
		return s.failureMessage(err)
	}
	return answer
}

// notLeader returns the redirect to the leader, without an address if this host leads but has not
// opened its term yet or is stopping.
func (s *Server) notLeader() *message.NotLeader {
	status := s.log.Status()
	if status.Leading {
		return &message.NotLeader{}
	}
	return &message.NotLeader{Leader: s.opts.Hosts[status.Leader]}
}

// failureMessage returns the answer for an error of the replicated log or of a call.
func (s *Server) failureMessage(err error) message.Message {
	var call ErrFailure
	switch {
	case IsErrNotLeader(err):
		return s.notLeader()
	case IsErrUncertain(err):
		return &message.Failure{Code: codeUncertain, Reason: err.Error(), MayHaveApplied: true}
	case errors.As(err, &call):
		return &message.Failure{Code: call.Code, Reason: call.Reason}
	default:
		return &message.Failure{Code: codeUnavailable, Reason: err.Error()}
	}
}

// propose commits a command that is valid in any term, such as that of a caller, and returns its
// result. If the replicated state refuses the command, it returns an ErrFailure.
func (s *Server) propose(ctx context.Context, c state.Command) (state.Result, error) {
	return s.proposeInTerm(ctx, 0, c)
}

// proposeInTerm is propose for a command that the leader of a term has decided. The replicated
// state refuses it in another term; 0 means any term.
func (s *Server) proposeInTerm(ctx context.Context, term uint64, c state.Command) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timing.ProposeTimeout)
	defer cancel()
	data, err := state.Encode(time.Now(), term, c)
	if err != nil {
		return nil, ErrFailure{Code: codeMalformed, Reason: err.Error()}
	}
	result, err := s.log.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	if refused, ok := result.(state.Refused); ok {
		return nil, ErrFailure{Code: codeRefused, Reason: refused.Reason}
	}
	answer, ok := result.(state.Result)
	if !ok {
		return nil, errors.Errorf("command answered by %T", result)
	}
	return answer, nil
}
