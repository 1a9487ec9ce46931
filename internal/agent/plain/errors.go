package plain

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrNotSent is returned for a call of which no byte reached the service. The call
// did not run.
type ErrNotSent struct{ Cause error }

func (e ErrNotSent) Error() string { return fmt.Sprintf("service not reached: %v", e.Cause) }

// Unwrap returns the cause.
func (e ErrNotSent) Unwrap() error { return e.Cause }

// IsErrNotSent reports whether err is an ErrNotSent.
func IsErrNotSent(err error) bool {
	var e ErrNotSent
	return errors.As(err, &e)
}

// ErrCut is returned for a call whose response was missing or incomplete. The call
// may have run.
type ErrCut struct{ Cause error }

func (e ErrCut) Error() string { return fmt.Sprintf("service's answer broke off: %v", e.Cause) }

// Unwrap returns the cause.
func (e ErrCut) Unwrap() error { return e.Cause }

// IsErrCut reports whether err is an ErrCut.
func IsErrCut(err error) bool {
	var e ErrCut
	return errors.As(err, &e)
}
