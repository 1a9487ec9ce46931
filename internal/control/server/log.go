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

// StateMachine is the state machine to which a Log applies the committed commands.
type StateMachine interface {
	Apply(index uint64, command []byte) any
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Log is the interface of the replicated log to the server.
type Log interface {
	// Run runs the log until ctx ends.
	Run(ctx context.Context) error
	// Propose commits a command and returns the result of StateMachine.Apply. It returns
	// ErrNotLeader if the command was not proposed, and ErrUncertain if it may still be applied.
	Propose(ctx context.Context, command []byte) (any, error)
	// Barrier returns nil when this host is confirmed to be the leader and has applied every
	// command that was committed before the call.
	Barrier(ctx context.Context) error
	Status() LogStatus
	// WaitStatusChange returns when Status differs from old in Leading, Term or Leader, or when ctx
	// ends.
	WaitStatusChange(ctx context.Context, old LogStatus)
	// Serve handles a stream from another control host whose first frame was first.
	Serve(ctx context.Context, stream *transport.Stream, first *message.Quorum)
	// TransferLeadership passes the leadership to another control host, if one can take it.
	TransferLeadership(ctx context.Context) error
}

// LogStatus is the state of the replicated log as this host knows it.
type LogStatus struct {
	Leading bool
	Term    uint64
	// Leader is the current leader, or empty if it is not known.
	Leader host.ID
	// Match holds, at the leader, the highest index known to be durable at each control host. Hosts
	// that do not reply are missing.
	Match map[host.ID]uint64
}

// ErrNotLeader is returned by a control host that is not the leader. The call had no effect.
type ErrNotLeader struct{ Leader host.ID }

func (e ErrNotLeader) Error() string { return fmt.Sprintf("not the leader; it is %q", e.Leader) }

// IsErrNotLeader reports whether err is an ErrNotLeader.
func IsErrNotLeader(err error) bool {
	var e ErrNotLeader
	return errors.As(err, &e)
}

// ErrUncertain is returned for a command whose outcome is not known. It may still be applied.
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

// memoryLog is the log of a single control host that keeps its state in memory only.
type memoryLog struct {
	id      host.ID
	machine StateMachine

	mu    sync.Mutex
	index uint64
}

func newMemoryLog(id host.ID, machine StateMachine) *memoryLog {
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

func (l *memoryLog) WaitStatusChange(ctx context.Context, _ LogStatus) { <-ctx.Done() }

func (l *memoryLog) Serve(context.Context, *transport.Stream, *message.Quorum) {}

func (l *memoryLog) TransferLeadership(context.Context) error { return nil }
