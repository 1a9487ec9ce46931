package session

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/link/identity"
	"github.com/egretreach/egretreach/internal/link/message"
)

const callRetryDelay = 100 * time.Millisecond

// ErrNoLeader is returned for a call that reached no control leader. Nothing was
// changed.
type ErrNoLeader struct{ Reason string }

func (e ErrNoLeader) Error() string { return "no control leader: " + e.Reason }

// IsErrNoLeader reports whether err is an ErrNoLeader.
func IsErrNoLeader(err error) bool {
	var e ErrNoLeader
	return errors.As(err, &e)
}

// ErrRefused is returned for a call that control refused.
type ErrRefused struct {
	Code   string
	Reason string
}

func (e ErrRefused) Error() string { return fmt.Sprintf("control refused (%s): %s", e.Code, e.Reason) }

// IsErrRefused reports whether err is an ErrRefused.
func IsErrRefused(err error) bool {
	var e ErrRefused
	return errors.As(err, &e)
}

// ErrUncertain is returned for a call whose answer was lost. The change may have taken
// effect.
type ErrUncertain struct{ Cause error }

func (e ErrUncertain) Error() string {
	return fmt.Sprintf("control's answer was lost, the change may have taken effect: %v", e.Cause)
}

// Unwrap returns the cause.
func (e ErrUncertain) Unwrap() error { return e.Cause }

// IsErrUncertain reports whether err is an ErrUncertain.
func IsErrUncertain(err error) bool {
	var e ErrUncertain
	return errors.As(err, &e)
}

// ErrWrongPeer is returned if the process at Address is not a control daemon. Nothing
// was sent to it.
type ErrWrongPeer struct {
	Address string
	Peer    identity.Identity
}

func (e ErrWrongPeer) Error() string {
	return fmt.Sprintf("%s at %s is no control daemon", e.Peer, e.Address)
}

// IsErrWrongPeer reports whether err is an ErrWrongPeer.
func IsErrWrongPeer(err error) bool {
	var e ErrWrongPeer
	return errors.As(err, &e)
}

// Call sends one message to the control leader and returns its answer. It looks for
// the leader until ctx ends and then returns ErrNoLeader. Once the message was sent to
// a host that did not redirect it, it is not sent again, and Call returns ErrUncertain
// if the answer is lost.
func (s *Session) Call(ctx context.Context, m message.Message) (message.Message, error) {
	for {
		address := s.targetAddress()
		answer, err := s.callOnce(ctx, address, m)
		switch {
		case err == nil:
			return answer, nil
		case !IsErrNoLeader(err):
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, ErrNoLeader{Reason: err.Error()}
		case <-time.After(callRetryDelay):
		}
	}
}

func (s *Session) callOnce(ctx context.Context, address string, m message.Message) (message.Message, error) {
	stream, err := s.openStream(ctx, address)
	if err != nil {
		return nil, ErrNoLeader{Reason: err.Error()}
	}
	defer stream.Close()
	stop := stream.CancelOn(ctx)
	defer stop()
	if err := stream.Send(m); err != nil {
		s.markFailed(address)
		return nil, ErrUncertain{Cause: err}
	}
	answer, err := stream.Receive()
	if err != nil {
		s.markFailed(address)
		return nil, ErrUncertain{Cause: err}
	}
	switch answer := answer.(type) {
	case *message.NotLeader:
		s.redirect(address, answer.Leader)
		return nil, ErrNoLeader{Reason: "redirected from " + address}
	case *message.Failure:
		if answer.MayHaveApplied {
			return nil, ErrUncertain{Cause: errors.New(answer.Reason)}
		}
		return nil, ErrRefused{Code: answer.Code, Reason: answer.Reason}
	default:
		return answer, nil
	}
}
