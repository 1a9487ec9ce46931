package replication

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// ErrNotLeader is returned by a host that is not the leader. The call had no effect.
type ErrNotLeader struct {
	// LeaderAddress is the link address of the leader, or empty if it is not known.
	LeaderAddress string
}

func (e ErrNotLeader) Error() string {
	return fmt.Sprintf("not the leader, which is %q", e.LeaderAddress)
}

// IsErrNotLeader reports whether err is an ErrNotLeader.
func IsErrNotLeader(err error) bool {
	var e ErrNotLeader
	return errors.As(err, &e)
}

// ErrUncertain is returned for a proposal whose outcome is not known. It may still commit.
type ErrUncertain struct{ Reason string }

func (e ErrUncertain) Error() string { return "the proposal may or may not commit: " + e.Reason }

// IsErrUncertain reports whether err is an ErrUncertain.
func IsErrUncertain(err error) bool {
	var e ErrUncertain
	return errors.As(err, &e)
}

// ErrNoReadPoint is returned by Barrier if this host could not confirm in time that it is the
// leader.
type ErrNoReadPoint struct{ Reason string }

func (e ErrNoReadPoint) Error() string { return "no read point: " + e.Reason }

// IsErrNoReadPoint reports whether err is an ErrNoReadPoint.
func IsErrNoReadPoint(err error) bool {
	var e ErrNoReadPoint
	return errors.As(err, &e)
}

// ErrBusy is returned for a call that was refused because too many proposals wait to be
// committed, or because the loop's input queue was full until the context ended. The call had no
// effect.
type ErrBusy struct{}

func (ErrBusy) Error() string { return "too many proposals wait to be committed" }

// IsErrBusy reports whether err is an ErrBusy.
func IsErrBusy(err error) bool {
	var e ErrBusy
	return errors.As(err, &e)
}

// ErrTooLarge is returned for a command of more than quorum.MaxCommandBytes. It had no effect.
type ErrTooLarge struct{ Bytes int }

func (e ErrTooLarge) Error() string { return fmt.Sprintf("command of %d bytes is too large", e.Bytes) }

// IsErrTooLarge reports whether err is an ErrTooLarge.
func IsErrTooLarge(err error) bool {
	var e ErrTooLarge
	return errors.As(err, &e)
}

// ErrNoSuccessor is returned by TransferLeadership if no peer took over.
type ErrNoSuccessor struct{}

func (ErrNoSuccessor) Error() string { return "no other control host took the leadership over" }

// IsErrNoSuccessor reports whether err is an ErrNoSuccessor.
func IsErrNoSuccessor(err error) bool {
	var e ErrNoSuccessor
	return errors.As(err, &e)
}

// ErrStopped is returned for a call after Run has returned. The call had no effect.
type ErrStopped struct{}

func (ErrStopped) Error() string { return "the replicated log has stopped" }

// IsErrStopped reports whether err is an ErrStopped.
func IsErrStopped(err error) bool {
	var e ErrStopped
	return errors.As(err, &e)
}

// ErrJournal is returned by Run if the journal failed. The host then no longer takes part in the
// quorum.
type ErrJournal struct{ Cause error }

func (e ErrJournal) Error() string { return fmt.Sprintf("replicated log: %v", e.Cause) }

// Unwrap returns the cause.
func (e ErrJournal) Unwrap() error { return e.Cause }

// IsErrJournal reports whether err is an ErrJournal.
func IsErrJournal(err error) bool {
	var e ErrJournal
	return errors.As(err, &e)
}

// ErrHostsDiffer is returned by Run if the journal was written for other control hosts than those
// of the settings.
type ErrHostsDiffer struct {
	InitialHosts []host.ID
	Settings     []host.ID
}

func (e ErrHostsDiffer) Error() string {
	return fmt.Sprintf("the journal belongs to the control hosts %v, the settings name %v", e.InitialHosts, e.Settings)
}

// IsErrHostsDiffer reports whether err is an ErrHostsDiffer.
func IsErrHostsDiffer(err error) bool {
	var e ErrHostsDiffer
	return errors.As(err, &e)
}

// ErrRestore is returned by Run if the state machine could not restore a snapshot.
type ErrRestore struct{ Cause error }

func (e ErrRestore) Error() string { return fmt.Sprintf("restore the state: %v", e.Cause) }

// Unwrap returns the cause.
func (e ErrRestore) Unwrap() error { return e.Cause }

// IsErrRestore reports whether err is an ErrRestore.
func IsErrRestore(err error) bool {
	var e ErrRestore
	return errors.As(err, &e)
}
