package balance

import (
	"hash/fnv"
	"math"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/fleet/routes"
)

// The bound of a warm-up limit is 1.5 times the limit and five requests in any second, from all gateways. docs/design/warm_up.md
// derives these values from it.
const (
	// WarmPermitTime is how long a permit of a cold endpoint is valid after it was granted.
	WarmPermitTime = 300 * time.Millisecond
	// warmSelfShare is the part of a warm-up limit that all gateways together grant themselves while control grants nothing.
	warmSelfShare = 0.2
	// warmAverageTime is the time constant of the moving average of the permits that a gateway gets for a cold endpoint.
	warmAverageTime = time.Second
	// gatewayMemory is how long the greatest known number of gateways counts. The gateways connect to a new leader one after the
	// other.
	gatewayMemory = time.Minute
	// coldChange is the minimum change of the end of a cold time, by the endpoint's own response, that is reported.
	coldChange = 500 * time.Millisecond
)

// warmUp is the warm-up of an incarnation of an endpoint, as far as this gateway knows. The zero value is a warm endpoint.
type warmUp struct {
	// ownUntil is the end of the cold time by the gateway's own observations, ownSince its beginning, and controlUntil the end according
	// to control.
	ownUntil, ownSince, controlUntil time.Time
	// unreported says that ownUntil has yet to be reported to control.
	unreported bool
	// failing says that the last attempt to connect has failed.
	failing bool
	// permits are those that control has granted, the oldest first. granted is the moving average of the permits a second, as of grantedAt.
	permits   []warmPermits
	granted   float64
	grantedAt time.Time
	// unused are the expired ones that have yet to be reported to control.
	unused []warmPermits
	// ownSlot and ownSlotSince identify the last permit that the gateway granted itself, which it used at ownUsedAt.
	ownSlot                 int64
	ownSlotSince, ownUsedAt time.Time
	// measured counts the times to a first event that were measured in this cold time.
	measured int
}

// warmPermits allow a number of requests until a time. They belong to a grant of the control host.
type warmPermits struct {
	serial uint64
	count  int
	until  time.Time
}

func (w *warmUp) until() time.Time {
	if w.ownUntil.After(w.controlUntil) {
		return w.ownUntil
	}
	return w.controlUntil
}

// ColdEndpoint is an incarnation of an endpoint that is cold for some time.
type ColdEndpoint struct {
	Endpoint  roster.Incarnation
	Remaining time.Duration
}

// ColdGrant is a number of permits for a cold endpoint in a grant of the control host. Age is how old it is at most.
type ColdGrant struct {
	Serial  uint64
	Permits int
	Age     time.Duration
}

// UnusedGrant is a number of permits of a grant that have expired unused.
type UnusedGrant struct {
	Endpoint roster.Incarnation
	Serial   uint64
	Permits  int
}

// setWarmUps replaces the warm-up limits of the services. It is nil if there are none.
func (b *Balancer) setWarmUps(services []routes.Service) {
	b.warmUps = nil
	for _, s := range services {
		if !s.WarmUp.IsSet() {
			continue
		}
		if b.warmUps == nil {
			b.warmUps = map[string]routes.WarmUp{}
		}
		b.warmUps[s.Name] = s.WarmUp
	}
}

// HasWarmUps reports whether any service has a warm-up limit.
func (b *Balancer) HasWarmUps() bool { return len(b.warmUps) > 0 }

// isCold reports whether an endpoint is cold and its service has a warm-up limit.
func (b *Balancer) isCold(t *endpointState, now time.Time) bool {
	return len(b.warmUps) > 0 && now.Before(t.warm.until()) && b.warmUps[t.Service].IsSet()
}

// warmRate returns the requests a second that a cold endpoint takes from all gateways: the smaller one of its limits.
func (b *Balancer) warmRate(t *endpointState) float64 {
	rate := b.warmUps[t.Service].PerSecond
	if t.limit.perSecond > 0 {
		rate = min(rate, t.limit.perSecond)
	}
	return rate
}

// assumeCold makes an endpoint cold until a time at least, by the gateway's own observations.
func (b *Balancer) assumeCold(t *endpointState, until, now time.Time) {
	w := &t.warm
	if !b.warmUps[t.Service].IsSet() || !until.After(w.ownUntil) {
		return
	}
	if !now.Before(w.until()) {
		w.begin(now)
	}
	if until.Sub(w.ownUntil) > coldChange {
		w.unreported = true
	}
	w.ownUntil = until
}

// begin begins a new cold time without permits.
func (w *warmUp) begin(now time.Time) {
	w.permits, w.granted, w.ownSince, w.measured = nil, 0, now, 0
}

// AssumeCold makes a new incarnation cold for its service's warm-up time from now. The gateway calls it for an incarnation that first
// appears while it is subscribed, unless control sends its remaining cold time.
func (b *Balancer) AssumeCold(id roster.Incarnation, now time.Time) {
	if t, ok := b.endpoints[id.ID]; ok && t.StartedMs == id.StartedMs {
		b.assumeCold(t, now.Add(b.warmUps[t.Service].Time), now)
	}
}

