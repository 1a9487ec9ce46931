package server

import (
	"context"
	"fmt"
	"sync"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/transport"
)

// Machine is the state under a Log.
type Machine interface {
	Apply(index uint64, command []byte) any
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Log is the replicated log as the server uses it.
type Log interface {
	// Run keeps the log going until ctx ends.
	Run(ctx context.Context) error
	// Propose commits a command and returns what applying it returned. It fails by
	// ErrNotLeader if nothing was done, and by ErrUncertain if the command may
	// still be applied.
	Propose(ctx context.Context, command []byte) (any, error)
	// Barrier returns once this host is known to lead now and has applied every
	// command committed before.
	Barrier(ctx context.Context) error
	Status() LogStatus
	// WaitChange returns when Status differs from old in leader or term, or when
	// ctx ends.
	WaitChange(ctx context.Context, old LogStatus)
	// Serve handles a stream from another control host that began with first.
	Serve(ctx context.Context, stream *transport.Stream, first *message.Quorum)
	// Transfer hands the leadership to another control host, if there is one.
	Transfer(ctx context.Context) error
}

// LogStatus is the state of the log at this host.
type LogStatus struct {
	Leading bool
	Term    uint64
	// Leader is empty if unknown.
	Leader host.ID
	// Match holds the highest index known to be durable at each control host, as the
	// leader knows it; a silent host has none.
	Match map[host.ID]uint64
}

// ErrNotLeader is a call at a control host that does not lead. Nothing was changed.
type ErrNotLeader struct{ Leader host.ID }

func (e ErrNotLeader) Error() string { return fmt.Sprintf("not the leader; it is %q", e.Leader) }

// IsErrNotLeader reports whether err is an ErrNotLeader.
func IsErrNotLeader(err error) bool {
	var e ErrNotLeader
	return errors.As(err, &e)
}

// ErrUncertain is a command that may still be applied.
type ErrUncertain struct{ Cause error }

func (e ErrUncertain) Error() string {
	return fmt.Sprintf("the command may still be applied: %v", e.Cause)
}

// Unwrap returns the cause.
func (e ErrUncertain) Unwrap() error { return e.Cause }

// IsErrUncertain reports whether err is an ErrUncertain.
func IsErrUncertain(err error) bool {
	var e ErrUncertain
	return errors.As(err, &e)
}

// memoryLog is the log of a single control host whose state is lost when it ends.
type memoryLog struct {
	id      host.ID
	machine Machine

	mu    sync.Mutex
	index uint64
}

func newMemoryLog(id host.ID, machine Machine) *memoryLog {
	return &memoryLog{id: id, machine: machine}
}

func (l *memoryLog) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func (l *memoryLog) Propose(_ context.Context, command []byte) (any, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	return l.machine.Apply(l.index, command), nil
}

func (l *memoryLog) Barrier(context.Context) error { return nil }

func (l *memoryLog) Status() LogStatus { return LogStatus{Leading: true, Term: 1, Leader: l.id} }

func (l *memoryLog) WaitChange(ctx context.Context, _ LogStatus) { <-ctx.Done() }

func (l *memoryLog) Serve(context.Context, *transport.Stream, *message.Quorum) {}

func (l *memoryLog) Transfer(context.Context) error { return nil }
