package attempt

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/link/message"
)

// ErrTombstone is returned for an attempt that this agent has promised never to run.
type ErrTombstone struct{ Ref message.Ref }

func (e ErrTombstone) Error() string {
	return fmt.Sprintf("attempt %d of request %s was given up before it came", e.Ref.Attempt, e.Ref.Request)
}

// IsErrTombstone reports whether err is an ErrTombstone.
func IsErrTombstone(err error) bool {
	var e ErrTombstone
	return errors.As(err, &e)
}

// ErrDuplicate is returned for an attempt that was received before, or may have
// been. The caller must not report it as not run.
type ErrDuplicate struct{ Ref message.Ref }

func (e ErrDuplicate) Error() string {
	return fmt.Sprintf("attempt %d of request %s came before", e.Ref.Attempt, e.Ref.Request)
}

// IsErrDuplicate reports whether err is an ErrDuplicate.
func IsErrDuplicate(err error) bool {
	var e ErrDuplicate
	return errors.As(err, &e)
}

// ErrFull is returned when Limit attempts are already in progress.
type ErrFull struct{ Limit int }

func (e ErrFull) Error() string { return fmt.Sprintf("%d attempts already run at this agent", e.Limit) }

// IsErrFull reports whether err is an ErrFull.
func IsErrFull(err error) bool {
	var e ErrFull
	return errors.As(err, &e)
}
