package replication

import (
	"context"
	"sync"
)

// queue passes values from the loop to another goroutine without ever blocking the loop. Its
// length is limited only by the flow control of package quorum.
type queue[T any] struct {
	mu     *sync.Mutex
	items  *[]T
	signal chan struct{}
}

func newQueue[T any]() queue[T] {
	return queue[T]{mu: &sync.Mutex{}, items: &[]T{}, signal: make(chan struct{}, 1)}
}

func (q queue[T]) put(item T) {
	q.mu.Lock()
	*q.items = append(*q.items, item)
	q.mu.Unlock()
	select {
	case q.signal <- struct{}{}:
	default:
	}
}

// takeAll waits for items and returns all queued ones. It returns nil if ctx ends.
func (q queue[T]) takeAll(ctx context.Context) []T {
	for {
		q.mu.Lock()
		items := *q.items
		*q.items = nil
		q.mu.Unlock()
		if len(items) > 0 {
			return items
		}
		select {
		case <-ctx.Done():
			return nil
		case <-q.signal:
		}
	}
}
