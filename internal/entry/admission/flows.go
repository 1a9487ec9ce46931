package admission

import (
	"bytes"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/team"
)

// teamQueue is the waiting requests of one team. start and finish are its tags of
// start-time fair queueing.
type teamQueue struct {
	id      team.ID
	start   float64
	finish  float64
	count   int
	cost    float64
	virtual float64
	use     use
	classes map[team.Class]*classQueue
	// late holds requests that came too late for their deadline when their turn came.
	late []Request
}

// classQueue is the waiting requests of one class of a team, in the order in which
// they will start.
type classQueue struct {
	class  team.Class
	start  float64
	finish float64
	cost   float64
	items  []Request
}

func (t *teamQueue) class(c team.Class) *classQueue {
	cq := t.classes[c]
	if cq == nil {
		cq = &classQueue{class: c}
		t.classes[c] = cq
	}
	if len(cq.items) == 0 {
		cq.start = max(t.virtual, cq.finish)
	}
	return cq
}

func (t *teamQueue) push(r Request) {
	cq := t.class(r.Class)
	at := len(cq.items)
	for at > 0 && cq.items[at-1].Priority < r.Priority {
		at--
	}
	cq.items = slices.Insert(cq.items, at, r)
	cq.cost += r.Cost
	t.cost += r.Cost
	t.count++
}

// pop takes out the request that starts next: of the class with the least start tag.
func (t *teamQueue) pop() (Request, *classQueue) {
	var best *classQueue
	for _, cq := range t.classes {
		if len(cq.items) == 0 {
			continue
		}
		if best == nil || cq.start < best.start || (cq.start == best.start && cq.class < best.class) {
			best = cq
		}
	}
	r := best.items[0]
	t.take(best, 0)
	return r, best
}

// charge moves the tags of a class behind a request that starts.
func (t *teamQueue) charge(cq *classQueue, r Request, weights Weights) {
	t.virtual = max(t.virtual, cq.start)
	cq.finish = cq.start + r.Cost/weights.class(r.Class)
	cq.start = cq.finish
}

func (t *teamQueue) take(cq *classQueue, i int) {
	r := cq.items[i]
	cq.items = slices.Delete(cq.items, i, i+1)
	cq.cost -= r.Cost
	t.cost -= r.Cost
	t.count--
}

func (t *teamQueue) remove(r Request) bool {
	cq := t.classes[r.Class]
	if cq == nil {
		return false
	}
	i := slices.IndexFunc(cq.items, func(other Request) bool { return other.ID == r.ID })
	if i < 0 {
		return false
	}
	t.take(cq, i)
	return true
}

// expire takes out the requests that are late.
func (t *teamQueue) expire(late func(Request) bool) []Request {
	var out []Request
	for _, cq := range t.classes {
		for i := len(cq.items) - 1; i >= 0; i-- {
			if late(cq.items[i]) {
				out = append(out, cq.items[i])
				t.take(cq, i)
			}
		}
	}
	return out
}

// ahead returns the cost that waits before a new request of its class and priority.
func (t *teamQueue) ahead(r Request) float64 {
	cq := t.classes[r.Class]
	if cq == nil {
		return 0
	}
	ahead := cq.cost
	for i := len(cq.items) - 1; i >= 0 && cq.items[i].Priority < r.Priority; i-- {
		ahead -= cq.items[i].Cost
	}
	return ahead
}

// share returns the part of the team's slots that a class gets among those that wait.
func (t *teamQueue) share(c team.Class, weights Weights) float64 {
	own := weights.class(c)
	total := own
	for _, cq := range t.classes {
		if len(cq.items) > 0 && cq.class != c {
			total += weights.class(cq.class)
		}
	}
	return own / total
}

// idle reports whether nothing of the team is worth keeping.
func (t *teamQueue) idle(now time.Time, virtual float64) bool {
	return t.count == 0 && t.use.rate(now) == 0 && len(t.late) == 0 && t.finish <= virtual
}

// displace makes room in a full queue: the team with the most waiting cost for its
// weight gives up its last request, if that is not the newcomer's team.
func (q *Queue) displace(now time.Time, r Request) *RefusedRequest {
	var worst *teamQueue
	over := 0.0
	for _, t := range q.teams {
		load := t.cost / q.weights.team(t.id)
		if t.count > 0 && (worst == nil || load > over || (load == over && t.id < worst.id)) {
			worst, over = t, load
		}
	}
	own := r.Cost / q.weights.team(r.Team)
	if t := q.teams[r.Team]; t != nil {
		own += t.cost / q.weights.team(r.Team)
	}
	if worst == nil || own >= over {
		return nil
	}
	last := worst.longest()
	victim := last.items[len(last.items)-1]
	worst.take(last, len(last.items)-1)
	q.waiting--
	wait := q.wait(now, victim)
	return &RefusedRequest{Request: victim, Refused: Refused{Code: CodeQueueFull, RetryAfter: q.retryAfter(wait)}}
}

func (t *teamQueue) longest() *classQueue {
	var longest *classQueue
	for _, cq := range t.classes {
		if len(cq.items) == 0 {
			continue
		}
		if longest == nil || cq.cost > longest.cost || (cq.cost == longest.cost && cq.class < longest.class) {
			longest = cq
		}
	}
	return longest
}

func sortRefusals(refusals []RefusedRequest) {
	slices.SortFunc(refusals, func(a, b RefusedRequest) int {
		return bytes.Compare(a.Request.ID[:], b.Request.ID[:])
	})
}
