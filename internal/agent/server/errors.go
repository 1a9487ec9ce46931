package server

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrSuperseded is returned by Run if another agent has announced this agent's host.
type ErrSuperseded struct{ Reason string }

func (e ErrSuperseded) Error() string { return "another agent announced this host: " + e.Reason }

// IsErrSuperseded reports whether err is an ErrSuperseded.
func IsErrSuperseded(err error) bool {
	var e ErrSuperseded
	return errors.As(err, &e)
}

// errStopped is the cause with which the context of an attempt is canceled. Its code
// is sent in the attempt's End.
type errStopped struct {
	Code   string
	Reason string
}

func (e errStopped) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Reason) }

// Codes of message.Refused and message.End, in addition to those of package gate.
const (
	codeWrongIncarnation    = "wrong_incarnation"
	codeMalformed           = "malformed"
	codeNotAllowed          = "not_allowed"
	codeNoSuchService       = "no_such_service"
	codeOverloaded          = "overloaded"
	codeSuspectBusy         = "suspect_busy"
	codeGivenUp             = "given_up"
	codeDuplicate           = "duplicate"
	codeCancelled           = "cancelled"
	codeEntryGone           = "entry_gone"
	codeDeadline            = "deadline"
	codeAgentStopped        = "agent_stopped"
	codeEndpointUnreachable = "endpoint_unreachable"
	codeAnswerCut           = "answer_cut"
	codeEngineCrashed       = "engine_crashed"
	codeSuperseded          = "superseded"
	codeEvacuated           = "evacuated"

	// retryAfterBusyMs is the retry delay that is sent with codeOverloaded.
	retryAfterBusyMs = 200
)
