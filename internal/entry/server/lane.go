package server

import (
	"context"
	"time"

	"github.com/egretreach/egretreach/internal/entry/admission"
	"github.com/egretreach/egretreach/internal/entry/execution"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/request"
)

// settleEvery is how often a lane with waiting requests looks for those that can no
// longer meet their deadline.
const settleEvery = 50 * time.Millisecond

const retryAfterNoReplica = 2 * time.Second

// lane queues the requests for one model. It is guarded by the policy's mutex.
type lane struct {
	queue   *admission.Queue
	waiters map[request.ID]chan verdict
	timer   *time.Timer
}

// verdict ends a wait; refused is nil for a request that may start.
type verdict struct{ refused *admission.Refused }

func (p *policy) lane(model string) *lane {
	l := p.lanes[model]
	if l != nil {
		return l
	}
	l = &lane{queue: admission.NewQueue(weights(p.fleet), 0), waiters: map[request.ID]chan verdict{}}
	p.lanes[model] = l
	p.setSlots(time.Now())
	return l
}

// settle tells the waiting requests what became of them.
func (l *lane) settle(now time.Time) {
	for _, r := range l.queue.Expire(now) {
		l.tell(r.Request.ID, verdict{refused: &r.Refused})
	}
	for _, r := range l.queue.Next(now) {
		l.tell(r.ID, verdict{})
	}
}

func (l *lane) tell(id request.ID, v verdict) {
	if waiter, ok := l.waiters[id]; ok {
		delete(l.waiters, id)
		waiter <- v
	}
}

func (p *policy) serves(model string) bool {
	for _, route := range p.view.Routes {
		if route.Replica.Spec.Model == model && route.Replica.State == replica.StateServing {
			return true
		}
	}
	return false
}

// admit waits for a slot of the model. It returns nil once the request holds one.
func (p *policy) admit(ctx context.Context, model string, r admission.Request) *execution.Result {
	p.mu.Lock()
	if !p.serves(model) {
		p.mu.Unlock()
		return &execution.Result{
			Outcome: request.OutcomeNotRun, Code: execution.CodeNoReplica,
			Reason: "no replica of the model serves now", RetryAfter: retryAfterNoReplica,
		}
	}
	l := p.lane(model)
	waiter := make(chan verdict, 1)
	switch d := l.queue.Offer(time.Now(), r).(type) {
	case admission.Refused:
		p.mu.Unlock()
		return refusedBy(d)
	case admission.Queued:
		l.waiters[r.ID] = waiter
		if d.Displaced != nil {
			l.tell(d.Displaced.Request.ID, verdict{refused: &d.Displaced.Refused})
		}
		p.watch(l)
	default: // Admitted: the slot is held.
		p.mu.Unlock()
		return nil
	}
	p.mu.Unlock()
	select {
	case v := <-waiter:
		return v.result()
	case <-ctx.Done():
		return p.leave(l, r, waiter)
	}
}

func (v verdict) result() *execution.Result {
	if v.refused == nil {
		return nil
	}
	return refusedBy(*v.refused)
}

// leave takes a request whose caller has gone out of the queue.
func (p *policy) leave(l *lane, r admission.Request, waiter chan verdict) *execution.Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !l.queue.Cancel(r) {
		if v := <-waiter; v.refused == nil {
			l.queue.Release(r, 0)
			l.settle(time.Now())
		}
	}
	delete(l.waiters, r.ID)
	return &execution.Result{Outcome: request.OutcomeNotRun, Code: "caller_gone", Reason: "the caller went away"}
}

func refusedBy(d admission.Refused) *execution.Result {
	return &execution.Result{
		Outcome: request.OutcomeNotRun, Code: string(d.Code),
		Reason: "the fleet is too busy to answer in time", RetryAfter: d.RetryAfter,
	}
}

// watch settles the lane from time to time while anything waits in it.
func (p *policy) watch(l *lane) {
	if l.timer != nil {
		return
	}
	l.timer = time.AfterFunc(settleEvery, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		l.timer = nil
		l.settle(time.Now())
		if l.queue.Waiting() > 0 {
			p.watch(l)
		}
	})
}

func (p *policy) release(model string, r admission.Request, ran time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.lane(model)
	l.queue.Release(r, ran)
	l.settle(time.Now())
}
