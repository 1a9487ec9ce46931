package admission

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/team"
)

// Weights are the relative shares of teams and classes. A team or class without an
// entry has weight 1.
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

// DefaultMaxWaiting is the default bound of the requests that wait in one Queue.
const DefaultMaxWaiting = 4096

// Queue shares the slots of one model, over all replicas that serve it, among teams and
// classes. Create it with NewQueue.
type Queue struct {
	weights     Weights
	maxWaiting  int
	slots       int
	running     int
	waiting     int
	virtualTime float64
	teams       map[team.ID]*teamQueue
	estimate    serviceEstimate
}

// NewQueue returns an empty Queue without slots. If maxWaiting is not positive,
// DefaultMaxWaiting is used.
func NewQueue(weights Weights, maxWaiting int) *Queue {
	if maxWaiting <= 0 {
		maxWaiting = DefaultMaxWaiting
	}
	return &Queue{weights: weights, maxWaiting: maxWaiting, teams: make(map[team.ID]*teamQueue), estimate: newServiceEstimate()}
}

// SetWeights replaces the weights. Waiting requests keep their places.
func (q *Queue) SetWeights(weights Weights) { q.weights = weights }

// SetSlots sets how many requests may run at once, which is the sum of the concurrency
// limits of the serving replicas. Requests that already run continue, even if there are
// more of them than slots.
func (q *Queue) SetSlots(slots int) { q.slots = max(0, slots) }

// Slots returns the number of slots and how many are taken.
func (q *Queue) Slots() (slots, running int) { return q.slots, q.running }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waiting }

// Offer asks for a slot. A request that is admitted here or returned by Next holds its
// slot until Release.
func (q *Queue) Offer(now time.Time, r Request) Decision {
	r.Cost = max(r.Cost, 1)
	if q.waiting == 0 && q.running < q.slots {
		if q.likelyLate(now, 0, r) {
			return Refused{Code: CodeDeadline}
		}
		q.startRequest(now, q.teamQueue(r.Team), r)
		return Admitted{}
	}
	wait := q.predictWait(now, r)
	if q.likelyLate(now, wait, r) {
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

// Next starts waiting requests in the free slots and returns them in order. Requests
// that can no longer meet their deadline are left for Expire to return.
func (q *Queue) Next(now time.Time) []Request {
	var admitted []Request
	for q.running < q.slots && q.waiting > 0 {
		t := q.nextTeam()
		r, class := t.pop()
		q.waiting--
		if q.missesDeadline(now, r) {
			t.lateRequests = append(t.lateRequests, r)
			continue
		}
		t.advanceTags(class, r, q.weights)
		q.startRequest(now, t, r)
		admitted = append(admitted, r)
	}
	return admitted
}

// Release frees the slot of a request. ran is how long it held the slot, or 0 if that
// does not reflect its cost, because it was canceled or refused by the replica.
func (q *Queue) Release(r Request, ran time.Duration) {
	q.running = max(0, q.running-1)
	if ran > 0 {
		q.estimate.addSample(max(r.Cost, 1), ran)
	}
}

// Cancel removes a waiting request whose caller has disconnected or timed out. It reports whether
// the request was waiting.
func (q *Queue) Cancel(r Request) bool {
	t := q.teams[r.Team]
	if t == nil || !t.remove(r) {
		return false
	}
	q.waiting--
	return true
}

// Expire removes and returns the waiting requests that can no longer meet their
// deadline. The caller must refuse them now.
func (q *Queue) Expire(now time.Time) []RefusedRequest {
	var refusals []RefusedRequest
	for _, t := range q.teams {
		for _, r := range t.removeLate(func(r Request) bool { return q.missesDeadline(now, r) }) {
			q.waiting--
			refusals = append(refusals, q.refuseLate(now, r))
		}
		for _, r := range t.lateRequests {
			refusals = append(refusals, q.refuseLate(now, r))
		}
		t.lateRequests = nil
		if t.idle(now, q.virtualTime) {
			delete(q.teams, t.id)
		}
	}
	sortRefusals(refusals)
	return refusals
}

func (q *Queue) refuseLate(now time.Time, r Request) RefusedRequest {
	return RefusedRequest{Request: r, Refused: Refused{Code: CodeDeadline, RetryAfter: q.retryAfter(q.predictWait(now, r))}}
}

// startRequest takes a slot for a request and advances the tags of its team.
func (q *Queue) startRequest(now time.Time, t *teamQueue, r Request) {
	q.virtualTime = max(q.virtualTime, t.startTag)
	t.finishTag = t.startTag + r.Cost/q.weights.team(r.Team)
	t.startTag = t.finishTag
	t.startRate.add(now, r.Cost)
	q.running++
}

func (q *Queue) teamQueue(id team.ID) *teamQueue {
	t := q.teams[id]
	if t == nil {
		t = &teamQueue{id: id, classes: make(map[team.Class]*classQueue)}
		q.teams[id] = t
	}
	if t.waiting == 0 {
		t.startTag = max(q.virtualTime, t.finishTag)
	}
	return t
}

// nextTeam returns the team with the lowest start tag among those with waiting
// requests.
func (q *Queue) nextTeam() *teamQueue {
	var best *teamQueue
	for _, t := range q.teams {
		if t.waiting == 0 {
			continue
		}
		if best == nil || t.startTag < best.startTag || (t.startTag == best.startTag && t.id < best.id) {
			best = t
		}
	}
	return best
}
