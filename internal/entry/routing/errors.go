package routing

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrNoModel is a request for a deployment, version or adapter that no replica has.
type ErrNoModel struct{ Deployment string }

func (e ErrNoModel) Error() string { return fmt.Sprintf("no replica is for %q", e.Deployment) }

// IsErrNoModel reports whether err is an ErrNoModel.
func IsErrNoModel(err error) bool {
	var e ErrNoModel
	return errors.As(err, &e)
}

// ErrNoReplica is a request for a deployment of which no replica serves now, or
// none that the request has not failed on.
type ErrNoReplica struct{ Deployment string }

func (e ErrNoReplica) Error() string { return fmt.Sprintf("no replica serves %q", e.Deployment) }

// IsErrNoReplica reports whether err is an ErrNoReplica.
func IsErrNoReplica(err error) bool {
	var e ErrNoReplica
	return errors.As(err, &e)
}

// ErrSuspectsBusy is a suspect request while the replica that is to take it runs
// another suspect. It may be offered again when that one ends.
type ErrSuspectsBusy struct{ Deployment string }

func (e ErrSuspectsBusy) Error() string {
	return fmt.Sprintf("the replica of %q for this suspect request runs another one", e.Deployment)
}

// IsErrSuspectsBusy reports whether err is an ErrSuspectsBusy.
func IsErrSuspectsBusy(err error) bool {
	var e ErrSuspectsBusy
	return errors.As(err, &e)
}

// ErrNoService is a call to a plain service of which no endpoint is left.
type ErrNoService struct{ Name string }

func (e ErrNoService) Error() string { return fmt.Sprintf("no endpoint of service %q", e.Name) }

// IsErrNoService reports whether err is an ErrNoService.
func IsErrNoService(err error) bool {
	var e ErrNoService
	return errors.As(err, &e)
}
