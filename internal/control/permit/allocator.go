// Package permit divides the rate limits of endpoints between gateways.
//
// An endpoint names a limit of requests a second for all gateways together. The allocator hands out permits,
// each for one request, from one token bucket an endpoint, so that the limit holds however many gateways
// there are and however uneven their load is. Each gets permits in proportion to the requests that it
// receives. A permit that isn't used expires, and is granted again.
//
// The package does no I/O, reads no clock and is not safe for concurrent use.
package permit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/link/message"
)

const (
	// burstTime is how much of its limit an endpoint's bucket saves up, besides one request.
	burstTime = 500 * time.Millisecond
	// arrivalWeight is the weight of the latest report in the moving average of a gateway's arrivals.
	arrivalWeight = 0.3
	// idleShare is the weight of a gateway without arrivals, relative to the mean of all. It gets a permit now
	// and then, so that its first request need not wait.
	idleShare = 0.05
	// reportTime is how long a gateway gets permits after its last report.
	reportTime = 1500 * time.Millisecond
	// limitTime is how long a limit holds after it was last named. An endpoint that gets requests names it in
	// each answer.
	limitTime = 10 * time.Minute
)

// Allocator holds the limits of all endpoints. The zero value is empty.
type Allocator struct {
	limits   map[roster.Incarnation]*limit
	gateways map[host.ID]*gateway
	// changed is increased with each change of a limit.
	changed uint64
	// warm holds the warm-up limits of the endpoints that are cold.
	warm map[roster.Incarnation]*limit
	// serial is the number of the latest grant for cold endpoints. It rises for all gateways together: one that was silent for a while
	// is forgotten here, and ignores numbers below those that it has seen.
	serial uint64
}

// limit is what an incarnation of an endpoint has said last.
type limit struct {
	scope     string
	perSecond float64
	// told is the limit as of the last change that gateways were told of.
	told float64
	// heardAt is when a gateway heard the limit last. A limit of 0 has ended.
	heardAt time.Time
	// tokens are the permits that may be handed out, as of filledAt.
	tokens   float64
	filledAt time.Time
	// credits order the gateways for the next permits.
	credits map[host.ID]float64
	// changed is the value of Allocator.changed after the last change.
	changed uint64
	// issued are the permits of the last warmWindow that may have been used, the oldest first, if this is a warm-up limit.
	// issuedCount is their number.
	issued      []issue
	issuedCount int
}

// gateway is what a gateway has reported, and its permits that have yet to be sent.
type gateway struct {
	reportedAt time.Time
	// arrivals are its requests a second, by scope.
	arrivals map[string]float64
	pending  map[roster.Incarnation]int
	// sent is the value of Allocator.changed up to which it knows the limits.
	sent uint64
	// report is the number of its latest report, and warm are its permits for cold endpoints that have yet to be sent. warmReport is
	// the value of report when the first of these was granted.
	report     uint64
	warm       map[roster.Incarnation]int
	warmReport uint64
	// serial is the number of the grant that warm belongs to.
	serial uint64
}

// Change is a limit that an endpoint has named first, changed or ended.
type Change struct {
	Endpoint roster.Incarnation
	// PerSecond is the limit, 0 if it has ended.
	PerSecond float64
	Heard     time.Duration
}

// Report records what a gateway reports, and returns the changes of limits. scope returns the service and model
// that an endpoint serves.
func (a *Allocator) Report(from host.ID, r message.LimitReport, scope func(roster.Incarnation) string, now time.Time) []Change {
	g := a.gateway(from)
	a.recordArrivals(g, r.Arrivals, now)
	g.report = r.Number
	a.takeBack(from, r.Unused)
	var changes []Change
	for _, l := range r.Limits {
		if known := a.limits[l.Incarnation()]; known != nil {
			known.tokens += float64(l.Permits) // They are granted again.
		}
		if a.hear(l, scope, now) {
			changes = append(changes, Change{Endpoint: l.Incarnation(), PerSecond: l.PerSecond, Heard: l.Age})
		}
	}
	return changes
}

func (a *Allocator) gateway(id host.ID) *gateway {
	g := a.gateways[id]
	if g == nil {
		if a.gateways == nil {
			a.gateways = map[host.ID]*gateway{}
		}
		g = &gateway{arrivals: map[string]float64{}, pending: map[roster.Incarnation]int{}}
		a.gateways[id] = g
	}
	return g
}

func (a *Allocator) recordArrivals(g *gateway, arrivals []message.Arrivals, now time.Time) {
	elapsed := now.Sub(g.reportedAt)
	g.reportedAt = now
	if elapsed <= 0 || elapsed > reportTime {
		elapsed = reportTime
	}
	rates := map[string]float64{}
	for _, r := range arrivals {
		rates[r.Scope] = float64(r.Count) / elapsed.Seconds()
	}
	for scope := range g.arrivals {
		g.arrivals[scope] *= 1 - arrivalWeight
	}
	for scope, rate := range rates {
		g.arrivals[scope] += rate * arrivalWeight
	}
	maps.DeleteFunc(g.arrivals, func(_ string, rate float64) bool { return rate < 1e-3 })
}

