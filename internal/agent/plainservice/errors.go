package plainservice

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

// ErrResponseCut is returned for a call whose response was missing or incomplete.
// The call may have run.
type ErrResponseCut struct{ Cause error }

func (e ErrResponseCut) Error() string { return fmt.Sprintf("service's answer broke off: %v", e.Cause) }

// Unwrap returns the cause.
func (e ErrResponseCut) Unwrap() error { return e.Cause }

// IsErrResponseCut reports whether err is an ErrResponseCut.
func IsErrResponseCut(err error) bool {
	var e ErrResponseCut
	return errors.As(err, &e)
}
