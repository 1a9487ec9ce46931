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

// docs/design/warm_up.md derives these values from the bound of 1.5 times the limit and five requests in any second.
const (
	// warmBurstTime is how much of its warm-up limit an endpoint's bucket saves up, besides one request.
	warmBurstTime = 100 * time.Millisecond
	// warmWindow is a second and the time for which a permit of a cold endpoint is valid. The permits that are used in any second were
	// granted in such a time. warmWindowSlack is how many permits it may have beyond the limit's.
	warmWindow      = 1300 * time.Millisecond
	warmWindowSlack = 2
)

// issue is a number of permits that were granted to a gateway at a time.
type issue struct {
	at      time.Time
	gateway host.ID
	serial  uint64
	count   int
}

// Cold is an endpoint that is cold and gets requests.
type Cold struct {
	Endpoint roster.Incarnation
	// Scope is the service and model that it serves.
	Scope     string
	PerSecond float64
}

// GrantCold hands out the permits of cold endpoints of the time since the last call. It reports whether there are any to send. The smaller
// one of the warm-up limit and the limit that the endpoint names applies.
func (a *Allocator) GrantCold(cold []Cold, now time.Time) bool {
	a.dropWarm(cold)
	weights := map[string][]weight{}
	granted := false
	for _, c := range cold {
		l := a.warm[c.Endpoint]
		if l == nil {
			if a.warm == nil {
				a.warm = map[roster.Incarnation]*limit{}
			}
			l = &limit{filledAt: now, credits: map[host.ID]float64{}}
			a.warm[c.Endpoint] = l
		}
		l.scope, l.perSecond = c.Scope, c.PerSecond
		if named := a.limits[c.Endpoint]; named != nil && named.perSecond > 0 {
			l.perSecond = min(l.perSecond, named.perSecond)
		}
		shares, known := weights[c.Scope]
		if !known {
			shares = a.weights(c.Scope, now)
			weights[c.Scope] = shares
		}
		l.fillWarm(now)
		granted = a.handOut(c.Endpoint, l, shares, true) || granted
	}
	return granted
}

// dropWarm drops the buckets of the endpoints that are not cold any more.
func (a *Allocator) dropWarm(cold []Cold) {
	if len(a.warm) == 0 {
		return
	}
	isCold := make(map[roster.Incarnation]bool, len(cold))
	for _, c := range cold {
		isCold[c.Endpoint] = true
	}
	maps.DeleteFunc(a.warm, func(id roster.Incarnation, _ *limit) bool { return !isCold[id] })
}

// fillWarm adds the tokens of the time since the last call. What is more than the bucket holds has been returned and stays.
func (l *limit) fillWarm(now time.Time) {
	if full := 1 + l.perSecond*warmBurstTime.Seconds(); l.tokens < full {
		l.tokens = min(l.tokens+l.perSecond*now.Sub(l.filledAt).Seconds(), full)
	}
	l.filledAt = now
	l.issued = slices.DeleteFunc(l.issued, func(i issue) bool { return i.count == 0 || now.Sub(i.at) >= warmWindow })
	l.issuedCount = 0
	for _, i := range l.issued {
		l.issuedCount += i.count
	}
}

// hasWindowRoom reports whether one more permit keeps the number of those in warmWindow that may be used below the bound.
func (l *limit) hasWindowRoom() bool {
	return float64(l.issuedCount+1) <= l.perSecond*warmWindow.Seconds()+warmWindowSlack
}

// giveWarm adds a permit to those of a gateway that have yet to be sent.
func (a *Allocator) giveWarm(id roster.Incarnation, l *limit, to weight) {
	g := to.g
	if len(g.warm) == 0 {
		g.warm = map[roster.Incarnation]int{}
		g.warmReport = g.report // The permits are at least as old as the oldest among them.
		a.serial++
		g.serial = a.serial
	}
	g.warm[id]++
	l.issued = append(l.issued, issue{l.filledAt, to.id, g.serial, 1})
	l.issuedCount++
}

// takeBack takes back permits that have expired unused, so that they are granted again.
func (a *Allocator) takeBack(from host.ID, unused []message.ColdEndpoint) {
	for _, u := range unused {
		l := a.warm[u.Incarnation()]
		if l == nil {
			continue
		}
		left := u.Permits
		for i := range l.issued {
			if p := &l.issued[i]; p.gateway == from && p.serial == u.Serial && left > 0 {
				returned := min(left, p.count)
				p.count -= returned
				left -= returned
				l.tokens += float64(returned)
			}
		}
	}
}

// TakeCold returns a gateway's permits for cold endpoints, with the number of the report that bounds their age and the serial of the
// grant. Both are 0 if there are none.
func (a *Allocator) TakeCold(to host.ID) (permits []message.ColdEndpoint, report, serial uint64) {
	g := a.gateway(to)
	if len(g.warm) == 0 {
		return nil, 0, 0
	}
	for id, count := range g.warm {
		permits = append(permits, message.ColdEndpoint{Endpoint: id.ID, StartedMs: id.StartedMs, Permits: count})
	}
	slices.SortFunc(permits, func(a, b message.ColdEndpoint) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	clear(g.warm)
	return permits, g.warmReport, g.serial
}
