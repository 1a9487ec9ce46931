// Package client makes the calls of operators to the control leader and prints the answers.
package client

import (
	"context"
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/fleet/config"
	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/session"
)

// ErrConflict is returned for a change whose base is not the latest revision, or whose change ID
// was used for another configuration. The change had no effect.
type ErrConflict struct {
	// Winner describes the conflict, by the change that was accepted on the same base if control
	// still keeps it.
	Winner string
	// Latest is the latest revision.
	Latest view.Revision
}

func (e ErrConflict) Error() string {
	return fmt.Sprintf("conflict: %s; the latest revision is %d", e.Winner, e.Latest)
}

// IsErrConflict reports whether err is an ErrConflict.
func IsErrConflict(err error) bool {
	var e ErrConflict
	return errors.As(err, &e)
}

// ErrInvalid is returned for a configuration that control refused. The change had no effect.
type ErrInvalid struct{ Problems []string }

func (e ErrInvalid) Error() string { return strings.Join(e.Problems, "\n") }

// IsErrInvalid reports whether err is an ErrInvalid.
func IsErrInvalid(err error) bool {
	var e ErrInvalid
	return errors.As(err, &e)
}

// ErrUncertain is returned for a change whose answer was lost. The change may have been accepted,
// and can safely be sent again under its change ID.
type ErrUncertain struct {
	ChangeID string
	Cause    error
}

func (e ErrUncertain) Error() string {
	return fmt.Sprintf("the answer was lost; send the change again with --change-id %s: %v", e.ChangeID, e.Cause)
}

// Unwrap returns the cause.
func (e ErrUncertain) Unwrap() error { return e.Cause }

// IsErrUncertain reports whether err is an ErrUncertain.
func IsErrUncertain(err error) bool {
	var e ErrUncertain
	return errors.As(err, &e)
}

// ErrNotFound is returned for a resource that control does not know.
type ErrNotFound struct{ Resource string }

func (e ErrNotFound) Error() string { return e.Resource + " not found" }

// IsErrNotFound reports whether err is an ErrNotFound.
func IsErrNotFound(err error) bool {
	var e ErrNotFound
	return errors.As(err, &e)
}

// Caller sends messages to the control leader. session.Session implements it.
type Caller interface {
	Call(ctx context.Context, m message.Message) (message.Message, error)
}

// Client makes the calls of operators through a Caller.
type Client struct{ Caller Caller }

// call makes a call and returns its answer, which must be of type A.
func call[A message.Message](ctx context.Context, c Client, m message.Message) (A, error) {
	var zero A
	answer, err := c.Caller.Call(ctx, m)
	if err != nil {
		return zero, err
	}
	typed, ok := answer.(A)
	if !ok {
		return zero, errors.Errorf("call %T: unexpected answer %T", m, answer)
	}
	return typed, nil
}

// Change is a new configuration on top of the revision Base. ChangeID identifies the change, so
// that it is applied once when it is sent several times. With DryRun it is only validated and
// compared.
type Change struct {
	YAML     []byte
	Base     view.Revision
	ChangeID string
	DryRun   bool
}

// Apply sends a change. If the answer is lost, it sends the change again, which is safe because of
// the change ID. If ctx ends while it waits for an answer, it returns ErrUncertain. If ctx ends while
// it looks for a leader, it returns session.ErrNoLeader, and a change that was sent before may still
// have been accepted. ErrInvalid and ErrConflict come with the result.
func (c Client) Apply(ctx context.Context, change Change) (*message.ApplyResult, error) {
	for {
		result, err := call[*message.ApplyResult](ctx, c, &message.ApplyConfig{
			YAML: change.YAML, Base: change.Base, ChangeID: change.ChangeID, DryRun: change.DryRun,
		})
		switch {
		case session.IsErrUncertain(err) && ctx.Err() == nil:
			continue
		case session.IsErrUncertain(err):
			return nil, ErrUncertain{ChangeID: change.ChangeID, Cause: err}
		case err != nil:
			return nil, err
		case len(result.Problems) > 0:
			return result, ErrInvalid{Problems: result.Problems}
		case result.Conflict != "":
			return result, ErrConflict{Winner: result.Conflict, Latest: result.Revision}
		default:
			return result, nil
		}
	}
}

