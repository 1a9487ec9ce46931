package balance

import "time"

const (
	// shortTime is how long after a refusal a service and model count as short of capacity. Refused callers return after about that
	// time.
	shortTime = time.Second
	// sameDomainCost is the cost of an endpoint in the failure domain of the first attempt. It is above all other costs.
	sameDomainCost = 1e6
)

// Short reports whether requests for the service and model of a request wait now, or were refused within shortTime.
func (b *Balancer) Short(req Request, now time.Time) bool {
	at, refused := b.refusedAt[req.scope()]
	return refused && now.Sub(at) < shortTime || b.waitingFor(req) > 0
}

// HasRoomForHedge reports whether Submit places a hedge.
func (b *Balancer) HasRoomForHedge(req Request, now time.Time) bool {
	t, _ := b.pick(req, now)
	return t != nil
}

// recordRefusal records that a caller's request was refused. Callers choose the model, so only what endpoints serve is recorded.
func (b *Balancer) recordRefusal(req Request, now time.Time) {
	if req.Hedge || len(b.serving(req)) == 0 {
		return
	}
	if b.refusedAt == nil {
		b.refusedAt = map[scope]time.Time{}
	}
	b.refusedAt[req.scope()] = now
}

// hasRoomForHedge reports whether an endpoint can take a hedge and a further request of mean size at once. A cold endpoint has no room:
// its permits are for callers' first attempts.
func (b *Balancer) hasRoomForHedge(t *endpointState, req Request, now time.Time) bool {
	if b.isCold(t, now) {
		return false
	}
	if req.Model == "" {
		return b.occupied(t, now)+2 <= float64(t.Slots)
	}
	return b.hasSpareCapacity(t, req, now)
}

// hedgeCost is the additional cost of an endpoint for a hedge.
func hedgeCost(t *endpointState, req Request) float64 {
	if req.Hedge && t.FailureDomain == req.AvoidDomain {
		return sameDomainCost
	}
	return 0
}
