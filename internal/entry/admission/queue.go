package admission

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/team"
)

// Weights are the shares of teams and classes. What is not named weighs 1.
type Weights struct {
	Teams   map[team.ID]float64
	Classes map[team.Class]float64
}

func (w Weights) team(id team.ID) float64 {
	if v := w.Teams[id]; v > 0 {
		return v
	}
	return 1
}

func (w Weights) class(c team.Class) float64 {
	if v := w.Classes[c]; v > 0 {
		return v
	}
	return 1
}

// DefaultMaxWaiting bounds the requests that wait in one Queue.
const DefaultMaxWaiting = 4096

// Queue shares the slots of one deployment among teams and classes. Create it with
// NewQueue.
type Queue struct {
	weights    Weights
	maxWaiting int
	slots      int
	running    int
	waiting    int
	virtual    float64
	teams      map[team.ID]*teamQueue
	service    estimate
}

// NewQueue returns an empty Queue without slots. maxWaiting 0 takes the default.
func NewQueue(weights Weights, maxWaiting int) *Queue {
	if maxWaiting <= 0 {
		maxWaiting = DefaultMaxWaiting
	}
	return &Queue{weights: weights, maxWaiting: maxWaiting, teams: make(map[team.ID]*teamQueue), service: newEstimate()}
}

// SetWeights replaces the weights. Requests that wait keep their places.
func (q *Queue) SetWeights(weights Weights) { q.weights = weights }

// SetSlots sets how many requests may run at once: the sum of the concurrency
// limits of the replicas that serve. Running requests are not cut off.
func (q *Queue) SetSlots(slots int) { q.slots = max(0, slots) }

// Slots returns the slots and how many are taken.
func (q *Queue) Slots() (slots, running int) { return q.slots, q.running }

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int { return q.waiting }

// Offer asks for a slot. A request that is admitted or named by Next holds its slot
// until Release.
func (q *Queue) Offer(now time.Time, r Request) Decision {
	r.Cost = max(r.Cost, 1)
	if q.waiting == 0 && q.running < q.slots {
		if q.late(now, 0, r) {
			return Refused{Code: CodeDeadline}
		}
		q.start(now, q.teamQueue(r.Team), r)
		return Admitted{}
	}
	wait := q.wait(now, r)
	if q.late(now, wait, r) {
		return Refused{Code: CodeDeadline, RetryAfter: q.retryAfter(wait)}
	}
	var displaced *RefusedRequest
	if q.waiting >= q.maxWaiting {
		displaced = q.displace(now, r)
		if displaced == nil {
			return Refused{Code: CodeQueueFull, RetryAfter: q.retryAfter(wait)}
		}
	}
	q.teamQueue(r.Team).push(r)
	q.waiting++
	return Queued{Wait: wait, Displaced: displaced}
}

// Next returns the requests that get free slots at now, in order.
func (q *Queue) Next(now time.Time) []Request {
	var admitted []Request
	for q.running < q.slots && q.waiting > 0 {
		t := q.first()
		r, class := t.pop()
		q.waiting--
		if q.hopeless(now, r) {
			t.late = append(t.late, r)
			continue
		}
		t.charge(class, r, q.weights)
		q.start(now, t, r)
		admitted = append(admitted, r)
	}
	return admitted
}

// Release gives the slot of a request back. ran is how long it held the slot, 0 if
// that says nothing of its cost (cancelled, refused by the replica).
func (q *Queue) Release(r Request, ran time.Duration) {
	q.running = max(0, q.running-1)
	if ran > 0 {
		q.service.add(max(r.Cost, 1), ran)
	}
}

// Cancel takes a waiting request out, at its caller's word. It reports whether the
// request was waiting.
func (q *Queue) Cancel(r Request) bool {
	t := q.teams[r.Team]
	if t == nil || !t.remove(r) {
		return false
	}
	q.waiting--
	return true
}

// Expire returns the waiting requests that can no longer meet their deadline. They
// are out of the queue and must be refused now.
func (q *Queue) Expire(now time.Time) []RefusedRequest {
	var refusals []RefusedRequest
	for _, t := range q.teams {
		for _, r := range t.expire(func(r Request) bool { return q.hopeless(now, r) }) {
			q.waiting--
			refusals = append(refusals, q.tooLate(now, r))
		}
		for _, r := range t.late {
			refusals = append(refusals, q.tooLate(now, r))
		}
		t.late = nil
		if t.idle(now, q.virtual) {
			delete(q.teams, t.id)
		}
	}
	sortRefusals(refusals)
	return refusals
}

func (q *Queue) tooLate(now time.Time, r Request) RefusedRequest {
	return RefusedRequest{Request: r, Refused: Refused{Code: CodeDeadline, RetryAfter: q.retryAfter(q.wait(now, r))}}
}

// start takes a slot and moves the tags of the team behind the request.
func (q *Queue) start(now time.Time, t *teamQueue, r Request) {
	q.virtual = max(q.virtual, t.start)
	t.finish = t.start + r.Cost/q.weights.team(r.Team)
	t.start = t.finish
	t.use.add(now, r.Cost)
	q.running++
}

func (q *Queue) teamQueue(id team.ID) *teamQueue {
	t := q.teams[id]
	if t == nil {
		t = &teamQueue{id: id, classes: make(map[team.Class]*classQueue)}
		q.teams[id] = t
	}
	if t.count == 0 {
		t.start = max(q.virtual, t.finish)
	}
	return t
}

// first returns the team with the least start tag among those that wait.
func (q *Queue) first() *teamQueue {
	var best *teamQueue
	for _, t := range q.teams {
		if t.count == 0 {
			continue
		}
		if best == nil || t.start < best.start || (t.start == best.start && t.id < best.id) {
			best = t
		}
	}
	return best
}
