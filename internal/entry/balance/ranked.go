package balance

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/entry/overload"
	"github.com/egretreach/egretreach/internal/fleet/routes"
)

// rankedScope is the queue of one service and model for which package overload decides.
type rankedScope struct {
	overload.Scope
	// waiting are the requests in the queue, in their order as of the last event.
	waiting []*Waiter
}

// SetRoutes replaces the routes that operators have configured. It follows SetServices.
func (b *Balancer) SetRoutes(all []routes.Route) {
	b.rankedServices = nil
	if b.Ranked {
		b.rankedServices = rankedServices(all, b.engines)
	}
	maps.DeleteFunc(b.ranked, func(s scope, r *rankedScope) bool { return !b.rankedServices[s.service] && len(r.waiting) == 0 })
}

// rankedServices returns the services for which package overload decides: those with a model engine whose routes differ in
// priority. All others keep the order by priority and arrival, and refuse as before.
func rankedServices(all []routes.Route, engines map[string]*routes.Engine) map[string]bool {
	priorities, ranked := map[string]int{}, map[string]bool{}
	for _, r := range all {
		for _, target := range r.Targets {
			service := target.Service
			if engines[service] == nil {
				continue
			}
			priority, known := priorities[service]
			if known && priority != r.Priority {
				ranked[service] = true
			}
			priorities[service] = r.Priority
		}
	}
	return ranked
}

// rankedScope returns the ranked queue for a request, or nil if its service has none.
func (b *Balancer) rankedScope(req Request) *rankedScope {
	if req.Model == "" || !b.rankedServices[req.Service] {
		return nil
	}
	r := b.ranked[req.scope()]
	if r == nil {
		if _, ok := b.engines[req.Service].Model(req.Model); !ok {
			return nil // Callers choose the model name, so no state is kept for an unknown one.
		}
		if b.ranked == nil {
			b.ranked = map[scope]*rankedScope{}
		}
		r = &rankedScope{}
		b.ranked[req.scope()] = r
	}
	return r
}

// caller returns who has sent a request.
func (b *Balancer) caller(req Request) overload.Caller {
	return overload.Caller{
		Team: req.Team, Session: req.Session, Priority: req.Priority, Objective: req.Objective, ServeLate: b.ServeLate,
		Returned: req.Waited > 0, Repeated: len(req.Exclude) > 0 || req.Resumed,
	}
}

// turn returns the place of a request in the order.
func (req Request) turn(tag float64, now time.Time) overload.Turn {
	return overload.Turn{
		Resumed: req.Resumed, Late: req.isLate(now), Returned: req.Waited > 0, Priority: req.Priority, Tag: tag, Since: req.ArrivedAt.Add(-req.Waited),
	}
}

// submitRanked places a request of a ranked scope, refuses it or queues it.
func (b *Balancer) submitRanked(r *rankedScope, req Request, now time.Time) (Decision, *Waiter) {
	r.ObserveHeads(b.usableHeads(req, now), now)
	r.Arrived(b.caller(req), now)
	if b.ServeLate && req.LateUntil.After(req.WaitUntil) && !req.Resumed {
		req.WaitUntil = req.LateUntil
	}
	w := &Waiter{Request: req, turn: req.turn(r.Tag(b.caller(req)), now)}
	w.turn.Late = w.turn.Late && !b.goesAsNew(r, req, now)
	pass := rankedPass{}
	for _, other := range r.waiting {
		if overload.Compare(other.turn, w.turn) < 0 {
			pass.failed(other)
		}
	}
	if d, ok := b.placeRanked(r, w, &pass, now); ok {
		r.TakeTag(b.caller(req))
		return d, nil
	}
	return b.queueRanked(r, w, now)
}

