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

// ErrSuspectsBusy is returned for a suspect request if the replica chosen for it
// already runs another suspect. The request may be routed again when that one has
// ended.
type ErrSuspectsBusy struct{ Deployment string }

func (e ErrSuspectsBusy) Error() string {
	return fmt.Sprintf("the replica of %q for this suspect request runs another one", e.Deployment)
}

// IsErrSuspectsBusy reports whether err is an ErrSuspectsBusy.
func IsErrSuspectsBusy(err error) bool {
	var e ErrSuspectsBusy
	return errors.As(err, &e)
}

// ErrNoService is returned if no endpoint of a plain service is available.
type ErrNoService struct{ Name string }

func (e ErrNoService) Error() string { return fmt.Sprintf("no endpoint of service %q", e.Name) }

// IsErrNoService reports whether err is an ErrNoService.
func IsErrNoService(err error) bool {
	var e ErrNoService
	return errors.As(err, &e)
}