// markDomainCold makes the endpoints of a failure domain cold whose services have a warm-up limit, for its time from now. Control does the
// same when an evacuation is withdrawn, so nothing is reported.
func (b *Balancer) markDomainCold(domain string, now time.Time) {
	for _, t := range b.endpoints {
		if t.FailureDomain == domain {
			b.assumeCold(t, now.Add(b.warmUps[t.Service].Time), now)
			t.warm.unreported = false
		}
	}
}

// HearCold records the remaining cold time in a response of an incarnation. It reports whether that is a change.
func (b *Balancer) HearCold(id roster.Incarnation, remaining time.Duration, now time.Time) bool {
	t, ok := b.endpoints[id.ID]
	if !ok || t.StartedMs != id.StartedMs || !b.warmUps[t.Service].IsSet() || now.Add(remaining).Sub(later(now, t.warm.until())) <= coldChange {
		return false
	}
	b.assumeCold(t, now.Add(remaining), now)
	return true
}

// connectFailed records that no connection to the endpoint could be opened. It may have ended, and is cold if it returns.
func (b *Balancer) connectFailed(t *endpointState, now time.Time) {
	if w := b.warmUps[t.Service]; w.IsSet() {
		t.warm.failing = true
		b.assumeCold(t, later(now, t.bannedUntil).Add(w.Time), now)
	}
}

// MarkEnded records that nothing listens at the address of an incarnation any more. It is cold if it returns.
func (b *Balancer) MarkEnded(id roster.Incarnation, now time.Time) {
	if t, ok := b.endpoints[id.ID]; ok && t.StartedMs == id.StartedMs {
		b.connectFailed(t, now)
	}
}

// connected records that the endpoint has responded.
func (b *Balancer) connected(t *endpointState, now time.Time) {
	if t.warm.failing {
		t.warm.failing = false
		b.assumeCold(t, now.Add(b.warmUps[t.Service].Time), now)
	}
}

// SetCold applies the cold time and the permits that control sends for an endpoint. It reports whether the endpoint is newly cold.
func (b *Balancer) SetCold(c ColdEndpoint, grant ColdGrant, now time.Time) bool {
	t, ok := b.endpoints[c.Endpoint.ID]
	if !ok || t.StartedMs != c.Endpoint.StartedMs || !b.warmUps[t.Service].IsSet() {
		return false
	}
	w := &t.warm
	began := !now.Before(w.until())
	if began {
		w.begin(now)
	}
	w.controlUntil = now.Add(c.Remaining)
	if grant.Permits > 0 {
		w.granted = w.average(now) + float64(grant.Permits)/warmAverageTime.Seconds()
		w.grantedAt = now
		w.permits = append(w.permits, warmPermits{grant.Serial, grant.Permits, now.Add(WarmPermitTime - grant.Age)})
	}
	return began
}

// KeepCold ends the cold times that control no longer lists. Those that the gateway has found itself stay.
func (b *Balancer) KeepCold(named map[string]bool) {
	for id, t := range b.endpoints {
		if !named[id] {
			t.warm.controlUntil = time.Time{}
		}
	}
}

// DropColdPermits drops the permits for cold endpoints. The gateway calls it after a suspension of the host, during which the clock
// that bounds the permits was stopped.
func (b *Balancer) DropColdPermits() {
	for _, t := range b.endpoints {
		t.warm.permits = nil
	}
}

// ForgetGrants drops the records of the grants so far, which must not be reported to another control host. The permits stay valid.
func (b *Balancer) ForgetGrants() {
	for _, t := range b.endpoints {
		t.warm.unused = nil
		for i := range t.warm.permits {
			t.warm.permits[i].serial = 0
		}
	}
}

// TakeUnused returns the permits for cold endpoints that have expired unused since the last call.
func (b *Balancer) TakeUnused(now time.Time) []UnusedGrant {
	if len(b.warmUps) == 0 {
		return nil
	}
	var out []UnusedGrant
	for _, t := range b.endpoints {
		t.warm.expire(now)
		for _, p := range t.warm.unused {
			out = append(out, UnusedGrant{t.Incarnation(), p.serial, p.count})
		}
		t.warm.unused = nil
	}
	return out
}

// SetGateways records how many gateways share the endpoints.
func (b *Balancer) SetGateways(count int, now time.Time) {
	b.Gateways = count
	if count >= b.mostGateways || now.Sub(b.mostGatewaysAt) > gatewayMemory {
		b.mostGateways, b.mostGatewaysAt = count, now
	}
}

// TakeCold returns the endpoints that the gateway has found to be cold since the last call or, with all set, all that it considers
// cold.
func (b *Balancer) TakeCold(all bool, now time.Time) []ColdEndpoint {
	if len(b.warmUps) == 0 {
		return nil
	}
	var out []ColdEndpoint
	for _, t := range b.endpoints {
		until := t.warm.ownUntil
		if all {
			until = t.warm.until()
		}
		if remaining := until.Sub(now); remaining > 0 && (all || t.warm.unreported) {
			out = append(out, ColdEndpoint{t.Incarnation(), remaining})
		}
		t.warm.unreported = false
	}
	return out
}

