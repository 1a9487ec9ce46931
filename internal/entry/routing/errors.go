package routing

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrNoModel is returned for a deployment, version or adapter that no replica offers.
type ErrNoModel struct{ Deployment string }

func (e ErrNoModel) Error() string { return fmt.Sprintf("no replica is for %q", e.Deployment) }

// IsErrNoModel reports whether err is an ErrNoModel.
func IsErrNoModel(err error) bool {
	var e ErrNoModel
	return errors.As(err, &e)
}

// ErrNoReplica is returned if no replica of the deployment is serving, or none that the
// request has not already failed on.
type ErrNoReplica struct{ Deployment string }

func (e ErrNoReplica) Error() string { return fmt.Sprintf("no replica serves %q", e.Deployment) }

// IsErrNoReplica reports whether err is an ErrNoReplica.
func IsErrNoReplica(err error) bool {
	var e ErrNoReplica
	return errors.As(err, &e)
}

// ErrSuspectRunning is returned for a suspect request if the replica chosen for it
// already runs another suspect. The request may be routed again when that one has
// ended.
type ErrSuspectRunning struct{ Deployment string }

func (e ErrSuspectRunning) Error() string {
	return fmt.Sprintf("the replica of %q for this suspect request runs another one", e.Deployment)
}

// IsErrSuspectRunning reports whether err is an ErrSuspectRunning.
func IsErrSuspectRunning(err error) bool {
	var e ErrSuspectRunning
	return errors.As(err, &e)
}

// ErrNoEndpoint is returned if no endpoint of a plain service is available.
type ErrNoEndpoint struct{ Name string }

func (e ErrNoEndpoint) Error() string { return fmt.Sprintf("no endpoint of service %q", e.Name) }

// IsErrNoEndpoint reports whether err is an ErrNoEndpoint.
func IsErrNoEndpoint(err error) bool {
	var e ErrNoEndpoint
	return errors.As(err, &e)
}
