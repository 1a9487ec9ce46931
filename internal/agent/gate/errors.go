package gate

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/fleet/replica"
)

// Codes of an ErrClosed.
const (
	CodeDraining        = "draining"
	CodeLeaseLapsed     = "lease_lapsed"
	CodeNoReplica       = "no_replica"
	CodeWrongReplica    = "wrong_replica"
	CodeStaleFence      = "stale_fence"
	CodeNotHead         = "not_head"
	CodeNotLoaded       = "not_loaded"
	CodeEngineUnhealthy = "engine_unhealthy"
	CodeMemberLost      = "member_lost"
	CodeMemberDraining  = "member_draining"
)

// ErrClosed is returned for work that the gate does not admit.
type ErrClosed struct {
	Code   string
	Reason string
}

func (e ErrClosed) Error() string {
	return fmt.Sprintf("serving gate closed (%s): %s", e.Code, e.Reason)
}

// IsErrClosed reports whether err is an ErrClosed.
func IsErrClosed(err error) bool {
	var e ErrClosed
	return errors.As(err, &e)
}

// ErrStaleFence is returned for an order with a fencing number below the highest
// one seen.
type ErrStaleFence struct {
	Fence   replica.Fence
	Highest replica.Fence
}

func (e ErrStaleFence) Error() string {
	return fmt.Sprintf("order's fence %d is older than %d", e.Fence, e.Highest)
}

// IsErrStaleFence reports whether err is an ErrStaleFence.
func IsErrStaleFence(err error) bool {
	var e ErrStaleFence
	return errors.As(err, &e)
}

// ErrFenceUnknown is returned for an order that arrives before control has sent the
// fence floor of the host.
type ErrFenceUnknown struct{}

func (ErrFenceUnknown) Error() string { return "the host's fence floor is not known yet" }

// IsErrFenceUnknown reports whether err is an ErrFenceUnknown.
func IsErrFenceUnknown(err error) bool {
	var e ErrFenceUnknown
	return errors.As(err, &e)
}

// ErrNoLease is returned for an order that arrives while the agent holds no valid
// lease.
type ErrNoLease struct{}

func (ErrNoLease) Error() string { return "the agent's lease has lapsed" }

// IsErrNoLease reports whether err is an ErrNoLease.
func IsErrNoLease(err error) bool {
	var e ErrNoLease
	return errors.As(err, &e)
}

// ErrFenceReused is returned for an order that uses the fencing number of replica
// Owner for replica Requested.
type ErrFenceReused struct {
	Fence     replica.Fence
	Owner     replica.ID
	Requested replica.ID
}

func (e ErrFenceReused) Error() string {
	return fmt.Sprintf("fence %d belongs to replica %s, not %s", e.Fence, e.Owner, e.Requested)
}

// IsErrFenceReused reports whether err is an ErrFenceReused.
func IsErrFenceReused(err error) bool {
	var e ErrFenceReused
	return errors.As(err, &e)
}

// ErrReplicaLeft is returned for an order to load a replica that the host has
// already left.
type ErrReplicaLeft struct{ Replica replica.ID }

func (e ErrReplicaLeft) Error() string { return fmt.Sprintf("the host has left replica %s", e.Replica) }

// IsErrReplicaLeft reports whether err is an ErrReplicaLeft.
func IsErrReplicaLeft(err error) bool {
	var e ErrReplicaLeft
	return errors.As(err, &e)
}
