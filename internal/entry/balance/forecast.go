package balance

import (
	"math"
	"time"

	"github.com/egretreach/egretreach/internal/entry/dialect"
	"github.com/egretreach/egretreach/internal/fleet/routes"
)

const (
	// baseLatency is the part of the time to the first event that does not depend on load: the
	// round trip to the endpoint and the first decode step.
	baseLatency = 100 * time.Millisecond
	// slowdownWeight is the weight of the latest measurement in the moving average of an
	// engine's slowdown.
	slowdownWeight = 0.2
	// maxSlowdown and minSlowdown bound an engine's slowdown. It is used for slowdownTTL after
	// its last measurement, so that an engine that gets no requests because of it is tried
	// again.
	maxSlowdown = 4.0
	minSlowdown = 0.5
	slowdownTTL = 1500 * time.Millisecond
)

// forecast estimates the time to the first event of a request at an engine with promptTokens
// to prefill, those of the request included. The engine prefills in chunks, and between two
// chunks it runs a round of decode steps for the decoding requests.
func forecast(e *routes.Engine, m routes.Model, decoding int, promptTokens int) time.Duration {
	if e == nil || e.PrefillRate <= 0 || e.PrefillChunk <= 0 {
		return baseLatency
	}
	timeFactor := m.TimeFactor
	if timeFactor <= 0 {
		timeFactor = 1
	}
	chunks := math.Ceil(float64(promptTokens) / float64(e.PrefillChunk))
	prefill := float64(promptTokens) / e.PrefillRate * float64(time.Second)
	decodeRound := 0.0
	if decoding > 0 {
		decodeRound = float64(e.StepsPerRound) * float64(e.StepTime+time.Duration(decoding)*e.StepTimePerRequest)
	}
	return baseLatency + time.Duration((prefill+chunks*decodeRound)*timeFactor)
}

// maxDecodingShare is the greatest share of an engine's slots that decode at the same time.
const maxDecodingShare = 0.9

// EngineTime returns the time that a busy engine spends on requests of a total size: the
// prefill of their prompts and their share of the decode steps. The number of requests that
// decode at the same time follows from the mix, since in each round an engine prefills one
// chunk and each decoding request takes StepsPerRound steps.
func EngineTime(e *routes.Engine, model string, total dialect.Usage) time.Duration {
	m, ok := e.Model(model)
	if !ok || e.PrefillRate <= 0 || e.Slots <= 0 {
		return 0
	}
	decoding := float64(e.Slots) * maxDecodingShare
	if total.PromptTokens > 0 && e.StepsPerRound > 0 {
		decoding = min(decoding, float64(e.PrefillChunk)*float64(total.MaxOutputTokens)/(float64(total.PromptTokens)*float64(e.StepsPerRound)))
	}
	decoding = max(decoding, 1)
	stepTime := (float64(e.StepTime) + decoding*float64(e.StepTimePerRequest)) / decoding
	prefill := float64(total.PromptTokens) / e.PrefillRate * float64(time.Second)
	return time.Duration((prefill + float64(total.MaxOutputTokens)*stepTime) * m.TimeFactor)
}

// forecastFirstEvent forecasts the time to the first event of one more request at an endpoint,
// corrected by the endpoint's measured slowdown. Without a recent load report it assumes that
// each gateway has as many requests there as this one.
func (b *Balancer) forecastFirstEvent(t *endpointState, req Request, now time.Time) time.Duration {
	service := b.engines[t.Service]
	model, _ := service.Model(t.Model)
	decoding, promptTokens := t.streaming, t.pendingPromptTokens
	if source, _ := t.loadSource(now); source == LoadFromEndpoint {
		decoding = max(decoding, t.load.Running)
		ownWaiting := t.inflight - t.streaming
		if othersWaiting := t.load.Waiting - ownWaiting; othersWaiting > 0 && service != nil {
			promptTokens += othersWaiting * service.MeanPromptTokens
		}
	} else if b.Gateways > 1 {
		decoding, promptTokens = decoding*b.Gateways, promptTokens*b.Gateways
	}
	expected := forecast(service, model, decoding, promptTokens+req.PromptTokens) + slotWait(service, model, b.occupied(t, now))
	return time.Duration(float64(expected) * t.currentSlowdown(now))
}

// slotWait estimates how long a request waits for a slot of an engine that holds occupied
// requests.
func slotWait(e *routes.Engine, m routes.Model, occupied float64) time.Duration {
	if e == nil || e.Slots <= 0 || occupied < float64(e.Slots) {
		return 0
	}
	perRequest := float64(e.MeanOutputTokens) * float64(e.StepTime+time.Duration(e.Slots)*e.StepTimePerRequest) * max(m.TimeFactor, minSlowdown)
	return time.Duration((occupied - float64(e.Slots) + 1) * perRequest / float64(e.Slots))
}

// currentSlowdown returns the endpoint's slowdown, or 1 if it was not measured within
// slowdownTTL.
func (t *endpointState) currentSlowdown(now time.Time) float64 {
	if t.slowdown == 0 || now.Sub(t.slowdownAt) > slowdownTTL {
		return 1
	}
	return t.slowdown
}

// updateSlowdown updates the endpoint's slowdown by a measured time to the first event. The first measurements of a cold endpoint,
// which is slower than before, get more weight: their mean is used.
func (t *endpointState) updateSlowdown(forecast, measured time.Duration, cold bool, now time.Time) {
	if forecast <= 0 {
		return
	}
	slowdown := t.currentSlowdown(now)
	measuredSlowdown := min(maxSlowdown, max(minSlowdown, slowdown*float64(measured)/float64(forecast)))
	weight := slowdownWeight
	if cold {
		t.warm.measured++
		weight = max(weight, 1/float64(t.warm.measured))
	}
	t.slowdown, t.slowdownAt = slowdown+(measuredSlowdown-slowdown)*weight, now
}
