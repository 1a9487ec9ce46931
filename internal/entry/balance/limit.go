package balance

import (
	"math"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/roster"
)

const (
	// permitTime is how long a permit is valid. Control grants an unused one again, possibly to another gateway.
	permitTime = 1500 * time.Millisecond
	// grantSilence is the time without a message of a control host that grants permits after which the
	// gateway grants itself permits at the recent rate.
	grantSilence = 450 * time.Millisecond
	// grantAverageTime is the time constant of the moving average of the permits that a gateway gets.
	grantAverageTime = 4 * time.Second
	// unknownShare is the part of its equal share that a gateway grants itself if it has never got permits.
	unknownShare = 0.5
	// selfGrantInterval is how often a waiting request is tried while the gateway grants itself permits.
	selfGrantInterval = 50 * time.Millisecond
	// maxLimitRetryAfter bounds the Retry-After of requests for which the limits of endpoints leave no room.
	maxLimitRetryAfter = 10 * time.Second
)

// reasonLimited is the reason of a refusal for the limits of endpoints.
const reasonLimited = "the endpoints' limits leave no room"

// rateLimit is the limit of requests a second that an incarnation of an endpoint has named for all gateways
// together, and this gateway's share of it. The zero value is no limit.
type rateLimit struct {
	perSecond float64
	// told is the limit as of the last change that was reported.
	told float64
	// heardAt is when the limit was last announced, as far as this gateway knows, or when it ended.
	heardAt time.Time
	// unreported says that the limit, from the answer to a request that was sent at sentAt, has yet to be
	// reported to control.
	unreported bool
	sentAt     time.Time
	// permits are those that control has granted, the oldest first. unused counts the expired ones that have yet
	// to be reported to control.
	permits []permits
	unused  int
	// granted is the moving average of the permits a second, as of grantedAt.
	granted   float64
	grantedAt time.Time
	// ownTokens are the permits that the gateway has granted itself, as of ownAt.
	ownTokens float64
	ownAt     time.Time
}

// permits allow a number of requests until a time.
type permits struct {
	count int
	until time.Time
}

// EndpointLimit is the limit that an incarnation of an endpoint has named, 0 for none.
type EndpointLimit struct {
	Endpoint  roster.Incarnation
	PerSecond float64
	HeardAt   time.Time
	// SentAt is when the request of the answer that said so was sent.
	SentAt time.Time
	// Unused counts the permits that have expired since the last report.
	Unused int
}

// HearLimit records the limit in an answer to a request that was sent at sentAt, 0 if the answer names none. An
// answer without a limit ends one only if its request was sent after the limit was last named. It reports whether
// that changes the limit.
func (b *Balancer) HearLimit(id roster.Incarnation, perSecond float64, sentAt, now time.Time) bool {
	t, ok := b.endpoints[id.ID]
	if !ok || t.StartedMs != id.StartedMs {
		return false
	}
	l := &t.limit
	if perSecond == 0 && (l.perSecond == 0 || !sentAt.After(l.heardAt)) {
		return false
	}
	l.heardAt, l.sentAt, l.unreported = now, sentAt, true
	return l.change(perSecond, now)
}

// SetLimit applies a limit that another gateway has reported to control, unless this one has a newer limit, and
// adds permits. It reports whether that changes the limit.
func (b *Balancer) SetLimit(l EndpointLimit, granted int, now time.Time) bool {
	t, ok := b.endpoints[l.Endpoint.ID]
	if !ok || t.StartedMs != l.Endpoint.StartedMs {
		return false
	}
	changed := false
	if l.HeardAt.After(t.limit.heardAt) {
		t.limit.heardAt = l.HeardAt
		changed = t.limit.change(l.PerSecond, now)
	}
	if granted > 0 {
		t.limit.grant(granted, now)
	}
	return changed
}

// SetGranting records a message of a control host that grants permits.
func (b *Balancer) SetGranting(now time.Time) { b.grantingAt = now }

// TakeLimits returns the limits that have been received, and those of which permits have expired, since the last
// call or, with all set, all that are known.
func (b *Balancer) TakeLimits(all bool, now time.Time) []EndpointLimit {
	var out []EndpointLimit
	for _, t := range b.endpoints {
		l := &t.limit
		if l.perSecond == 0 && !l.unreported {
			continue
		}
		l.expire(now)
		if l.unreported || all || l.unused > 0 {
			out = append(out, EndpointLimit{
				Endpoint: t.Incarnation(), PerSecond: l.perSecond, HeardAt: l.heardAt, SentAt: l.sentAt, Unused: l.unused,
			})
			l.unreported, l.unused = false, 0
		}
	}
	return out
}

// expire drops the permits whose time has ended.
func (l *rateLimit) expire(now time.Time) {
	for len(l.permits) > 0 && !now.Before(l.permits[0].until) {
		l.unused += l.permits[0].count
		l.permits = l.permits[1:]
	}
}

// HasLimits reports whether any endpoint has a limit.
func (b *Balancer) HasLimits() bool {
	for _, t := range b.endpoints {
		if t.limit.perSecond > 0 {
			return true
		}
	}
	return false
}

// change sets the limit and reports whether the change must be reported. A new one begins without permits.
func (l *rateLimit) change(perSecond float64, now time.Time) bool {
	if (l.perSecond == 0) != (perSecond == 0) {
		l.permits, l.granted, l.ownTokens, l.ownAt = nil, 0, 0, now
	}
	l.perSecond = perSecond
	if !roster.IsOtherLimit(l.told, perSecond) {
		return false
	}
	l.told = perSecond
	return true
}

