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

// maxBatchItems bounds the items of one proposal.
const maxBatchItems = 512

// batcher joins the items of calls that arrive within a short time into one
// proposal.
type batcher[I, R any] struct {
	wait    time.Duration
	propose func(items []I) ([]R, error)

	mu      sync.Mutex
	items   []I
	current *batch[R]
}

type batch[R any] struct {
	done    chan struct{}
	results []R
	err     error
}

func newBatcher[I, R any](wait time.Duration, propose func([]I) ([]R, error)) *batcher[I, R] {
	return &batcher[I, R]{wait: wait, propose: propose}
}

// submit returns the results of items once their batch has been proposed.
func (b *batcher[I, R]) submit(ctx context.Context, items []I) ([]R, error) {
	b.mu.Lock()
	if b.current == nil {
		b.current = &batch[R]{done: make(chan struct{})}
		time.AfterFunc(b.wait, b.flush)
	}
	mine := b.current
	from := len(b.items)
	b.items = append(b.items, items...)
	to := len(b.items)
	full := to >= maxBatchItems
	b.mu.Unlock()
	if full {
		b.flush()
	}
	select {
	case <-mine.done:
	case <-ctx.Done():
		return nil, ErrUncertain{Cause: ctx.Err()}
	}
	if mine.err != nil {
		return nil, mine.err
	}
	return mine.results[from:to], nil
}

// flush proposes what has gathered. It does nothing if another flush was first.
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
		return nil, unexpected(result)
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
		return nil, unexpected(result)
	}
	return settled.Recorded, nil
}