// queueRanked queues a request of a ranked scope for which there is no place now, or refuses it.
func (b *Balancer) queueRanked(r *rankedScope, w *Waiter, now time.Time) (Decision, *Waiter) {
	req := w.Request
	barred := b.barredReason(req)
	switch {
	case barred != "":
		return b.refusal(req, barred, now), nil
	case !b.anyServesBy(req, req.WaitUntil, now):
		reason := "no endpoint serves it"
		if _, busy := b.allBusyUntil(req, now); busy {
			reason = "all endpoints have asked for no requests"
		}
		return b.refusal(req, reason, now), nil
	case !now.Before(req.WaitUntil):
		return b.refuseRanked(r, w, overload.ReasonNoWait, now), nil
	case b.waitsInVain(req, now):
		return b.refusal(req, reasonLimited, now), nil
	case !req.Resumed && !r.MayWait(b.caller(req), r.ahead(w), req.WaitUntil, now):
		if !b.displace(r, w, now) {
			reason := overload.ReasonQueue
			if w.turn.Returned && r.CapacityLost() {
				reason = overload.ReasonLost
			}
			return b.refuseRanked(r, w, reason, now), nil
		}
	}
	w.turn.Tag, w.Decided = r.TakeTag(b.caller(req)), make(chan Decision, 1)
	r.insert(w)
	return Decision{}, w
}

// ahead returns the number of requests that are tried before one.
func (r *rankedScope) ahead(w *Waiter) int {
	count := 0
	for _, other := range r.waiting {
		if overload.Compare(other.turn, w.turn) <= 0 {
			count++
		}
	}
	return count
}

// insert adds a request to the queue.
func (r *rankedScope) insert(w *Waiter) {
	at, _ := slices.BinarySearchFunc(r.waiting, w, func(other, w *Waiter) int {
		if overload.Compare(other.turn, w.turn) <= 0 {
			return -1
		}
		return 1
	})
	r.waiting = slices.Insert(r.waiting, at, w)
}

// displace refuses the last waiting new request of the same rank if its team has had more service than that of w. It reports
// whether there was one.
func (b *Balancer) displace(r *rankedScope, w *Waiter, now time.Time) bool {
	if w.turn.Late {
		return false
	}
	for i, other := range slices.Backward(r.waiting) {
		t := other.turn
		if t.Late || t.Resumed || t.Returned || t.Priority != w.turn.Priority || other.Team == w.Team {
			continue
		}
		if t.Tag < w.turn.Tag+1 {
			return false
		}
		r.waiting = slices.Delete(r.waiting, i, i+1)
		r.Unserved(b.caller(other.Request))
		other.Decided <- b.refuseRanked(r, other, overload.ReasonDisplaced, now)
		return true
	}
	return false
}

// rankedPass summarises the requests that were tried before one in the same event.
type rankedPass struct {
	// above is the shortest objective of the more urgent requests that can meet theirs and found no place, and same that of
	// those with the given priority.
	above, same time.Duration
	priority    int
	// lateTokens is the smallest prompt of a late request that found no place, if lateFailed is set.
	lateFailed bool
	lateTokens int
	// soonest and spare are the earliest forecasts of a first event, and of one beside a request of mean size, at the endpoints
	// that have a place, once surveyed is set. A placement only makes them later, so that they remain lower bounds.
	surveyed       bool
	soonest, spare time.Duration
}

// never is a forecast at no endpoint.
const never = time.Duration(math.MaxInt64)

// survey sets the earliest forecasts. With them a request that no endpoint can take is detected by a comparison instead of a
// forecast for each endpoint.
func (p *rankedPass) survey(b *Balancer, req Request, now time.Time) {
	if p.surveyed {
		return
	}
	p.surveyed, p.soonest, p.spare = true, never, never
	req.PromptTokens = 0
	req.Regions = Regions{} // The waiting requests may allow different regions.
	mean := req
	if engine := b.engines[req.Service]; engine != nil { // An operator may have removed it while requests wait.
		mean.PromptTokens = engine.MeanPromptTokens
	}
	for _, t := range b.serving(req) {
		occupied := b.occupied(t, now)
		if b.exclusion(t, req, now) != ExclusionNone || occupied >= float64(t.Slots)*maxEngineFill {
			continue
		}
		p.soonest = min(p.soonest, b.forecastFirstEvent(t, req, now))
		if occupied < float64(t.Slots)*maxFillForLate {
			p.spare = min(p.spare, b.forecastFirstEvent(t, mean, now))
		}
	}
}

