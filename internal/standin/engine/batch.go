package engine

import (
	"context"
	"sync"
	"time"

	protocol "github.com/egretreach/egretreach/internal/agent/engine"
)

// batch models continuous batching: a request waits for a decoding slot and then for its
// prefill, of which one runs at a time. The fuller the batch is, the longer each token takes.
type batch struct {
	opts    Options
	prefill chan struct{}
	slots   chan struct{}

	mu            sync.Mutex
	waiting       int
	waitingTokens int
}

func newBatch(opts Options) *batch {
	return &batch{opts: opts, prefill: make(chan struct{}, 1), slots: make(chan struct{}, opts.Capacity)}
}

// admit waits for a decoding slot and prefills the given number of tokens. release releases
// the slot.
func (b *batch) admit(ctx context.Context, tokens int) (release func(), err error) {
	b.addWaiting(1, tokens)
	defer b.addWaiting(-1, -tokens)
	if err := acquire(ctx, b.slots); err != nil {
		return nil, err
	}
	release = func() { <-b.slots }
	if err := acquire(ctx, b.prefill); err != nil {
		release()
		return nil, err
	}
	err = sleep(ctx, time.Duration(float64(tokens)/b.opts.PrefillRate*float64(time.Second)))
	<-b.prefill
	if err != nil {
		release()
		return nil, err
	}
	return release, nil
}

func acquire(ctx context.Context, semaphore chan struct{}) error {
	select {
	case semaphore <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (b *batch) addWaiting(requests, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting += requests
	b.waitingTokens += tokens
}

// tokenGap returns the current time between tokens. A full batch decodes each request at half
// the speed of an empty one.
func (b *batch) tokenGap() time.Duration {
	utilization := float64(len(b.slots)) / float64(b.opts.Capacity)
	return time.Duration(float64(b.opts.TokenGap) * (1 + utilization))
}

func (b *batch) report() protocol.Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	return protocol.Report{
		Running: len(b.slots), Waiting: b.waiting, WaitingTokens: b.waitingTokens,
		PrefillRate: b.opts.PrefillRate, Capacity: b.opts.Capacity,
		TokenGapMs: float64(b.tokenGap()) / float64(time.Millisecond),
	}
}
