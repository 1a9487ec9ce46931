// Package enginesim simulates a model engine in virtual time: continuous batching in
// steps, chunked prefill, decode and an LRU prefix cache. Simulations that measure
// scheduling policies use it in place of real engines.
package enginesim

import (
	"container/heap"
	"time"
)

// Timeline is a discrete-event simulator: it runs events in the order of their virtual
// times. The zero value starts at time 0.
type Timeline struct {
	now          time.Duration
	nextSequence uint64
	queue        eventHeap
}

type event struct {
	at       time.Duration
	sequence uint64
	do       func()
}

// Now returns the virtual time, which is that of the event being run.
func (t *Timeline) Now() time.Duration { return t.now }

// After schedules do to run after a delay. Events due at the same time run in the order in
// which they were scheduled.
func (t *Timeline) After(delay time.Duration, do func()) {
	t.nextSequence++
	heap.Push(&t.queue, event{at: t.now + max(0, delay), sequence: t.nextSequence, do: do})
}

// RunUntil runs all events due before a time, including those that earlier events schedule.
func (t *Timeline) RunUntil(until time.Duration) {
	for len(t.queue) > 0 && t.queue[0].at < until {
		e := heap.Pop(&t.queue).(event)
		t.now = e.at
		e.do()
	}
}

// eventHeap implements heap.Interface.
type eventHeap []event

// Len implements sort.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements sort.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

// Swap implements sort.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
