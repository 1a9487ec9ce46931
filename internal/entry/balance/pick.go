package balance

import (
	"slices"
	"time"
)

// PassedOver says why an endpoint that serves a request doesn't get it.
type PassedOver uint8

// The reasons for passing over an endpoint.
const (
	// PassedOverNot is an endpoint that may get the request.
	PassedOverNot PassedOver = iota
	// PassedOverTried is an endpoint at which the request has failed.
	PassedOverTried
	// PassedOverExcluded is an endpoint with an Exclusion.
	PassedOverExcluded
	// PassedOverReturning is an endpoint that was busy and gets only a few requests for now.
	PassedOverReturning
	// PassedOverFull is an endpoint without capacity for the request.
	PassedOverFull
	// PassedOverCostlier is an endpoint that may get the request, while another one has a lower cost.
	PassedOverCostlier
	// PassedOverReserved is an endpoint whose room is kept for other requests, which none gets now.
	PassedOverReserved
)

func (p PassedOver) String() string {
	return [...]string{"none", "tried", "excluded", "returning", "no_capacity", "costlier", "reserved"}[p]
}

// assessment holds the inputs of the choice between endpoints.
type assessment struct {
	passed PassedOver
	// exclusion is set with PassedOverExcluded.
	exclusion Exclusion
	// cost is set with PassedOverNot.
	cost float64
}

// assess assesses an endpoint that serves a request.
func (b *Balancer) assess(t *endpointState, req Request, now time.Time) assessment {
	if slices.Contains(req.Exclude, t.ID) {
		return assessment{passed: PassedOverTried}
	}
	if excluded := b.exclusion(t, req, now); excluded != ExclusionNone {
		return assessment{passed: PassedOverExcluded, exclusion: excluded}
	}
	if b.returning(t, now) {
		return assessment{passed: PassedOverReturning}
	}
	if !b.hasCapacity(t, req, now) {
		return assessment{passed: PassedOverFull}
	}
	return assessment{cost: b.cost(t, req, now) + hedgeCost(t, req)}
}

// pick returns the endpoint of the lowest cost that has capacity for a request, if any. avoided is
// the number of endpoints that serve the request and accept none, or no more.
func (b *Balancer) pick(req Request, now time.Time) (best *endpointState, avoided int) {
	var lowest float64
	for _, t := range b.serving(req) {
		a := b.assess(t, req, now)
		switch a.exclusion { //nolint:exhaustive // The other exclusions were not requested by the endpoint.
		case ExclusionLeaving, ExclusionBusy, ExclusionLimited, ExclusionCold:
			avoided++
		}
		if a.passed == PassedOverNot && (best == nil || a.cost < lowest) {
			best, lowest = t, a.cost
		}
	}
	return best, avoided
}

// hasCapacity reports whether an endpoint has capacity for a request. A plain endpoint needs a slot
// or a place in its queue. A model engine must also be likely to give the first event in time, or
// the next event of a resumed stream within maxResumeWait. A request that is late already is
// accepted only where it is unlikely to make others late.
func (b *Balancer) hasCapacity(t *endpointState, req Request, now time.Time) bool {
	if req.Hedge {
		return b.hasRoomForHedge(t, req, now)
	}
	occupied := b.occupied(t, now)
	if req.Model == "" {
		return occupied < float64(t.Slots)*(1+plainQueuePerSlot)
	}
	if occupied >= float64(t.Slots)*maxEngineFill {
		return false
	}
	if req.spareFor > 0 && !b.hasSpareCapacity(t, req.withObjective(req.spareFor), now) {
		return false
	}
	if req.Resumed {
		return b.forecastFirstEvent(t, req, now) < maxResumeWait
	}
	if now.Add(b.forecastFirstEvent(t, b.withCappedPrompt(req), now)).Before(req.ObjectiveDeadline) {
		return true
	}
	return req.isLate(now) && b.hasSpareCapacity(t, req, now)
}

// withCappedPrompt returns the request with its prompt capped at the service's mean length.
// Capacity then depends on what waits at an engine and not on the request's own size, so that small
// requests don't starve large ones.
func (b *Balancer) withCappedPrompt(req Request) Request {
	if service := b.engines[req.Service]; service != nil {
		req.PromptTokens = min(req.PromptTokens, service.MeanPromptTokens)
	}
	return req
}

// withObjective returns the request with another objective.
func (req Request) withObjective(objective time.Duration) Request {
	req.Objective = objective
	return req
}

// isLate reports whether the first event can no longer arrive in time.
func (req Request) isLate(now time.Time) bool {
	return !now.Add(baseLatency).Before(req.ObjectiveDeadline)
}

// hasSpareCapacity reports whether an engine can accept a late request and still give the
// first event of a further request of mean size in time.
func (b *Balancer) hasSpareCapacity(t *endpointState, req Request, now time.Time) bool {
	if b.occupied(t, now) >= float64(t.Slots)*maxFillForLate {
		return false
	}
	both := b.withCappedPrompt(req)
	if service := b.engines[t.Service]; service != nil {
		both.PromptTokens += service.MeanPromptTokens
	}
	return b.forecastFirstEvent(t, both, now) < time.Duration(float64(req.Objective)*spareObjectiveShare)
}

const (
	// maxEngineFill bounds the requests at an engine, as a multiple of its slots. Above 1 a few
	// requests wait there, so that a free slot is used at once.
	maxEngineFill = 1.1
	// maxResumeWait is the longest forecast wait for the next event at which an interrupted
	// stream is resumed at an engine.
	maxResumeWait = 1500 * time.Millisecond
	// maxFillForLate is the share of an engine's slots up to which it accepts late requests.
	maxFillForLate = 0.9
	// spareObjectiveShare is the share of the objective within which an engine that accepts a
	// late request must still give the first event of another request.
	spareObjectiveShare = 0.8
)

// cost ranks endpoints, the lowest first. It is the sum of the load, the error rate, the
// forecast time to the first event at a model engine, and a surcharge for another failure
// domain.
func (b *Balancer) cost(t *endpointState, req Request, now time.Time) float64 {
	cost := b.occupied(t, now)/float64(max(t.Slots, 1)) + errorCost*t.errorRate
	if req.Model != "" {
		cost += float64(b.forecastFirstEvent(t, req, now)) / float64(firstEventCostUnit)
	}
	if t.FailureDomain != b.FailureDomain {
		cost += remoteCost
	}
	return cost
}

// firstEventCostUnit is the time to the first event that costs as much as a full engine. It is
// the usual objective of a route to a model.
const firstEventCostUnit = 400 * time.Millisecond
