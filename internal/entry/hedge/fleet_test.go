package hedge

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// modelFleet is a model of plain endpoints with slots and a queue. Gateways send requests at random times to the endpoint at which the
// fewest run, with Settings.Delay and Decide.
type modelFleet struct {
	settings Settings
	gateways []modelGateway
	slow     func(endpoint int, now time.Duration) float64
	busy     [][]time.Duration
	events   eventQueue
	// latencies are those that callers observed.
	latencies        []time.Duration
	requests, hedges int
	// lateHedges counts those in the second half of the time.
	lateHedges int
	// most is the greatest excess of hedges over the share at any time.
	most float64
}

type modelGateway struct {
	times  Times
	budget Budget
}

// modelSlots is the number of requests that an endpoint serves at once, and modelEndpoints that of endpoints in three failure domains.
const (
	modelSlots     = 8
	modelEndpoints = 12
	modelMean      = 20 * time.Millisecond
	modelLength    = 30 * time.Second
)

// modelEvent is an event of the model at some time.
type modelEvent struct {
	at time.Duration
	do func()
}

type eventQueue []modelEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(modelEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// at schedules an event.
func (m *modelFleet) at(t time.Duration, do func()) { heap.Push(&m.events, modelEvent{t, do}) }

// modelAttempt is a request in a slot of an endpoint.
type modelAttempt struct {
	endpoint, slot int
	from, until    time.Duration
}

// modelRequest is a request of a caller. It has random numbers of its own, so that a request is the same with hedging on and off.
type modelRequest struct {
	gateway *modelGateway
	arrived time.Duration
	rng     *rand.Rand
}

// run returns an attempt that starts now: in the slot that is free first, for a time with a long tail.
func (m *modelFleet) run(r modelRequest, endpoint int, now time.Duration) modelAttempt {
	slots := m.busy[endpoint]
	slot := 0
	for i, free := range slots {
		if free < slots[slot] {
			slot = i
		}
	}
	length := r.rng.ExpFloat64() * float64(modelMean) * m.slow(endpoint, now)
	if r.rng.IntN(50) == 0 {
		length *= 10
	}
	from := max(now, slots[slot])
	slots[slot] = from + time.Duration(length)
	return modelAttempt{endpoint, slot, now, slots[slot]}
}

// cancel frees the slot of an attempt if nothing waits behind it.
func (m *modelFleet) cancel(a modelAttempt, now time.Duration) {
	if slot := &m.busy[a.endpoint][a.slot]; *slot == a.until {
		*slot = now
	}
}

// running returns the number of busy slots, and how long the endpoint takes to free one beyond now.
func (m *modelFleet) running(endpoint int, now time.Duration) float64 {
	busy := 0.0
	for _, free := range m.busy[endpoint] {
		if free > now {
			busy += 1 + math.Log1p(float64(free-now)/float64(time.Second))/100
		}
	}
	return busy
}

// pick returns the endpoint with the fewest requests besides one, and with another domain than that where there is one.
func (m *modelFleet) pick(r modelRequest, now time.Duration, besides int) int {
	best, lowest := -1, math.Inf(1)
	offset := r.rng.IntN(modelEndpoints)
	for i := range modelEndpoints {
		e := (i + offset) % modelEndpoints
		cost := m.running(e, now)
		if besides >= 0 && (e == besides || cost+2 > modelSlots) {
			continue
		}
		if besides >= 0 && e%3 == besides%3 {
			cost += 1000
		}
		if cost < lowest {
			best, lowest = e, cost
		}
	}
	return best
}

// short reports whether requests wait: every slot of every endpoint is busy.
func (m *modelFleet) short(now time.Duration) bool {
	for e := range modelEndpoints {
		if slices.ContainsFunc(m.busy[e], func(free time.Duration) bool { return free <= now }) {
			return false
		}
	}
	return true
}

// send sends a caller's request.
func (m *modelFleet) send(r modelRequest) {
	m.requests++
	r.gateway.budget.AddRequest(m.settings.Share, len(m.gateways))
	first := m.run(r, m.pick(r, r.arrived, -1), r.arrived)
	delay, reason := m.settings.Delay(&r.gateway.times, Attempt{Key: key(first.endpoint), Remaining: 5 * time.Second})
	if reason != ReasonNone || first.until <= r.arrived+delay {
		m.at(first.until, func() { m.answer(r, first) })
		return
	}
	m.at(r.arrived+delay, func() { m.hedge(r, first, delay) })
}

// hedge decides on a hedge of a slow attempt. The first of both answers, and the other one is cancelled.
func (m *modelFleet) hedge(r modelRequest, first modelAttempt, delay time.Duration) {
	now := r.arrived + delay
	other := m.pick(r, now, first.endpoint)
	d := Decide(State{
		Allowed: true, Elapsed: delay, Delay: delay, Short: m.short(now), Budget: r.gateway.budget.Allows(), Room: other >= 0,
	})
	if !d.Now || !r.gateway.budget.Take() {
		m.at(first.until, func() { m.answer(r, first) })
		return
	}
	m.hedges++
	if now > modelLength/2 {
		m.lateHedges++
	}
	m.most = max(m.most, float64(m.hedges)-m.settings.Share*float64(m.requests))
	second := m.run(r, other, now)
	winner, loser := first, second
	if second.until < first.until {
		winner, loser = second, first
	}
	m.at(winner.until, func() {
		m.cancel(loser, winner.until)
		r.gateway.times.ObserveAtLeast(key(loser.endpoint), 0, winner.until-loser.from, base.Add(winner.until))
		m.answer(r, winner)
	})
}

func (m *modelFleet) answer(r modelRequest, a modelAttempt) {
	r.gateway.times.Observe(key(a.endpoint), 0, a.until-a.from, base.Add(a.until))
	m.latencies = append(m.latencies, a.until-r.arrived)
}

// runModel returns the model after a time with a number of requests a second.
func runModel(s Settings, gateways int, seed uint64, perSecond float64, slow func(int, time.Duration) float64) *modelFleet {
	m := &modelFleet{
		settings: s, gateways: make([]modelGateway, gateways), slow: slow,
		busy: make([][]time.Duration, modelEndpoints),
	}
	for e := range m.busy {
		m.busy[e] = make([]time.Duration, modelSlots)
	}
	rng := rand.New(rand.NewPCG(seed, 3))
	for at := time.Duration(0); at < modelLength; at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)) {
		r := modelRequest{&m.gateways[rng.IntN(gateways)], at, rand.New(rand.NewPCG(rng.Uint64(), 4))}
		m.at(at, func() { m.send(r) })
	}
	for m.events.Len() > 0 {
		heap.Pop(&m.events).(modelEvent).do()
	}
	slices.Sort(m.latencies)
	return m
}