// grant adds permits.
func (l *rateLimit) grant(count int, now time.Time) {
	l.granted = l.average(now) + float64(count)/grantAverageTime.Seconds()
	l.grantedAt = now
	l.permits = append(l.permits, permits{count, now.Add(permitTime)})
}

// average returns the moving average of the permits a second.
func (l *rateLimit) average(now time.Time) float64 {
	return l.granted * math.Exp(-now.Sub(l.grantedAt).Seconds()/grantAverageTime.Seconds())
}

// share returns how many requests a second this gateway may expect to send to a limited endpoint.
func (b *Balancer) share(t *endpointState, now time.Time) float64 {
	if b.isCold(t, now) {
		return b.warmShare(t, now)
	}
	l := &t.limit
	if l.granted > 0 {
		return min(l.average(earlier(now, b.grantingAt.Add(grantSilence))), l.perSecond)
	}
	return l.perSecond / float64(max(b.Gateways, 1)) * unknownShare
}

// earlier returns the earlier time.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// grantsItself reports whether the gateway grants itself permits because no message of control has arrived for grantSilence.
func (b *Balancer) grantsItself(now time.Time) bool { return now.Sub(b.grantingAt) > grantSilence }

// isLimited reports whether the endpoint's limit leaves no room for a request of this gateway now.
func (b *Balancer) isLimited(t *endpointState, now time.Time) bool {
	l := &t.limit
	if l.perSecond == 0 {
		return false
	}
	l.expire(now)
	if len(l.permits) > 0 {
		return false
	}
	b.fillOwn(t, now)
	return l.ownTokens < 1
}

// fillOwn adds the permits that the gateway grants itself, at most one in advance.
func (b *Balancer) fillOwn(t *endpointState, now time.Time) {
	l := &t.limit
	since := b.grantingAt.Add(grantSilence)
	if l.ownAt.After(since) {
		since = l.ownAt
	}
	l.ownAt = now
	if !b.grantsItself(now) {
		l.ownTokens = 0
		return
	}
	l.ownTokens = min(1, l.ownTokens+b.share(t, now)*now.Sub(since).Seconds())
}

// usePermit takes the permit for a request that is placed at an endpoint. It returns until when the request may be sent, or zero for
// no bound.
func (b *Balancer) usePermit(t *endpointState, now time.Time) time.Time {
	if b.isCold(t, now) {
		return b.useWarmPermit(t, now)
	}
	t.useLimitPermit()
	return time.Time{}
}

// useLimitPermit takes the permit of a limit that the endpoint has named.
func (t *endpointState) useLimitPermit() {
	l := &t.limit
	switch {
	case l.perSecond == 0:
	case len(l.permits) == 0:
		l.ownTokens = max(0, l.ownTokens-1)
	case l.permits[0].count > 1:
		l.permits[0].count--
	default:
		l.permits = l.permits[1:]
	}
}

// limitedShare returns how many requests a second the limits of the endpoints that serve a request leave to this
// gateway. It returns false if one of them that may get requests has no limit.
func (b *Balancer) limitedShare(req Request, now time.Time) (float64, bool) {
	sum, limited := 0.0, false
	for _, t := range b.serving(req) {
		switch b.exclusion(t, req, now) {
		case ExclusionNone:
			if t.limit.perSecond == 0 && !b.isCold(t, now) {
				return 0, false
			}
			fallthrough
		case ExclusionLimited, ExclusionCold:
			sum += b.share(t, now)
			limited = true
		case ExclusionLeaving, ExclusionBusy, ExclusionBanned, ExclusionSilent, ExclusionEvacuated, ExclusionRegion:
		}
	}
	return sum, limited
}

// waitsInVain reports whether the limits of all endpoints leave no capacity for a request before its wait
// ends, after those that wait already. A resumed stream comes before these.
func (b *Balancer) waitsInVain(req Request, now time.Time) bool {
	share, limited := b.limitedShare(req, now)
	return limited && !req.Resumed && float64(b.waitingFor(req)) > share*req.WaitUntil.Sub(now).Seconds()+1
}

// waitingFor returns the number of requests that wait for the same service and model.
func (b *Balancer) waitingFor(req Request) int {
	waiting := 0
	if r := b.ranked[req.scope()]; r != nil {
		waiting = len(r.waiting)
	}
	for _, w := range b.queue {
		if w.scope() == req.scope() {
			waiting++
		}
	}
	return waiting
}

// limitedReturn returns when a refused request may return, if the limits of the endpoints are the cause.
// Successive refusals get return times at the rate of the limits, so that there is capacity for each.
func (b *Balancer) limitedReturn(req Request, now time.Time) (time.Duration, bool) {
	share, limited := b.limitedShare(req, now)
	if !limited || share <= 0 {
		return 0, false
	}
	if b.promised == nil {
		b.promised = map[string]time.Time{}
	}
	scope := req.Service + "/" + req.Model
	interval := time.Duration(float64(time.Second) / share)
	at := now.Add(minRetryAfter + time.Duration(b.waitingFor(req))*interval)
	if next := b.promised[scope].Add(interval); next.After(at) {
		at = next
	}
	at = earlier(at, now.Add(maxLimitRetryAfter))
	b.promised[scope] = at
	return b.beforeWarmUpEnds(req, at, now).Sub(now), true
}