// hear records a limit as a gateway heard it, and reports whether gateways must be told. An end counts only if the answer
// without a limit belongs to a request that was sent after the limit was last heard.
func (a *Allocator) hear(l message.EndpointLimit, scope func(roster.Incarnation) string, now time.Time) bool {
	id, heardAt := l.Incarnation(), now.Add(-l.Age)
	known := a.limits[id]
	if known == nil {
		if l.PerSecond <= 0 {
			return false
		}
		if a.limits == nil {
			a.limits = map[roster.Incarnation]*limit{}
		}
		known = &limit{filledAt: now, credits: map[host.ID]float64{}}
		a.limits[id] = known
	}
	known.scope = scope(id) // An engine may have loaded another model since.
	if l.PerSecond <= 0 && !now.Add(-l.SentAge).After(known.heardAt) || heardAt.Before(known.heardAt) {
		return false
	}
	known.heardAt = heardAt
	if known.perSecond == 0 {
		known.tokens, known.filledAt = 0, now
	}
	known.perSecond = l.PerSecond
	if !roster.IsOtherLimit(known.told, l.PerSecond) {
		return false
	}
	a.changed++
	known.told, known.changed = l.PerSecond, a.changed
	return true
}

// Grant hands out the permits of the time since the last call. It reports whether there are any to send. gone
// says which endpoints have ended.
func (a *Allocator) Grant(now time.Time, gone func(roster.Incarnation) bool) bool {
	maps.DeleteFunc(a.limits, func(id roster.Incarnation, l *limit) bool { return gone(id) || now.Sub(l.heardAt) > limitTime })
	maps.DeleteFunc(a.gateways, func(_ host.ID, g *gateway) bool { return now.Sub(g.reportedAt) > 2*reportTime })
	weights := map[string][]weight{}
	granted := false
	for id, l := range a.limits {
		if l.perSecond == 0 {
			continue
		}
		shares, known := weights[l.scope]
		if !known {
			shares = a.weights(l.scope, now)
			weights[l.scope] = shares
		}
		granted = a.grant(id, l, shares, now) || granted
	}
	return granted
}

// weight is the weight of a gateway among those that share a limit.
type weight struct {
	id    host.ID
	g     *gateway
	share float64
}

// weights returns the shares of the gateways in the permits of a scope, which add up to 1.
func (a *Allocator) weights(scope string, now time.Time) []weight {
	var all []weight
	sum := 0.0
	for id, g := range a.gateways {
		if now.Sub(g.reportedAt) < reportTime {
			all = append(all, weight{id, g, g.arrivals[scope]})
			sum += g.arrivals[scope]
		}
	}
	slices.SortFunc(all, func(a, b weight) int { return cmp.Compare(a.id, b.id) })
	idle := idleShare
	if sum > 0 {
		idle = sum / float64(len(all)) * idleShare
	}
	total := 0.0
	for i := range all {
		all[i].share = max(all[i].share, idle)
		total += all[i].share
	}
	for i := range all {
		all[i].share /= total
	}
	return all
}

// grant hands out the permits of one endpoint.
func (a *Allocator) grant(id roster.Incarnation, l *limit, shares []weight, now time.Time) bool {
	l.tokens = min(l.tokens+l.perSecond*now.Sub(l.filledAt).Seconds(), 1+l.perSecond*burstTime.Seconds())
	l.filledAt = now
	return a.handOut(id, l, shares, false)
}

// handOut turns the tokens of an endpoint into permits. warm says that they are those of its warm-up limit.
func (a *Allocator) handOut(id roster.Incarnation, l *limit, shares []weight, warm bool) bool {
	granted := false
	for l.tokens >= 1 && len(shares) > 0 && (!warm || l.hasWindowRoom()) {
		l.tokens--
		best := 0
		for i, s := range shares {
			l.credits[s.id] += s.share
			if l.credits[s.id] > l.credits[shares[best].id] {
				best = i
			}
		}
		l.credits[shares[best].id]--
		if warm {
			a.giveWarm(id, l, shares[best])
		} else {
			shares[best].g.pending[id]++
		}
		granted = true
	}
	maps.DeleteFunc(l.credits, func(id host.ID, _ float64) bool { return a.gateways[id] == nil })
	return granted
}

// Take returns the limits that have changed since the last call for a gateway, and its permits. With all set it
// returns all limits.
func (a *Allocator) Take(to host.ID, all bool, now time.Time) []message.EndpointLimit {
	g := a.gateway(to)
	var out []message.EndpointLimit
	add := func(id roster.Incarnation, l *limit) {
		out = append(out, message.EndpointLimit{
			Endpoint: id.ID, StartedMs: id.StartedMs, PerSecond: l.perSecond, Age: now.Sub(l.heardAt), Permits: g.pending[id],
		})
	}
	for id := range g.pending {
		if l := a.limits[id]; l != nil {
			add(id, l)
		}
	}
	if all || g.sent < a.changed {
		for id, l := range a.limits {
			if g.pending[id] == 0 && (all || g.sent < l.changed) {
				add(id, l)
			}
		}
	}
	clear(g.pending)
	g.sent = a.changed
	slices.SortFunc(out, func(a, b message.EndpointLimit) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// StepDown drops the permits that have yet to be sent, since another host grants them from now on.
func (a *Allocator) StepDown(now time.Time) {
	for _, g := range a.gateways {
		clear(g.pending)
		clear(g.warm)
	}
	clear(a.warm)
	for _, l := range a.limits {
		l.tokens, l.filledAt = 0, now
	}
}
