package server

import (
	"context"
	"sync"
	"time"

	"github.com/egretreach/egretreach/internal/control/state"
	"github.com/egretreach/egretreach/internal/link/message"
)

type (
	claimItem   = message.ClaimItem
	claimResult = message.ClaimItemResult
	settleItem  = message.SettleItem
)

// maxBatchItems is the number of items at which a batch is proposed without further delay. The
// call that reaches it may take the batch beyond it.
const maxBatchItems = 512

// batcher combines the items of concurrent calls into one proposal. A batch is proposed when the
// time wait has passed since its first call, or when it has maxBatchItems items.
type batcher[I, R any] struct {
	wait    time.Duration
	propose func(items []I) ([]R, error)

	mu      sync.Mutex
	items   []I
	current *batch[R]
}

// batch is the result that the calls of one proposal wait for. results and err are valid once done
// is closed.
type batch[R any] struct {
	done    chan struct{}
	results []R
	err     error
}

func newBatcher[I, R any](wait time.Duration, propose func([]I) ([]R, error)) *batcher[I, R] {
	return &batcher[I, R]{wait: wait, propose: propose}
}

// submit adds items to the current batch and returns their results when the batch has been
// proposed. If ctx ends first it returns ErrUncertain, since the batch is proposed all the same.
func (b *batcher[I, R]) submit(ctx context.Context, items []I) ([]R, error) {
	b.mu.Lock()
	if b.current == nil {
		b.current = &batch[R]{done: make(chan struct{})}
		time.AfterFunc(b.wait, b.flush)
	}
	joined := b.current
	from := len(b.items)
	b.items = append(b.items, items...)
	to := len(b.items)
	full := to >= maxBatchItems
	b.mu.Unlock()
	if full {
		b.flush()
	}
	select {
	case <-joined.done:
	case <-ctx.Done():
		return nil, ErrUncertain{Cause: ctx.Err()}
	}
	if joined.err != nil {
		return nil, joined.err
	}
	return joined.results[from:to], nil
}

// flush proposes the current batch. It does nothing if another flush has already taken the batch.
func (b *batcher[I, R]) flush() {
	b.mu.Lock()
	items, current := b.items, b.current
	b.items, b.current = nil, nil
	b.mu.Unlock()
	if current == nil {
		return
	}
	current.results, current.err = b.propose(items)
	close(current.done)
}

func (s *Server) proposeClaims(items []claimItem) ([]claimResult, error) {
	result, err := s.propose(context.Background(), state.Claim{Items: items})
	if err != nil {
		return nil, err
	}
	claimed, ok := result.(state.Claimed)
	if !ok {
		return nil, unexpectedResult(result)
	}
	return claimed.Items, nil
}

func (s *Server) proposeSettles(items []settleItem) ([]bool, error) {
	result, err := s.propose(context.Background(), state.Settle{Items: items})
	if err != nil {
		return nil, err
	}
	settled, ok := result.(state.Settled)
	if !ok {
		return nil, unexpectedResult(result)
	}
	return settled.Recorded, nil
}
