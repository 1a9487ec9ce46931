package replication

import (
	"context"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/control/quorum"
)

// waiter represents a call that waits for its result.
type waiter struct {
	result chan outcome
	// term and index identify the entry of a proposal, and bytes is the size of its command.
	term  quorum.Term
	index quorum.Index
	bytes int
}

type outcome struct {
	value any
	err   error
}

func newWaiter() *waiter { return &waiter{result: make(chan outcome, 1)} }

// finish sets the result of the call. Only the first call of finish has an effect.
func (w *waiter) finish(value any, err error) {
	select {
	case w.result <- outcome{value: value, err: err}:
	default:
	}
}

// input is a value that the loop handles.
type input interface{ input() }

type inputEvent struct{ event quorum.Event }

type inputPropose struct {
	command []byte
	waiter  *waiter
}

type inputBarrier struct {
	waiter *waiter
	lazy   bool
}

type inputTransfer struct{ waiter *waiter }

// inputExpire asks to give up the pending proposals of terms up to term.
type inputExpire struct{ term quorum.Term }

func (inputEvent) input() {}

func (inputPropose) input() {}

func (inputBarrier) input() {}

func (inputTransfer) input() {}

func (inputExpire) input() {}

// Propose commits a command and returns the result of StateMachine.Apply. It returns
// ErrNotLeader, ErrBusy, ErrTooLarge or ErrStopped if the command had no effect and never will,
// and ErrUncertain if it may still commit.
func (l *Log) Propose(ctx context.Context, command []byte) (any, error) {
	w := newWaiter()
	w.bytes = len(command)
	if err := l.enqueue(ctx, inputPropose{command: command, waiter: w}); err != nil {
		return nil, err
	}
	return l.wait(ctx, w)
}

// Barrier waits until the application state reflects every proposal that was answered before
// the call. If it returns nil, a majority has confirmed after the call that this host is the leader,
// also if the host was suspended and its clock stood still. It costs a round trip. Otherwise
// it returns ErrNotLeader, ErrNoReadPoint, ErrBusy or ErrStopped.
func (l *Log) Barrier(ctx context.Context) error { return l.barrier(ctx, false) }

// LazyBarrier is a Barrier that waits for the next heartbeats, up to a heartbeat interval longer, and costs no messages.
func (l *Log) LazyBarrier(ctx context.Context) error { return l.barrier(ctx, true) }

func (l *Log) barrier(ctx context.Context, lazy bool) error {
	w := newWaiter()
	if err := l.enqueue(ctx, inputBarrier{waiter: w, lazy: lazy}); err != nil {
		return err
	}
	_, err := l.wait(ctx, w)
	var uncertain ErrUncertain
	if errors.As(err, &uncertain) {
		return ErrNoReadPoint(uncertain)
	}
	return err
}

// TransferLeadership transfers the leadership to another host. It returns nil once another host
// leads, or at once if this host is not the leader, and ErrNoSuccessor if no peer takes over.
func (l *Log) TransferLeadership(ctx context.Context) error {
	w := newWaiter()
	if err := l.enqueue(ctx, inputTransfer{waiter: w}); err != nil {
		return err
	}
	_, err := l.wait(ctx, w)
	return err
}

// enqueue passes an input to the loop. If it returns an error, the loop has not received the
// input.
func (l *Log) enqueue(ctx context.Context, in input) error {
	select {
	case <-l.done:
		return ErrStopped{}
	default:
	}
	select {
	case l.inputs <- in:
		return nil
	case <-ctx.Done():
		return ErrBusy{}
	case <-l.done:
		return ErrStopped{}
	}
}

func (l *Log) wait(ctx context.Context, w *waiter) (any, error) {
	select {
	case o := <-w.result:
		return o.value, o.err
	case <-ctx.Done():
		return nil, ErrUncertain{Reason: ctx.Err().Error()}
	case <-l.done:
	}
	select {
	case o := <-w.result:
		return o.value, o.err
	default:
		return nil, ErrUncertain{Reason: "the log has stopped"}
	}
}
