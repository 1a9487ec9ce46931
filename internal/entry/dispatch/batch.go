package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/session"
	"github.com/egretreach/egretreach/internal/process/pause"
)

const (
	maxBatchItems      = 256
	maxBatchesInFlight = 4
	// batchTimeout bounds the call to control for one batch of claims or settlements.
	batchTimeout  = 5 * time.Second
	settleTimeout = 5 * time.Second
	// ledgerCheckTimeout bounds the check of the ledger before a refusal.
	ledgerCheckTimeout = 2 * time.Second

	callRetryDelay = 100 * time.Millisecond
)

// batcher combines the calls of many requests into one message to control. While the
// maximum number of batches is in flight, items wait for the next one.
type batcher[In, Out any] struct {
	baseContext context.Context
	send        func(ctx context.Context, items []In) ([]Out, error)

	mu              sync.Mutex
	waiting         []batchItem[In, Out]
	batchesInFlight int
}

type batchItem[In, Out any] struct {
	in  In
	out chan batchResult[Out]
}

type batchResult[Out any] struct {
	value Out
	err   error
}

func (b *batcher[In, Out]) submit(ctx context.Context, in In) (Out, error) {
	item := batchItem[In, Out]{in: in, out: make(chan batchResult[Out], 1)}
	b.mu.Lock()
	b.waiting = append(b.waiting, item)
	if b.batchesInFlight < maxBatchesInFlight {
		b.batchesInFlight++
		go b.sendWaiting()
	}
	b.mu.Unlock()
	select {
	case r := <-item.out:
		return r.value, r.err
	case <-ctx.Done():
		var none Out
		return none, ctx.Err()
	}
}

func (b *batcher[In, Out]) sendWaiting() {
	for {
		items := b.nextBatch()
		if items == nil {
			return
		}
		b.sendBatch(items)
	}
}

func (b *batcher[In, Out]) nextBatch() []batchItem[In, Out] {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) == 0 {
		b.batchesInFlight--
		return nil
	}
	n := min(len(b.waiting), maxBatchItems)
	items := append([]batchItem[In, Out](nil), b.waiting[:n]...)
	b.waiting = append(b.waiting[:0], b.waiting[n:]...)
	return items
}

func (b *batcher[In, Out]) sendBatch(items []batchItem[In, Out]) {
	ctx, cancel := context.WithTimeout(b.baseContext, batchTimeout)
	defer cancel()
	in := make([]In, len(items))
	for i, item := range items {
		in[i] = item.in
	}
	out, err := b.send(ctx, in)
	if err == nil && len(out) != len(items) {
		err = errors.Errorf("control answered %d of %d items", len(out), len(items))
	}
	for i, item := range items {
		r := batchResult[Out]{err: err}
		if err == nil {
			r.value = out[i]
		}
		item.out <- r
	}
}

// callUntilAnswered repeats a call whose answer was lost, until ctx ends. Claims and
// settlements are idempotent: the ledger grants a claim of the same attempt again, and
// agrees again with the same outcome.
func callUntilAnswered(ctx context.Context, control Control, m message.Message) (message.Message, error) {
	for {
		answer, err := control.Call(ctx, m)
		if err == nil || !session.IsErrUncertain(err) || ctx.Err() != nil {
			return answer, err
		}
		pause.For(ctx, callRetryDelay)
	}
}

func newClaimBatcher(base context.Context, control Control) *batcher[message.ClaimItem, message.ClaimItemResult] {
	b := &batcher[message.ClaimItem, message.ClaimItemResult]{baseContext: base}
	b.send = func(ctx context.Context, items []message.ClaimItem) ([]message.ClaimItemResult, error) {
		answer, err := callUntilAnswered(ctx, control, &message.Claim{Items: items})
		if err != nil {
			return nil, err
		}
		result, ok := answer.(*message.ClaimResult)
		if !ok {
			return nil, errors.Errorf("claim answered by %T", answer)
		}
		return result.Items, nil
	}
	return b
}

func newSettleBatcher(base context.Context, control Control) *batcher[message.SettleItem, bool] {
	b := &batcher[message.SettleItem, bool]{baseContext: base}
	b.send = func(ctx context.Context, items []message.SettleItem) ([]bool, error) {
		answer, err := callUntilAnswered(ctx, control, &message.Settle{Items: items})
		if err != nil {
			return nil, err
		}
		result, ok := answer.(*message.SettleResult)
		if !ok {
			return nil, errors.Errorf("settle answered by %T", answer)
		}
		return result.Recorded, nil
	}
	return b
}
