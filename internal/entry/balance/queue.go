package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/roster"
)

const (
	// mendTime is about how long a model is short of engines when it has lost a replica: a
	// caller who comes back sooner is mostly refused again.
	mendTime = 1600 * time.Millisecond
	// soonest and latest bound the time after which a refused caller may come back.
	soonest = 250 * time.Millisecond
	latest  = 2 * time.Second
)

// Need is what one request wants of an endpoint.
type Need struct {
	Service string
	// Model is empty for plain services.
	Model string
	// Rank is the request's priority, 0 being the most urgent.
	Rank int
	// Prompt is the length of the prompt, in tokens.
	Prompt int
	// Avoid are endpoints that have failed the request.
	Avoid []string
	// Resumed says that the caller has had a part of the answer.
	Resumed bool
	// Aim is when the first event, or the answer, is due to be of full use.
	Aim time.Time
	// Objective is the time within which an answer is of full use.
	Objective time.Duration
	// Since is when the request arrived, and Until when it has waited long enough.
	Since time.Time
	Until time.Time
}

// Decision says what becomes of a request.
type Decision struct {
	// Endpoint is where it goes, if it is set.
	Endpoint roster.Endpoint
	// Forecast is the expected time to the first event there.
	Forecast time.Duration
	// Refused says that there is no room; After is when the caller may come back.
	Refused bool
	After   time.Duration
	Reason  string
	Seen    Seen
}

// Seen is what a refusal rests on.
type Seen struct {
	// Serving is how many endpoints serve the request, Banned how many of them are left
	// alone for their failures or stand still.
	Serving, Banned int
	// Occupied is the lowest estimate of the requests at one of the others, and Soonest the
	// earliest forecast of a first event.
	Occupied float64
	Soonest  time.Duration
}

// seen sums up the endpoints that serve a request.
func (b *Board) seen(n Need, now time.Time) Seen {
	var s Seen
	for _, t := range b.targets {
		if !t.fits(n) {
			continue
		}
		s.Serving++
		if now.Before(t.banned) || t.stalled(now) {
			s.Banned++
			continue
		}
		occupied, soonest := b.occupied(t, now), b.firstEvent(t, n, now)
		if s.Soonest == 0 || soonest < s.Soonest {
			s.Occupied, s.Soonest = occupied, soonest
		}
	}
	return s
}

// Waiter is a request that waits for room.
type Waiter struct {
	Need
	// Decided receives the decision.
	Decided chan Decision
}

// Ask decides on a request. It returns a waiter if the request is to wait.
func (b *Board) Ask(n Need, now time.Time) (Decision, *Waiter) {
	if d, ok := b.place(n, now); ok {
		return d, nil
	}
	if !b.served(n) {
		return b.refusal(n, "no endpoint serves it", now), nil
	}
	if !now.Before(n.Until) {
		return b.refusal(n, "no room", now), nil
	}
	w := &Waiter{Need: n, Decided: make(chan Decision, 1)}
	b.queue = append(b.queue, w)
	slices.SortStableFunc(b.queue, before)
	return Decision{}, w
}

// before orders waiting requests: first those whose caller has a part of the answer, then
// by rank, then by arrival.
func before(a, b *Waiter) int {
	if a.Resumed != b.Resumed {
		if a.Resumed {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), a.Since.Compare(b.Since))
}

// Settle decides on the waiting requests for which there is room now, or whose time is up.
func (b *Board) Settle(now time.Time) {
	kept := b.queue[:0]
	for _, w := range b.queue {
		if d, ok := b.place(w.Need, now); ok {
			w.Decided <- d
			continue
		}
		if !now.Before(w.Until) {
			w.Decided <- b.refusal(w.Need, "no room in time", now)
			continue
		}
		kept = append(kept, w)
	}
	clear(b.queue[len(kept):])
	b.queue = kept
}

// Cancel ends the wait of a request whose caller left. If a decision came first it is
// returned; the endpoint that it names must be told of the end.
func (b *Board) Cancel(w *Waiter) (Decision, bool) {
	if i := slices.Index(b.queue, w); i >= 0 {
		b.queue = slices.Delete(b.queue, i, i+1)
		return Decision{}, false
	}
	select {
	case d := <-w.Decided:
		return d, d.Endpoint.ID != ""
	default:
		return Decision{}, false
	}
}

// Waiting is how many requests wait.
func (b *Board) Waiting() int { return len(b.queue) }

// place picks an endpoint with room and counts the request there.
func (b *Board) place(n Need, now time.Time) (Decision, bool) {
	t, ok := b.pick(n, now)
	if !ok {
		return Decision{}, false
	}
	expected := b.firstEvent(t, n, now)
	b.Sent(t.ID, n, now)
	return Decision{Endpoint: t.Endpoint, Forecast: expected}, true
}

// refusal says when to come back: the more wait for the same, the later.
func (b *Board) refusal(n Need, reason string, now time.Time) Decision {
	waiting := 0
	for _, w := range b.queue {
		if w.Service == n.Service && w.Model == n.Model {
			waiting++
		}
	}
	after := min(latest, soonest+time.Duration(waiting)*20*time.Millisecond)
	if n.Model != "" {
		after = max(after, mendTime)
	}
	return Decision{Refused: true, After: after, Reason: reason, Seen: b.seen(n, now)}
}
