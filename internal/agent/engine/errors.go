package engine

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrNotSent is returned for a call of which no byte reached the engine. The call
// did not run.
type ErrNotSent struct{ Cause error }

func (e ErrNotSent) Error() string { return fmt.Sprintf("engine not reached: %v", e.Cause) }

// Unwrap returns the cause.
func (e ErrNotSent) Unwrap() error { return e.Cause }

// IsErrNotSent reports whether err is an ErrNotSent.
func IsErrNotSent(err error) bool {
	var e ErrNotSent
	return errors.As(err, &e)
}

// ErrRefused is returned for a call that the engine refused. The call did not run.
type ErrRefused struct {
	Status int
	Code   string
	Reason string
}

func (e ErrRefused) Error() string {
	return fmt.Sprintf("engine refused with status %d (%s): %s", e.Status, e.Code, e.Reason)
}

// IsErrRefused reports whether err is an ErrRefused.
func IsErrRefused(err error) bool {
	var e ErrRefused
	return errors.As(err, &e)
}

// ErrResponseCut is returned for a call whose response was missing, incomplete or
// invalid. The call may have run.
type ErrResponseCut struct{ Cause error }

func (e ErrResponseCut) Error() string { return fmt.Sprintf("engine's answer broke off: %v", e.Cause) }

// Unwrap returns the cause.
func (e ErrResponseCut) Unwrap() error { return e.Cause }

// IsErrResponseCut reports whether err is an ErrResponseCut.
func IsErrResponseCut(err error) bool {
	var e ErrResponseCut
	return errors.As(err, &e)
}

// ErrMissingTokens is returned when the engine continues or ends its response at
// offset Got instead of Want.
type ErrMissingTokens struct {
	Want uint64
	Got  uint64
}

func (e ErrMissingTokens) Error() string {
	return fmt.Sprintf("engine's answer goes on at token %d, not %d", e.Got, e.Want)
}

// IsErrMissingTokens reports whether err is an ErrMissingTokens.
func IsErrMissingTokens(err error) bool {
	var e ErrMissingTokens
	return errors.As(err, &e)
}