// Config returns the configuration of a revision, or the latest one for revision 0.
func (c Client) Config(ctx context.Context, revision view.Revision) (*message.ConfigResult, error) {
	return call[*message.ConfigResult](ctx, c, &message.ConfigQuery{Revision: revision})
}

// History returns the accepted changes, the oldest first.
func (c Client) History(ctx context.Context) ([]message.ConfigChange, error) {
	result, err := call[*message.ConfigResult](ctx, c, &message.ConfigQuery{History: true})
	if err != nil {
		return nil, err
	}
	return result.History, nil
}

// Explain returns the values in force for a host, each with its reason. It returns ErrNotFound if
// there is no configuration or no such host.
func (c Client) Explain(ctx context.Context, id host.ID) ([]config.Explanation, error) {
	status, err := c.Status(ctx)
	if err != nil {
		return nil, err
	}
	accepted, err := c.Config(ctx, 0)
	if err != nil {
		return nil, err
	}
	if accepted.Revision == 0 {
		return nil, ErrNotFound{Resource: "fleet configuration"}
	}
	fleet, err := config.Parse(fmt.Sprintf("revision %d", accepted.Revision), accepted.YAML)
	if err != nil {
		return nil, err
	}
	for _, h := range status.Hosts {
		if h.Info.ID == id {
			return fleet.Explain(id, h.Info.FailureDomain, h.Info.FabricDomain), nil
		}
	}
	return nil, ErrNotFound{Resource: fmt.Sprintf("host %s", id)}
}

// Status returns the state of the fleet.
func (c Client) Status(ctx context.Context) (*message.StatusResult, error) {
	return call[*message.StatusResult](ctx, c, &message.StatusQuery{})
}

// Drain starts the planned stop of a host, or cancels it if undo is set. It is idempotent.
func (c Client) Drain(ctx context.Context, id host.ID, reason string, undo bool) error {
	_, err := call[*message.Ack](ctx, c, &message.Drain{Host: id, Reason: reason, Undo: undo})
	return err
}

// Evacuate asks that the endpoints of a failure domain get no new requests, or with cancel that they may get them
// again. It returns once the change is committed. The call is idempotent: if the answer is lost, it is made again
// until ctx ends.
func (c Client) Evacuate(ctx context.Context, d domain.Failure, cancel bool) error {
	for {
		_, err := call[*message.Ack](ctx, c, &message.Evacuate{Domain: d, Undo: cancel})
		if !session.IsErrUncertain(err) || ctx.Err() != nil {
			return err
		}
	}
}

// Quarantine returns the suspect and quarantined request bodies.
func (c Client) Quarantine(ctx context.Context) ([]view.Quarantine, error) {
	result, err := call[*message.QuarantineResult](ctx, c, &message.QuarantineQuery{})
	if err != nil {
		return nil, err
	}
	return result.Entries, nil
}

// ClearQuarantine removes the body with this hash from quarantine, or all bodies if the hash is 0.
func (c Client) ClearQuarantine(ctx context.Context, body uint64) error {
	_, err := call[*message.Ack](ctx, c, &message.QuarantineClear{BodyHash: body})
	return err
}

// Request returns the state of a claimed request, or ErrNotFound.
func (c Client) Request(ctx context.Context, id request.ID) (*message.RequestResult, error) {
	result, err := call[*message.RequestResult](ctx, c, &message.RequestQuery{Request: id})
	if err != nil {
		return nil, err
	}
	if !result.Found {
		return nil, ErrNotFound{Resource: "request " + id.String()}
	}
	return result, nil
}

// InForce reports whether revision or a later one has been confirmed by every daemon that may hold a
// lease. To a new leader, that is each admitted daemon until the leases of the former leader have
// expired.
func InForce(status *message.StatusResult, revision view.Revision) bool {
	for _, h := range status.Hosts {
		if h.LeaseMs > 0 && h.Revision < revision {
			return false
		}
	}
	return true
}
