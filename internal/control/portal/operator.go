package portal

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/control/portalstate"
	"github.com/egretreach/egretreach/internal/control/replication"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// operatorTimeout bounds an operator's call. Operators try the next host after one second.
const operatorTimeout = 900 * time.Millisecond

// ErrNotLeader is returned for a call that only the control leader can answer.
type ErrNotLeader struct {
	// Address is the leader's API address.
	Address string
}

func (e ErrNotLeader) Error() string { return "the control leader is at " + e.Address }

// IsErrNotLeader reports whether err is an ErrNotLeader.
func IsErrNotLeader(err error) bool {
	var e ErrNotLeader
	return errors.As(err, &e)
}

// ErrUnavailable is returned for a call that this host cannot carry out now, or whose outcome it
// does not know. A change may still come into force.
type ErrUnavailable struct{ Reason string }

func (e ErrUnavailable) Error() string { return "control is not sure: " + e.Reason }

// IsErrUnavailable reports whether err is an ErrUnavailable.
func IsErrUnavailable(err error) bool {
	var e ErrUnavailable
	return errors.As(err, &e)
}

// ErrRefused is returned for a configuration or an evacuation that is invalid. The call had no effect.
type ErrRefused struct{ Cause error }

func (e ErrRefused) Error() string { return "refused: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e ErrRefused) Unwrap() error { return e.Cause }

// IsErrRefused reports whether err is an ErrRefused.
func IsErrRefused(err error) bool {
	var e ErrRefused
	return errors.As(err, &e)
}

// Put puts an operator's document in force if its version is above the current one. It returns
// nil once the change is durable, or if the current version is the same or higher. Its errors are
// ErrRefused, ErrNotLeader and ErrUnavailable.
func (p *Portal) Put(ctx context.Context, document []byte) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	table, err := p.opts.Decode(document)
	if err != nil {
		event.RevisionRefused.On(p.opts.Logger).Err(err).Msg("")
		return ErrRefused{Cause: err}
	}
	if current := p.machine.Current(); current.Version >= table.Version {
		p.metrics.revisions.Inc(1)
		event.RevisionTaken.On(p.opts.Logger).Uint64("version", table.Version).Uint64("held", current.Version).
			Bool("changed", false).Msg("")
		return nil
	}
	command, err := portalstate.Document{Version: table.Version, Bytes: document}.Encode()
	if err != nil {
		return ErrRefused{Cause: err}
	}
	l := p.currentLog()
	if l == nil {
		return ErrUnavailable{Reason: "the replicated log does not run here"}
	}
	result, err := l.Propose(ctx, command)
	if err != nil {
		return p.translateLogError(table.Version, err)
	}
	outcome, ok := result.(portalstate.Result)
	if !ok {
		return ErrUnavailable{Reason: "the log could not read the document"}
	}
	p.metrics.revisions.Inc(1)
	status := l.Status()
	event.RevisionTaken.On(p.opts.Logger).Uint64("version", table.Version).Uint64("held", outcome.Version).
		Bool("changed", outcome.Applied).Uint64("term", status.Term).Uint64("index", outcome.Index).
		Str("holders", fmt.Sprint(status.Holders(outcome.Index))).Msg("")
	return nil
}

// Read returns the current document. Its errors are ErrNotLeader and ErrUnavailable.
func (p *Portal) Read(ctx context.Context) (portalstate.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	l, err := p.confirmState(ctx)
	if err != nil {
		return portalstate.Document{}, err
	}
	document := p.machine.Current()
	if document.Version == 0 {
		return document, ErrUnavailable{Reason: "there is no configuration yet"}
	}
	status := l.Status()
	event.RevisionRead.On(p.opts.Logger).Uint64("version", document.Version).Uint64("term", status.Term).
		Uint64("commit", status.CommitIndex).Msg("")
	return document, nil
}

// confirmState waits until the state of this host, which a majority confirms as the leader, has all that was acknowledged before the call. It
// returns the log. Its errors are ErrNotLeader and ErrUnavailable.
func (p *Portal) confirmState(ctx context.Context) (*replication.Log, error) {
	l := p.currentLog()
	if l == nil {
		return nil, ErrUnavailable{Reason: "the replicated log does not run here"}
	}
	if err := l.Barrier(ctx); err != nil {
		return nil, p.translateLogError(0, err)
	}
	return l, nil
}

// translateLogError converts an error of the replicated log into ErrNotLeader, if another leader
// is known, or ErrUnavailable, and logs it. version is that of the proposed document, or 0 for a
// read.
func (p *Portal) translateLogError(version uint64, err error) error {
	var other replication.ErrNotLeader
	if errors.As(err, &other) && other.LeaderAddress != "" && other.LeaderAddress != p.opts.LinkAddress {
		event.RevisionRedirected.On(p.opts.Logger).Uint64("version", version).Str("leader", other.LeaderAddress).Msg("")
		return ErrNotLeader{Address: p.apiAddress(other.LeaderAddress)}
	}
	event.RevisionUnsure.On(p.opts.Logger).Uint64("version", version).Err(err).Msg("")
	return ErrUnavailable{Reason: err.Error()}
}
