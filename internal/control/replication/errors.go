package replication

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// ErrNotLeader is a call at a host that does not lead. It had no effect.
type ErrNotLeader struct {
	// Leader is the link address of the leader, empty if unknown.
	Leader string
}

func (e ErrNotLeader) Error() string { return fmt.Sprintf("not the leader, which is %q", e.Leader) }

// IsErrNotLeader reports whether err is an ErrNotLeader.
func IsErrNotLeader(err error) bool {
	var e ErrNotLeader
	return errors.As(err, &e)
}

// ErrUncertain is a proposal whose outcome is not known. It may still commit.
type ErrUncertain struct{ Reason string }

func (e ErrUncertain) Error() string { return "the proposal may or may not commit: " + e.Reason }

// IsErrUncertain reports whether err is an ErrUncertain.
func IsErrUncertain(err error) bool {
	var e ErrUncertain
	return errors.As(err, &e)
}

// ErrNoReadPoint is a barrier that found no read point in time, because this host
// could not show that it leads.
type ErrNoReadPoint struct{ Reason string }

func (e ErrNoReadPoint) Error() string { return "no read point: " + e.Reason }

// IsErrNoReadPoint reports whether err is an ErrNoReadPoint.
func IsErrNoReadPoint(err error) bool {
	var e ErrNoReadPoint
	return errors.As(err, &e)
}

// ErrBusy is a proposal that was refused because too much waits to be committed.
// It had no effect.
type ErrBusy struct{}

func (ErrBusy) Error() string { return "too many proposals wait to be committed" }

// IsErrBusy reports whether err is an ErrBusy.
func IsErrBusy(err error) bool {
	var e ErrBusy
	return errors.As(err, &e)
}

// ErrTooLarge is a command over the limit. It had no effect.
type ErrTooLarge struct{ Bytes int }

func (e ErrTooLarge) Error() string { return fmt.Sprintf("command of %d bytes is too large", e.Bytes) }

// IsErrTooLarge reports whether err is an ErrTooLarge.
func IsErrTooLarge(err error) bool {
	var e ErrTooLarge
	return errors.As(err, &e)
}

// ErrNoSuccessor is a transfer of leadership that no peer took up.
type ErrNoSuccessor struct{}

func (ErrNoSuccessor) Error() string { return "no other control host took the leadership over" }

// IsErrNoSuccessor reports whether err is an ErrNoSuccessor.
func IsErrNoSuccessor(err error) bool {
	var e ErrNoSuccessor
	return errors.As(err, &e)
}

// ErrStopped is a call that had no effect because the log does not run any more.
type ErrStopped struct{}

func (ErrStopped) Error() string { return "the replicated log has stopped" }

// IsErrStopped reports whether err is an ErrStopped.
func IsErrStopped(err error) bool {
	var e ErrStopped
	return errors.As(err, &e)
}

// ErrJournal is a journal that failed. The host leaves the quorum.
type ErrJournal struct{ Cause error }

func (e ErrJournal) Error() string { return fmt.Sprintf("replicated log: %v", e.Cause) }

// Unwrap returns the cause.
func (e ErrJournal) Unwrap() error { return e.Cause }

// IsErrJournal reports whether err is an ErrJournal.
func IsErrJournal(err error) bool {
	var e ErrJournal
	return errors.As(err, &e)
}

// ErrHostsDiffer is a journal that was written for other control hosts than those of the
// settings.
type ErrHostsDiffer struct {
	InitialHosts []host.ID
	Settings     []host.ID
}

func (e ErrHostsDiffer) Error() string {
	return fmt.Sprintf("the journal belongs to the control hosts %v, the settings name %v", e.InitialHosts, e.Settings)
}

// IsErrHostsDiffer reports whether err is an ErrHosts.
func IsErrHostsDiffer(err error) bool {
	var e ErrHostsDiffer
	return errors.As(err, &e)
}

// ErrRestore is a snapshot that the state machine did not take.
type ErrRestore struct{ Cause error }

func (e ErrRestore) Error() string { return fmt.Sprintf("restore the state: %v", e.Cause) }

// Unwrap returns the cause.
func (e ErrRestore) Unwrap() error { return e.Cause }

// IsErrRestore reports whether err is an ErrRestore.
func IsErrRestore(err error) bool {
	var e ErrRestore
	return errors.As(err, &e)
}
