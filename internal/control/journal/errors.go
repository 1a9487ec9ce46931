package journal

import (
	"fmt"
	"syscall"

	"github.com/pkg/errors"
)

// ErrLocked is returned by Open if another process has the journal open.
type ErrLocked struct{ File string }

func (e ErrLocked) Error() string { return e.File + " is locked by another process" }

// IsErrLocked reports whether err is an ErrLocked.
func IsErrLocked(err error) bool {
	var e ErrLocked
	return errors.As(err, &e)
}

// ErrCorrupt is returned by Open if the content of a file is not what was written. The journal
// cannot be used; its host has to start again with an empty folder.
type ErrCorrupt struct {
	File string
	// Offset is where the damaged record starts, in bytes.
	Offset int
	Reason string
}

func (e ErrCorrupt) Error() string {
	return fmt.Sprintf("%s is corrupt at byte %d: %s", e.File, e.Offset, e.Reason)
}

// IsErrCorrupt reports whether err is an ErrCorrupt.
func IsErrCorrupt(err error) bool {
	var e ErrCorrupt
	return errors.As(err, &e)
}

// ErrDiskFull is returned if the disk has no space left or the disk quota is used up.
type ErrDiskFull struct{ File string }

func (e ErrDiskFull) Error() string { return "no space left on the disk for " + e.File }

// IsErrDiskFull reports whether err is an ErrDiskFull.
func IsErrDiskFull(err error) bool {
	var e ErrDiskFull
	return errors.As(err, &e)
}

// ErrIO is returned for any other failed file operation. After a failed write or sync, the data
// may or may not be there after a restart.
type ErrIO struct {
	Operation string
	File      string
	Cause     error
}

func (e ErrIO) Error() string { return fmt.Sprintf("%s %s: %v", e.Operation, e.File, e.Cause) }

// Unwrap returns the cause.
func (e ErrIO) Unwrap() error { return e.Cause }

// IsErrIO reports whether err is an ErrIO.
func IsErrIO(err error) bool {
	var e ErrIO
	return errors.As(err, &e)
}

// ErrFailedBefore is returned by Write if an earlier write has failed. The journal accepts no
// writes until it is opened again, because a later successful sync does not prove that the
// earlier data is on disk.
type ErrFailedBefore struct{ Cause error }

func (e ErrFailedBefore) Error() string {
	return fmt.Sprintf("journal is unusable after an earlier failure: %v", e.Cause)
}

// Unwrap returns the cause.
func (e ErrFailedBefore) Unwrap() error { return e.Cause }

// IsErrFailedBefore reports whether err is an ErrFailedBefore.
func IsErrFailedBefore(err error) bool {
	var e ErrFailedBefore
	return errors.As(err, &e)
}

// classifyError wraps an error of the file system in ErrDiskFull or ErrIO. It returns nil for nil.
func classifyError(operation, file string, cause error) error {
	if cause == nil {
		return nil
	}
	if errors.Is(cause, syscall.ENOSPC) || errors.Is(cause, syscall.EDQUOT) {
		return ErrDiskFull{File: file}
	}
	return ErrIO{Operation: operation, File: file, Cause: cause}
}
