package upstream

import (
	"io"
	"syscall"

	"github.com/pkg/errors"
)

// ErrAbandoned is returned if WaitPolicy.KeepWaiting ended the wait for a response.
type ErrAbandoned struct{}

func (ErrAbandoned) Error() string { return "given up" }

// IsErrAbandoned reports whether err is an ErrAbandoned.
func IsErrAbandoned(err error) bool {
	var e ErrAbandoned
	return errors.As(err, &e)
}

// ErrNotSent is returned if no connection could be opened, so that the request has not run.
type ErrNotSent struct{ Cause error }

func (e ErrNotSent) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e ErrNotSent) Unwrap() error { return e.Cause }

// IsErrNotSent reports whether err is an ErrNotSent.
func IsErrNotSent(err error) bool {
	var e ErrNotSent
	return errors.As(err, &e)
}

// IsConnectionRefused reports whether err says that nothing listens at the address.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// ErrInterrupted is returned if an exchange failed once sending had begun. The request may have
// run.
type ErrInterrupted struct {
	Cause error
	// Reused says that the connection was kept idle before the request.
	Reused bool
}

func (e ErrInterrupted) Error() string {
	if e.Reused {
		return "broken off on a kept connection: " + e.Cause.Error()
	}
	return "broken off: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e ErrInterrupted) Unwrap() error { return e.Cause }

// IsErrInterrupted reports whether err is an ErrInterrupted.
func IsErrInterrupted(err error) bool {
	var e ErrInterrupted
	return errors.As(err, &e)
}

// ErrRequestNotReceived is the cause of an ErrInterrupted if the endpoint has ended its side of the connection, and has not received the whole
// request. A response that ends with its connection may be incomplete then.
type ErrRequestNotReceived struct{ Cause error }

func (e ErrRequestNotReceived) Error() string {
	return "the connection ended before the request was received: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e ErrRequestNotReceived) Unwrap() error { return e.Cause }

// IsErrRequestNotReceived reports whether err is an ErrRequestNotReceived.
func IsErrRequestNotReceived(err error) bool {
	var e ErrRequestNotReceived
	return errors.As(err, &e)
}

// asUnexpectedEOF returns io.ErrUnexpectedEOF for io.EOF, and any other error unchanged.
func asUnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
