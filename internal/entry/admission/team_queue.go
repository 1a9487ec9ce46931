package admission

import (
	"bytes"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/team"
)

// teamQueue holds the waiting requests of one team. Its tags and its virtual time are
// those of start-time fair queueing.
type teamQueue struct {
	id          team.ID
	startTag    float64
	finishTag   float64
	waiting     int
	waitingCost float64
	virtualTime float64
	startRate   startRate
	classes     map[team.Class]*classQueue
	// lateRequests are requests that could no longer meet their deadline when their
	// turn came.
	lateRequests []Request
}

// classQueue holds the waiting requests of one class of a team, in the order in which
// they will start.
type classQueue struct {
	class       team.Class
	startTag    float64
	finishTag   float64
	waitingCost float64
	requests    []Request
}

func (t *teamQueue) classQueue(c team.Class) *classQueue {
	cq := t.classes[c]
	if cq == nil {
		cq = &classQueue{class: c}
		t.classes[c] = cq
	}
	if len(cq.requests) == 0 {
		cq.startTag = max(t.virtualTime, cq.finishTag)
	}
	return cq
}

func (t *teamQueue) push(r Request) {
	cq := t.classQueue(r.Class)
	at := len(cq.requests)
	for at > 0 && cq.requests[at-1].Priority < r.Priority {
		at--
	}
	cq.requests = slices.Insert(cq.requests, at, r)
	cq.waitingCost += r.Cost
	t.waitingCost += r.Cost
	t.waiting++
}

// pop removes the request that starts next, from the class with the lowest start tag.
func (t *teamQueue) pop() (Request, *classQueue) {
	var best *classQueue
	for _, cq := range t.classes {
		if len(cq.requests) == 0 {
			continue
		}
		if best == nil || cq.startTag < best.startTag || (cq.startTag == best.startTag && cq.class < best.class) {
			best = cq
		}
	}
	r := best.requests[0]
	t.removeAt(best, 0)
	return r, best
}

// advanceTags advances the tags of a class by a request that starts.
func (t *teamQueue) advanceTags(cq *classQueue, r Request, weights Weights) {
	t.virtualTime = max(t.virtualTime, cq.startTag)
	cq.finishTag = cq.startTag + r.Cost/weights.class(r.Class)
	cq.startTag = cq.finishTag
}

func (t *teamQueue) removeAt(cq *classQueue, i int) {
	r := cq.requests[i]
	cq.requests = slices.Delete(cq.requests, i, i+1)
	cq.waitingCost -= r.Cost
	t.waitingCost -= r.Cost
	t.waiting--
}

func (t *teamQueue) remove(r Request) bool {
	cq := t.classes[r.Class]
	if cq == nil {
		return false
	}
	i := slices.IndexFunc(cq.requests, func(other Request) bool { return other.ID == r.ID })
	if i < 0 {
		return false
	}
	t.removeAt(cq, i)
	return true
}

// removeLate removes and returns the requests that are late.
func (t *teamQueue) removeLate(late func(Request) bool) []Request {
	var out []Request
	for _, cq := range t.classes {
		for i := len(cq.requests) - 1; i >= 0; i-- {
			if late(cq.requests[i]) {
				out = append(out, cq.requests[i])
				t.removeAt(cq, i)
			}
		}
	}
	return out
}

// costAhead returns the waiting cost ahead of a new request in its class, given its
// priority.
func (t *teamQueue) costAhead(r Request) float64 {
	cq := t.classes[r.Class]
	if cq == nil {
		return 0
	}
	ahead := cq.waitingCost
	for i := len(cq.requests) - 1; i >= 0 && cq.requests[i].Priority < r.Priority; i-- {
		ahead -= cq.requests[i].Cost
	}
	return ahead
}

// classShare returns the part of the team's slots that a class gets among the classes
// that have waiting requests.
func (t *teamQueue) classShare(c team.Class, weights Weights) float64 {
	own := weights.class(c)
	total := own
	for _, cq := range t.classes {
		if len(cq.requests) > 0 && cq.class != c {
			total += weights.class(cq.class)
		}
	}
	return own / total
}

// idle reports whether the team has no waiting requests and no state that later requests depend on.
func (t *teamQueue) idle(now time.Time, virtualTime float64) bool {
	return t.waiting == 0 && t.startRate.perSecond(now) == 0 && len(t.lateRequests) == 0 && t.finishTag <= virtualTime
}

// displace makes room in a full queue. The team with the highest waiting cost relative
// to its weight loses the last request of its costliest class. It returns nil if the
// new request's team, with that request, is not below the highest cost.
func (q *Queue) displace(now time.Time, r Request) *RefusedRequest {
	var worst *teamQueue
	worstLoad := 0.0
	for _, t := range q.teams {
		load := t.waitingCost / q.weights.team(t.id)
		if t.waiting > 0 && (worst == nil || load > worstLoad || (load == worstLoad && t.id < worst.id)) {
			worst, worstLoad = t, load
		}
	}
	own := r.Cost / q.weights.team(r.Team)
	if t := q.teams[r.Team]; t != nil {
		own += t.waitingCost / q.weights.team(r.Team)
	}
	if worst == nil || own >= worstLoad {
		return nil
	}
	class := worst.costliestClass()
	victim := class.requests[len(class.requests)-1]
	worst.removeAt(class, len(class.requests)-1)
	q.waiting--
	wait := q.predictWait(now, victim)
	return &RefusedRequest{Request: victim, Refused: Refused{Code: CodeQueueFull, RetryAfter: q.retryAfter(wait)}}
}

func (t *teamQueue) costliestClass() *classQueue {
	var costliest *classQueue
	for _, cq := range t.classes {
		if len(cq.requests) == 0 {
			continue
		}
		if costliest == nil || cq.waitingCost > costliest.waitingCost || (cq.waitingCost == costliest.waitingCost && cq.class < costliest.class) {
			costliest = cq
		}
	}
	return costliest
}

func sortRefusals(refusals []RefusedRequest) {
	slices.SortFunc(refusals, func(a, b RefusedRequest) int {
		return bytes.Compare(a.Request.ID[:], b.Request.ID[:])
	})
}
