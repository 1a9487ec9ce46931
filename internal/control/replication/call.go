package replication

import (
	"context"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/control/quorum"
)

// waiter is one call that waits for its outcome.
type waiter struct {
	result chan outcome
	// term and index name the entry of a proposal.
	term  quorum.Term
	index quorum.Index
	bytes int
}

type outcome struct {
	value any
	err   error
}

func newWaiter() *waiter { return &waiter{result: make(chan outcome, 1)} }

// finish gives the outcome; only the first counts.
func (w *waiter) finish(value any, err error) {
	select {
	case w.result <- outcome{value: value, err: err}:
	default:
	}
}

// input is one thing that the loop takes in.
type input interface{ input() }

type inputEvent struct{ event quorum.Event }

type inputPropose struct {
	command []byte
	waiter  *waiter
}

type inputBarrier struct{ waiter *waiter }

type inputTransfer struct{ waiter *waiter }

// inputExpire gives up on proposals of a term that this host led.
type inputExpire struct{ term quorum.Term }

func (inputEvent) input() {}

func (inputPropose) input() {}

func (inputBarrier) input() {}

func (inputTransfer) input() {}

func (inputExpire) input() {}

// Propose commits a command and returns what StateMachine.Apply made of it. It
// returns ErrNotLeader, ErrBusy, ErrTooLarge or ErrStopped if the command had no
// effect and never will, and ErrUncertain if it may still commit.
func (l *Log) Propose(ctx context.Context, command []byte) (any, error) {
	w := newWaiter()
	w.bytes = len(command)
	if err := l.put(ctx, inputPropose{command: command, waiter: w}); err != nil {
		return nil, err
	}
	return l.wait(ctx, w)
}

// Barrier returns nil when the state holds the effect of every proposal that was
// answered before the call, and this host led the log at some moment since. It
// returns ErrNotLeader, ErrNoReadPoint, ErrBusy or ErrStopped.
func (l *Log) Barrier(ctx context.Context) error {
	w := newWaiter()
	if err := l.put(ctx, inputBarrier{waiter: w}); err != nil {
		return err
	}
	_, err := l.wait(ctx, w)
	var uncertain ErrUncertain
	if errors.As(err, &uncertain) {
		return ErrNoReadPoint(uncertain)
	}
	return err
}

// TransferLeadership hands the leadership to another host, if this host has it. It returns
// nil once another host leads, and ErrNoSuccessor if none takes it up.
func (l *Log) TransferLeadership(ctx context.Context) error {
	w := newWaiter()
	if err := l.put(ctx, inputTransfer{waiter: w}); err != nil {
		return err
	}
	_, err := l.wait(ctx, w)
	return err
}

// put hands an input to the loop. On an error the loop has not had it.
func (l *Log) put(ctx context.Context, in input) error {
	select {
	case <-l.done:
		return ErrStopped{}
	default:
	}
	select {
	case l.events <- in:
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
