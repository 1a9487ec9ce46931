package server

import (
	"context"
	"time"

	"github.com/egretreach/egretreach/internal/entry/admission"
	"github.com/egretreach/egretreach/internal/entry/execution"
	"github.com/egretreach/egretreach/internal/fleet/request"
)

// queueCheckInterval is how often a queue with waiting requests is checked for requests
// that can no longer meet their deadline.
const queueCheckInterval = 50 * time.Millisecond

// retryAfterNoReplica is the Retry-After while no replica of a model, or no endpoint of a
// service, serves.
const retryAfterNoReplica = 2 * time.Second

// modelQueue holds the waiting requests for one model. It is guarded by the scheduler's
// mutex.
type modelQueue struct {
	queue   *admission.Queue
	waiters map[request.ID]waiter
	timer   *time.Timer
}

// waiter is a request that waits in a queue.
type waiter struct {
	request admission.Request
	result  chan admissionResult
}

// admissionResult ends the wait of a request, which may start if both fields are nil.
type admissionResult struct {
	refused *admission.Refused
	// restricted is set in place of refused if no endpoint that may get the request is left.
	restricted *execution.Result
}

func (sched *scheduler) modelQueue(model string) *modelQueue {
	q := sched.queues[model]
	if q != nil {
		return q
	}
	q = &modelQueue{queue: admission.NewQueue(weights(sched.fleet), 0), waiters: map[request.ID]waiter{}}
	sched.queues[model] = q
	sched.setSlots(time.Now())
	return q
}

// processQueue refuses the requests that can no longer meet their deadline, starts
// requests in the free slots and notifies their waiters.
func (q *modelQueue) processQueue(now time.Time) {
	for _, r := range q.queue.Expire(now) {
		q.notify(r.Request.ID, admissionResult{refused: &r.Refused})
	}
	for _, r := range q.queue.Next(now) {
		q.notify(r.ID, admissionResult{})
	}
}

func (q *modelQueue) notify(id request.ID, result admissionResult) {
	if w, ok := q.waiters[id]; ok {
		delete(q.waiters, id)
		w.result <- result
	}
}

// admit waits for a slot of the model. It returns nil if the request got one, and
// otherwise its refusal.
func (sched *scheduler) admit(ctx context.Context, model string, r admission.Request) *execution.Result {
	sched.mu.Lock()
	if refusal := sched.refusalUnserved(model, r.Team); refusal != nil {
		sched.mu.Unlock()
		return refusal
	}
	q := sched.modelQueue(model)
	waiting := waiter{request: r, result: make(chan admissionResult, 1)}
	switch d := q.queue.Offer(time.Now(), r).(type) {
	case admission.Refused:
		sched.mu.Unlock()
		return refusalResult(d)
	case admission.Queued:
		q.waiters[r.ID] = waiting
		if d.Displaced != nil {
			q.notify(d.Displaced.Request.ID, admissionResult{refused: &d.Displaced.Refused})
		}
		sched.scheduleQueueCheck(q)
	default: // Admitted: the slot is held.
		sched.mu.Unlock()
		return nil
	}
	sched.mu.Unlock()
	select {
	case result := <-waiting.result:
		return result.result()
	case <-ctx.Done():
		return sched.cancelWait(q, r, waiting.result)
	}
}

func (result admissionResult) isAdmitted() bool {
	return result.refused == nil && result.restricted == nil
}

func (result admissionResult) result() *execution.Result {
	if result.restricted != nil {
		return result.restricted
	}
	if result.isAdmitted() {
		return nil
	}
	return refusalResult(*result.refused)
}

// cancelWait removes a request from the queue after its caller has disconnected.
func (sched *scheduler) cancelWait(q *modelQueue, r admission.Request, decided chan admissionResult) *execution.Result {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	if !q.queue.Cancel(r) {
		if result := <-decided; result.isAdmitted() {
			q.queue.Release(r, 0)
			q.processQueue(time.Now())
		}
	}
	delete(q.waiters, r.ID)
	return &execution.Result{Outcome: request.OutcomeNotRun, Code: "caller_gone", Reason: "the caller went away"}
}

func refusalResult(d admission.Refused) *execution.Result {
	return &execution.Result{
		Outcome: request.OutcomeNotRun, Code: string(d.Code),
		Reason: "the fleet is too busy to answer in time", RetryAfter: d.RetryAfter,
	}
}

// scheduleQueueCheck processes the queue every queueCheckInterval while requests wait
// in it.
func (sched *scheduler) scheduleQueueCheck(q *modelQueue) {
	if q.timer != nil {
		return
	}
	q.timer = time.AfterFunc(queueCheckInterval, func() {
		sched.mu.Lock()
		defer sched.mu.Unlock()
		q.timer = nil
		q.processQueue(time.Now())
		if q.queue.Waiting() > 0 {
			sched.scheduleQueueCheck(q)
		}
	})
}

func (sched *scheduler) releaseSlot(model string, r admission.Request, ran time.Duration) {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	q := sched.modelQueue(model)
	q.queue.Release(r, ran)
	q.processQueue(time.Now())
}