// average returns the moving average of the permits a second.
func (w *warmUp) average(now time.Time) float64 {
	return w.granted * math.Exp(-now.Sub(w.grantedAt).Seconds()/warmAverageTime.Seconds())
}

// warmShare returns how many requests a second this gateway may expect to send to a cold endpoint.
func (b *Balancer) warmShare(t *endpointState, now time.Time) float64 {
	rate := b.warmRate(t)
	if b.grantsItself(now) {
		return rate * warmSelfShare / float64(b.sharers())
	}
	return min(rate, max(t.warm.average(now), rate*unknownShare/float64(b.sharers())))
}

// sharers returns the greatest number of gateways that was known within gatewayMemory.
func (b *Balancer) sharers() int { return max(b.Gateways, b.mostGateways, 1) }

// isColdAndUsedUp reports whether the warm-up limit of an endpoint leaves no room for a request of this gateway now.
func (b *Balancer) isColdAndUsedUp(t *endpointState, now time.Time) bool {
	if !b.isCold(t, now) {
		return false
	}
	t.warm.expire(now)
	if len(t.warm.permits) > 0 {
		return false
	}
	_, _, ok := b.ownWarmPermit(t, now)
	return !ok
}

// expire drops the permits whose time has ended. Those that arrived later may end earlier.
func (w *warmUp) expire(now time.Time) {
	kept := w.permits[:0]
	for _, p := range w.permits {
		if now.Before(p.until) {
			kept = append(kept, p)
		} else if p.serial > 0 {
			w.unused = append(w.unused, p)
		}
	}
	w.permits = kept
}

// ownWarmPermit returns the permit that the gateway may grant itself now: it has one in each interval, at a time that differs between
// gateways, and can't save it up. It has none while control grants permits, unless control hasn't said that the endpoint is cold.
func (b *Balancer) ownWarmPermit(t *endpointState, now time.Time) (slot int64, since time.Time, ok bool) {
	w := &t.warm
	since = w.ownSince
	if !b.grantsItself(now) && now.Before(w.controlUntil) {
		return 0, since, false
	}
	if silentSince := b.grantingAt.Add(grantSilence); b.grantsItself(now) && silentSince.After(since) {
		since = silentSince
	}
	interval := float64(b.sharers()) / (b.warmRate(t) * warmSelfShare)
	elapsed := now.Sub(since).Seconds()/interval - b.phase(t)
	slot = int64(math.Floor(elapsed))
	if slot < 0 || (elapsed-float64(slot))*interval >= WarmPermitTime.Seconds() {
		return 0, since, false
	}
	used := slot == w.ownSlot && since.Equal(w.ownSlotSince) || now.Sub(w.ownUsedAt).Seconds() < interval/2
	return slot, since, !used
}

// phase returns the part of an interval by which the gateway's own permits for an endpoint are late, so that those of different gateways
// are spread over the interval.
func (b *Balancer) phase(t *endpointState) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(t.ID))
	_, fraction := math.Modf(b.Phase + float64(h.Sum32())/math.MaxUint32)
	return fraction
}

// useWarmPermit takes the permit for a request that is placed at a cold endpoint, and returns until when it may be sent.
func (b *Balancer) useWarmPermit(t *endpointState, now time.Time) time.Time {
	w := &t.warm
	if len(w.permits) == 0 {
		w.ownSlot, w.ownSlotSince, _ = b.ownWarmPermit(t, now)
		w.ownUsedAt = now
		return now.Add(WarmPermitTime)
	}
	until := w.permits[0].until
	if w.permits[0].count--; w.permits[0].count == 0 {
		w.permits = w.permits[1:]
	}
	return until
}

// warmRateFactor is the factor by which the return rate of refused requests increases once the first cold endpoint is warm.
const warmRateFactor = 8

// beforeWarmUpEnds returns when a request may return whose return time by the limits is given. The return rate is higher once the
// first endpoint without another limit is warm.
func (b *Balancer) beforeWarmUpEnds(req Request, at, now time.Time) time.Time {
	if len(b.warmUps) == 0 {
		return at
	}
	end := at
	for _, t := range b.serving(req) {
		if b.isCold(t, now) && t.limit.perSecond == 0 {
			end = earlier(end, t.warm.until())
		}
	}
	return end.Add(at.Sub(end) / warmRateFactor)
}

// countCold returns the number of endpoints that serve a request and whose warm-up limit is used up.
func (b *Balancer) countCold(req Request, now time.Time) int {
	if len(b.warmUps) == 0 {
		return 0
	}
	count := 0
	for _, t := range b.serving(req) {
		if b.exclusion(t, req, now) == ExclusionCold {
			count++
		}
	}
	return count
}

// later returns the later time.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