// percentile returns the latency that a part of the requests does not exceed.
func (m *modelFleet) percentile(q float64) time.Duration {
	return m.latencies[int(q*float64(len(m.latencies)-1))].Round(time.Millisecond / 10)
}

// TestHedgingInAModelOfAFleet guards against extra requests above the share, against a 99th percentile that hedging makes worse, and
// against hedges that add work while all endpoints are full. It logs the percentiles.
func TestHedgingInAModelOfAFleet(t *testing.T) {
	scenes := []struct {
		name      string
		perSecond float64
		slow      func(endpoint int, now time.Duration) float64
		// full says that the endpoints have no room in the second half of the time.
		full bool
	}{
		{"all good", 1000, func(int, time.Duration) float64 { return 1 }, false},
		{"one slow endpoint", 1000, func(e int, _ time.Duration) float64 { return factor(e == 1, 10) }, false},
		{"a grey domain", 800, func(e int, at time.Duration) float64 { return factor(e%3 == 1 && at > 10*time.Second, 6) }, false},
		{"all slow", 1000, func(_ int, at time.Duration) float64 { return factor(at > 10*time.Second, 3) }, false},
		{"all full", 2000, func(_ int, at time.Duration) float64 { return factor(at > 10*time.Second, 3) }, true},
	}
	for _, gateways := range []int{5, 20, 47} {
		for _, scene := range scenes {
			t.Run(fmt.Sprintf("%s, %d gateways", scene.name, gateways), func(t *testing.T) {
				off := runModel(Settings{}, gateways, 1, scene.perSecond, scene.slow)
				on := runModel(Settings{Share: 0.03}, gateways, 1, scene.perSecond, scene.slow)
				extra := float64(on.hedges) / float64(on.requests)
				t.Logf("off: %v %v %v; on: %v %v %v; extra requests %.4f, %d late", off.percentile(0.5), off.percentile(0.99), off.percentile(0.999),
					on.percentile(0.5), on.percentile(0.99), on.percentile(0.999), extra, on.lateHedges)
				require.Zero(t, off.hedges)
				require.Len(t, on.latencies, on.requests)
				require.LessOrEqual(t, on.most, 0.0, "the share is exceeded")
				if scene.full {
					// The hedges before the overload leave other slots free when it begins, which moves single requests by one response.
					require.Zero(t, on.lateHedges)
					require.LessOrEqual(t, on.percentile(0.99), off.percentile(0.99)+modelMean)
					return
				}
				require.LessOrEqual(t, on.percentile(0.99), off.percentile(0.99))
			})
		}
	}
}

// factor returns the factor by which a request takes longer if the condition holds.
func factor(slow bool, by float64) float64 {
	if slow {
		return by
	}
	return 1
}
