// Package enginesim is a small model of a model engine in virtual time: continuous
// batching in steps, chunked prefill, decode and an LRU prefix cache. It stands in
// for engines where policies are measured.
package enginesim

import (
	"container/heap"
	"time"
)

// Timeline runs events in the order of their times. The zero value starts at 0.
type Timeline struct {
	now   time.Duration
	next  uint64
	queue eventHeap
}

type event struct {
	at    time.Duration
	order uint64
	do    func()
}

// Now returns the time of the event that runs.
func (t *Timeline) Now() time.Duration { return t.now }

// In has do run after a delay. Events of one time run in the order of their calls.
func (t *Timeline) In(delay time.Duration, do func()) {
	t.next++
	heap.Push(&t.queue, event{at: t.now + max(0, delay), order: t.next, do: do})
}

// Run runs the events before a time and those that they bring about.
func (t *Timeline) Run(until time.Duration) {
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
	return h[i].order < h[j].order
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
