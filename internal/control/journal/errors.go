package journal

import (
	"fmt"
	"syscall"

	"github.com/pkg/errors"
)

// ErrLocked is a journal that another process has open.
type ErrLocked struct{ File string }

func (e ErrLocked) Error() string { return e.File + " is held by another process" }

// IsErrLocked reports whether err is an ErrLocked.
func IsErrLocked(err error) bool {
	var e ErrLocked
	return errors.As(err, &e)
}

// ErrCorrupt is a file whose content is not what was written. The journal is not
// served; its host starts over with an empty folder.
type ErrCorrupt struct {
	File string
	// Offset is where the fault begins, in bytes.
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

// ErrDiskFull is a write for which the disk had no room.
type ErrDiskFull struct{ File string }

func (e ErrDiskFull) Error() string { return "no room on the disk for " + e.File }

// IsErrDiskFull reports whether err is an ErrDiskFull.
func IsErrDiskFull(err error) bool {
	var e ErrDiskFull
	return errors.As(err, &e)
}

// ErrIO is a write or sync that the disk failed. What was written may or may not
// be there after a restart.
type ErrIO struct {
	Operation string
	File      string
	Cause     error
}

func (e ErrIO) Error() string { return fmt.Sprintf("%s %s: %v", e.Operation, e.File, e.Cause) }

// Unwrap returns the cause.
func (e ErrIO) Unwrap() error { return e.Cause }

// IsErrIO reports whether err is an ErrDisk.
func IsErrIO(err error) bool {
	var e ErrIO
	return errors.As(err, &e)
}

// ErrFailedBefore is a journal on which a write has failed before. It takes no more
// until it is opened again, since a later sync proves nothing about earlier writes.
type ErrFailedBefore struct{ Cause error }

func (e ErrFailedBefore) Error() string { return fmt.Sprintf("journal failed before: %v", e.Cause) }

// Unwrap returns the failure.
func (e ErrFailedBefore) Unwrap() error { return e.Cause }

// IsErrFailedBefore reports whether err is an ErrPoisoned.
func IsErrFailedBefore(err error) bool {
	var e ErrFailedBefore
	return errors.As(err, &e)
}

// failure types what the file system answered.
func failure(operation, file string, cause error) error {
	if cause == nil {
		return nil
	}
	if errors.Is(cause, syscall.ENOSPC) || errors.Is(cause, syscall.EDQUOT) {
		return ErrDiskFull{File: file}
	}
	return ErrIO{Operation: operation, File: file, Cause: cause}
}