// isHopeless reports whether no endpoint can take a request by the earliest forecasts.
func (p *rankedPass) isHopeless(req Request, late bool, now time.Time) bool {
	if req.spareFor > 0 && float64(p.spare) >= float64(req.spareFor)*spareObjectiveShare {
		return true
	}
	return !late && (p.soonest == never || !now.Add(p.soonest).Before(req.ObjectiveDeadline))
}

// failed records a request that found no place.
func (p *rankedPass) failed(w *Waiter) {
	switch {
	case w.turn.Resumed:
	case w.turn.Late:
		if len(w.Exclude) == 0 && (!p.lateFailed || w.PromptTokens < p.lateTokens) {
			p.lateFailed, p.lateTokens = true, w.PromptTokens
		}
	default:
		p.enter(w.turn.Priority)
		p.same = shorter(p.same, w.Objective)
	}
}

// enter begins the requests of a priority.
func (p *rankedPass) enter(priority int) {
	if priority > p.priority {
		p.above, p.same = shorter(p.above, p.same), 0
	}
	p.priority = priority
}

// shorter returns the shorter of two durations, of which 0 is none.
func shorter(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// placeRanked places a request of a ranked scope if there is capacity that more urgent requests don't need.
func (b *Balancer) placeRanked(r *rankedScope, w *Waiter, pass *rankedPass, now time.Time) (Decision, bool) {
	req, ok := b.prepareRanked(r, w, pass, now)
	if !ok {
		pass.failed(w)
		return Decision{}, false
	}
	d, ok := b.place(req, now)
	if !ok {
		pass.failed(w)
		return d, false
	}
	r.Placed(b.caller(req), w.turn.Tag, w.turn.Late, now)
	d.Late, d.Returned = w.isLate(now), w.turn.Returned
	return d, true
}

// prepareRanked returns a request with the room that it has to leave to others. It returns false if no endpoint can take it.
func (b *Balancer) prepareRanked(r *rankedScope, w *Waiter, pass *rankedPass, now time.Time) (Request, bool) {
	req := w.Request
	if w.turn.Resumed {
		return req, true
	}
	pass.survey(b, req, now)
	if w.turn.Late {
		if pass.lateFailed && req.PromptTokens >= pass.lateTokens {
			return req, false
		}
		req.spareFor = req.Objective
		if pass.isHopeless(req, true, now) {
			return req, false
		}
		req.spareFor = shorter(req.Objective, r.LateReserve(now))
		return req, !pass.isHopeless(req, true, now)
	}
	if b.goesAsNew(r, req, now) {
		req.ObjectiveDeadline = now.Add(req.Objective)
	}
	pass.enter(req.Priority)
	if pass.isHopeless(req, false, now) {
		return req, false
	}
	req.spareFor = r.Reserve(b.caller(req), now)
	if owed, ok := r.Owed(); !ok || owed != req.Priority {
		req.spareFor = shorter(req.spareFor, pass.above)
	}
	return req, !pass.isHopeless(req, false, now)
}

// goesAsNew reports whether a returned request is placed like a new one, which it does only where late responses are served.
func (b *Balancer) goesAsNew(r *rankedScope, req Request, now time.Time) bool {
	return b.ServeLate && req.Waited > 0 && !req.Resumed && r.ReturnsFirst(now)
}

// processRanked places the waiting requests of a ranked scope for which there is capacity now, and refuses those whose wait has
// ended.
func (b *Balancer) processRanked(r *rankedScope, now time.Time) {
	if len(r.waiting) == 0 {
		return
	}
	r.ObserveHeads(b.usableHeads(r.waiting[0].Request, now), now)
	b.orderRanked(r, now)
	b.placeOwed(r, now)
	pass := rankedPass{}
	var kept, expired []*Waiter
	for _, w := range r.waiting {
		d, ok := b.placeRanked(r, w, &pass, now)
		switch {
		case ok:
			w.Decided <- d
		case b.barredReason(w.Request) != "":
			r.Unserved(b.caller(w.Request))
			w.Decided <- b.refusal(w.Request, b.barredReason(w.Request), now)
		case !now.Before(w.WaitUntil):
			expired = append(expired, w)
		default:
			kept = append(kept, w)
		}
	}
	r.waiting = kept
	for _, w := range expired {
		r.Unserved(b.caller(w.Request))
		w.Decided <- b.refuseRanked(r, w, overload.ReasonWaited, now)
	}
}

// orderRanked moves the requests whose objective can't be met any more behind the others.
func (b *Balancer) orderRanked(r *rankedScope, now time.Time) {
	moved := false
	for _, w := range r.waiting {
		late := w.isLate(now) && !b.goesAsNew(r, w.Request, now)
		moved = moved || late != w.turn.Late
		w.turn.Late = late
	}
	if moved {
		slices.SortStableFunc(r.waiting, func(a, b *Waiter) int { return overload.Compare(a.turn, b.turn) })
	}
}

// placeOwed tries the first request of the rank that is owed a place before all others.
func (b *Balancer) placeOwed(r *rankedScope, now time.Time) {
	priority, ok := r.Owed()
	if !ok {
		return
	}
	i := slices.IndexFunc(r.waiting, func(w *Waiter) bool { return w.turn.Priority == priority && !w.turn.Late && !w.turn.Resumed })
	if i < 0 {
		return
	}
	w := r.waiting[i]
	if d, ok := b.placeRanked(r, w, &rankedPass{}, now); ok {
		r.waiting = slices.Delete(r.waiting, i, i+1)
		w.Decided <- d
	}
}

// refuseRanked returns a refusal whose Retry-After is a time with room, unless the endpoints have named one.
func (b *Balancer) refuseRanked(r *rankedScope, w *Waiter, reason overload.Reason, now time.Time) Decision {
	d := b.refusal(w.Request, reason.String(), now)
	usable := overload.Usable(w.Deadline, now)
	d.Overload = overload.Inputs{
		Reason: reason, PerSecond: r.PerSecond(now), Ahead: r.ahead(w), Waiting: len(r.waiting), Usable: usable, Returned: w.turn.Returned,
		Late: w.isLate(now),
	}
	if _, busy := b.allBusyUntil(w.Request, now); busy {
		return d
	}
	if _, limited := b.limitedShare(w.Request, now); limited {
		return d
	}
	if w.turn.Returned || w.Hedge || len(w.Exclude) > 0 {
		usable = 0 // Its caller doesn't return again, or doesn't get this refusal, so no room is reserved for it.
	}
	d.RetryAfter, d.Overload.Promised = r.Return(b.caller(w.Request), len(r.waiting), usable, w.Spread, now)
	return d
}

// usableHeads returns the number of endpoints that may get a request now.
func (b *Balancer) usableHeads(req Request, now time.Time) int {
	req.Regions = Regions{} // The number must not differ between requests.
	count := 0
	for _, t := range b.serving(req) {
		switch b.exclusion(t, req, now) {
		case ExclusionNone, ExclusionLimited, ExclusionCold:
			count++
		case ExclusionLeaving, ExclusionBusy, ExclusionBanned, ExclusionSilent, ExclusionEvacuated, ExclusionRegion:
		}
	}
	return count
}

// rankedWaiting returns the number of requests that wait in ranked scopes.
func (b *Balancer) rankedWaiting() int {
	count := 0
	for _, r := range b.ranked {
		count += len(r.waiting)
	}
	return count
}

// cancelRanked removes a request from its ranked queue, if it waits there.
func (b *Balancer) cancelRanked(w *Waiter) bool {
	r := b.ranked[w.scope()]
	if r == nil {
		return false
	}
	i := slices.Index(r.waiting, w)
	if i < 0 {
		return false
	}
	r.waiting = slices.Delete(r.waiting, i, i+1)
	r.Unserved(b.caller(w.Request))
	return true
}
