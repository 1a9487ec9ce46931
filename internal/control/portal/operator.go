package portal

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/control/portalstate"
	"github.com/egretreach/egretreach/internal/control/replication"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// operatorTimeout bounds an operator's call; operators move on after a second.
const operatorTimeout = 900 * time.Millisecond

// ErrNotLeader is a call that the control leader must answer.
type ErrNotLeader struct {
	// Address is the leader's API address.
	Address string
}

func (e ErrNotLeader) Error() string { return "the control leader is at " + e.Address }

// IsErrNotLeader reports whether err is an ErrElsewhere.
func IsErrNotLeader(err error) bool {
	var e ErrNotLeader
	return errors.As(err, &e)
}

// ErrUnavailable is a call that cannot be answered for certain now. A change may or may
// not come into force.
type ErrUnavailable struct{ Reason string }

func (e ErrUnavailable) Error() string { return "control is not sure: " + e.Reason }

// IsErrUnavailable reports whether err is an ErrUnavailable.
func IsErrUnavailable(err error) bool {
	var e ErrUnavailable
	return errors.As(err, &e)
}

// ErrRefused is a configuration that cannot be put in force. It had no effect.
type ErrRefused struct{ Cause error }

func (e ErrRefused) Error() string { return "configuration refused: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e ErrRefused) Unwrap() error { return e.Cause }

// IsErrRefused reports whether err is an ErrRefused.
func IsErrRefused(err error) bool {
	var e ErrRefused
	return errors.As(err, &e)
}

// Put puts an operator's document in force if its version is above the one in force. It
// returns nil once that is durable, or once a version that is not lower is. Its errors
// are ErrRefused, ErrElsewhere and ErrUnavailable.
func (p *Portal) Put(ctx context.Context, document []byte) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	table, err := p.opts.Decode(document)
	if err != nil {
		event.RevisionRefused.On(p.opts.Logger).Err(err).Msg("")
		return ErrRefused{Cause: err}
	}
	if held := p.machine.Current(); held.Version >= table.Version {
		p.meters.revisions.Inc(1)
		event.RevisionTaken.On(p.opts.Logger).Uint64("version", table.Version).Uint64("held", held.Version).
			Bool("changed", false).Msg("")
		return nil
	}
	command, err := portalstate.Document{Version: table.Version, Bytes: document}.Encode()
	if err != nil {
		return ErrRefused{Cause: err}
	}
	l := p.current()
	if l == nil {
		return ErrUnavailable{Reason: "the replicated log does not run here"}
	}
	result, err := l.Propose(ctx, command)
	if err != nil {
		return p.elsewhere(table.Version, err)
	}
	done, ok := result.(portalstate.Result)
	if !ok {
		return ErrUnavailable{Reason: "the log could not read the document"}
	}
	p.meters.revisions.Inc(1)
	event.RevisionTaken.On(p.opts.Logger).Uint64("version", table.Version).Uint64("held", done.Version).
		Bool("changed", done.Applied).Msg("")
	return nil
}

// Read returns the newest document. Its errors are ErrElsewhere and ErrUnavailable.
func (p *Portal) Read(ctx context.Context) (portalstate.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	l := p.current()
	if l == nil {
		return portalstate.Document{}, ErrUnavailable{Reason: "the replicated log does not run here"}
	}
	if err := l.Barrier(ctx); err != nil {
		return portalstate.Document{}, p.elsewhere(0, err)
	}
	held := p.machine.Current()
	if held.Version == 0 {
		return held, ErrUnavailable{Reason: "there is no configuration yet"}
	}
	return held, nil
}

// elsewhere turns an error of the log.
func (p *Portal) elsewhere(version uint64, err error) error {
	event.RevisionUnsure.On(p.opts.Logger).Uint64("version", version).Err(err).Msg("")
	var other replication.ErrNotLeader
	if errors.As(err, &other) && other.Leader != "" && other.Leader != p.opts.LinkAddress {
		return ErrNotLeader{Address: p.apiAddress(other.Leader)}
	}
	return ErrUnavailable{Reason: err.Error()}
}
