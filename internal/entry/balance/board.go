// Package balance decides where a gateway sends a request, and whether it waits or is
// refused when there is no room.
//
// The board is pure: what the gateway sees of endpoints goes in with the time, and
// decisions come out. It is not safe for concurrent use.
package balance

import (
	"maps"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/entry/dialect"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/fleet/routes"
)

const (
	// loadLife is how long an endpoint's word on its load counts.
	loadLife = time.Second
	// plainQueue is how many requests may wait at a plain endpoint for each of its slots:
	// one, so that a slot never idles.
	plainQueue = 1.0
	// stalledSilence is the silence of a head with streams under way after which it counts
	// as standing still: several rounds of its token steps.
	stalledSilence = 300 * time.Millisecond
	// penaltyFirst and penaltyMost bound how long an endpoint that failed is left alone.
	penaltyFirst = 400 * time.Millisecond
	penaltyMost  = 5 * time.Second
	// errorWeight is the weight of one more outcome in the share of failures.
	errorWeight = 0.15
	// errorCost is how much a share of failures adds to an endpoint's load, in full loads.
	errorCost = 4.0
	// remoteCost is what another failure domain adds to an endpoint's load.
	remoteCost = 0.05
)

// target is one endpoint as this gateway sees it.
type target struct {
	roster.Endpoint
	// inflight counts this gateway's requests there; streaming those of them that have
	// had their first event.
	inflight  int
	streaming int
	// load is what the endpoint last said, at loadAt; since is what this gateway has
	// sent there, less what ended, from then on.
	load   dialect.Load
	loadAt time.Time
	since  int
	// unread is the prompt tokens of requests that wait for their first event.
	unread int
	// heard is when the last byte came.
	heard time.Time
	// awaited is when the oldest request without a byte since began to wait.
	awaited time.Time
	// failures in a row, and until when the endpoint is left alone for them.
	failures int
	banned   time.Time
	// errors is the share of answers that were failures.
	errors  float64
	refuses bool
	// slow is how many times as long as forecast first events take, 0 if not known.
	slow float64
	// learned is when that was last measured.
	learned time.Time
}

// Board is what a gateway knows of all endpoints. The zero value is empty.
type Board struct {
	// Zone is the gateway's failure domain.
	Zone string
	// Gateways is how many gateways share the endpoints, as far as known.
	Gateways int

	targets map[string]*target
	queue   []*Waiter
	// engines describes the model engines of each service.
	engines map[string]*routes.Engine
}

// Describe takes in the services that operators have configured.
func (b *Board) Describe(services []routes.Service) {
	b.engines = map[string]*routes.Engine{}
	for _, s := range services {
		b.engines[s.Name] = s.Engine
	}
}

// Update takes in announcements.
func (b *Board) Update(endpoints []roster.Endpoint) {
	if b.targets == nil {
		b.targets = map[string]*target{}
	}
	for _, e := range endpoints {
		t, known := b.targets[e.ID]
		if !known || t.Born != e.Born {
			fresh := &target{Endpoint: e}
			if known {
				fresh.inflight = t.inflight
			}
			b.targets[e.ID] = fresh
			continue
		}
		t.Endpoint = e
	}
}

// Forget drops endpoints that are gone for good.
func (b *Board) Forget(ids []string) {
	for _, id := range ids {
		delete(b.targets, id)
	}
}

// Sent counts a request that goes to an endpoint.
func (b *Board) Sent(id string, n Need, now time.Time) {
	t, ok := b.targets[id]
	if !ok {
		return
	}
	if t.inflight == 0 || t.awaited.IsZero() {
		t.awaited = now
	}
	t.inflight++
	t.since++
	t.unread += n.Prompt
}

// Heard takes note of bytes from an endpoint.
func (b *Board) Heard(id string, now time.Time) {
	if t, ok := b.targets[id]; ok {
		t.heard = now
		t.refuses = false
	}
}

// First takes note of a request's first event. forecast is Decision.Forecast of its
// placement, and measured how long it took.
func (b *Board) First(id string, n Need, forecast, measured time.Duration, now time.Time) {
	if t, ok := b.targets[id]; ok {
		t.learn(forecast, measured, now)
		t.streaming++
		t.unread = max(0, t.unread-n.Prompt)
		t.heard = now
	}
}

// Loaded takes in what an endpoint says of its load.
func (b *Board) Loaded(id string, load dialect.Load, now time.Time) {
	if t, ok := b.targets[id]; ok {
		t.load, t.loadAt, t.since = load, now, 0
	}
}

// Result is how a request at an endpoint ended.
type Result uint8

// The ways in which a request ends at an endpoint.
const (
	// ResultGood is a whole answer.
	ResultGood Result = iota + 1
	// ResultFailure is an answer that says the endpoint failed.
	ResultFailure
	// ResultFull is an endpoint that had no room.
	ResultFull
	// ResultBroken is an answer that was cut off, or bytes that are none.
	ResultBroken
	// ResultUnreachable is an endpoint that could not be reached.
	ResultUnreachable
	// ResultRefused is an address at which nobody listens.
	ResultRefused
	// ResultStranger is an address at which another endpoint answers.
	ResultStranger
	// ResultLeft is a request whose caller left, or that was given up; it says nothing.
	ResultLeft
	// ResultStalled is an endpoint that stood still.
	ResultStalled
)

// Ended takes note of a request's end. streamed says that it had its first event.
func (b *Board) Ended(id string, n Need, streamed bool, r Result, now time.Time) {
	t, ok := b.targets[id]
	if !ok {
		return
	}
	t.inflight = max(0, t.inflight-1)
	t.since--
	if streamed {
		t.streaming = max(0, t.streaming-1)
	} else {
		t.unread = max(0, t.unread-n.Prompt)
	}
	t.awaited = now
	t.judge(r, now)
}

func (t *target) judge(r Result, now time.Time) {
	switch r {
	case ResultGood:
		t.failures = 0
		t.errors -= t.errors * errorWeight
	case ResultFailure, ResultBroken:
		t.errors += (1 - t.errors) * errorWeight
	case ResultFull:
		t.load.Waiting, t.loadAt, t.since = max(t.load.Waiting, t.Slots), now, 0
		t.load.Running = max(t.load.Running, t.Slots)
	case ResultRefused, ResultStranger:
		t.refuses = r == ResultRefused
		t.ban(now)
	case ResultUnreachable, ResultStalled:
		t.ban(now)
	case ResultLeft:
	}
}

func (t *target) ban(now time.Time) {
	t.failures++
	wait := min(penaltyMost, penaltyFirst<<min(t.failures-1, 5))
	t.banned = now.Add(wait)
}

// stalled reports whether an endpoint with streams under way stands still.
func (t *target) stalled(now time.Time) bool {
	return t.streaming > 0 && now.Sub(t.heard) > stalledSilence
}

// Stalled reports whether the endpoint stands still, and how long nothing came from it.
func (b *Board) Stalled(id string, now time.Time) (time.Duration, bool) {
	t, ok := b.targets[id]
	if !ok {
		return 0, false
	}
	return now.Sub(t.heard), t.stalled(now)
}

// Gone reports whether the endpoint is known to have ended or to be another.
func (b *Board) Gone(id string) bool {
	t, ok := b.targets[id]
	return !ok || t.State == roster.StateLeft || t.refuses
}

// occupied estimates how many requests of all gateways are at the endpoint.
func (b *Board) occupied(t *target, now time.Time) float64 {
	own := float64(t.inflight)
	if now.Sub(t.loadAt) > loadLife {
		return own * float64(max(b.Gateways, 1))
	}
	return max(own, float64(t.load.Running+t.load.Waiting+t.since))
}

// Sight is what the gateway has seen of one head.
type Sight struct {
	ID string
	// Waiting counts requests under way there.
	Waiting int
	Silence time.Duration
}

// Sights returns what is seen of the endpoints with requests under way.
func (b *Board) Sights(now time.Time) []Sight {
	var all []Sight
	for _, id := range slices.Sorted(maps.Keys(b.targets)) {
		t := b.targets[id]
		if t.Engine && t.inflight > 0 {
			since := t.heard
			if t.awaited.After(since) && t.streaming == 0 {
				since = t.awaited
			}
			all = append(all, Sight{ID: id, Waiting: t.inflight, Silence: now.Sub(since)})
		}
	}
	return all
}

// lostBan is how long an endpoint is left alone that control takes for dead.
const lostBan = time.Second

// Lost takes in which endpoints control takes for dead. One that this gateway has just
// heard of is not left alone: it may be cut off from control only.
func (b *Board) Lost(ids []string, now time.Time) {
	for _, id := range ids {
		t, ok := b.targets[id]
		if ok && now.Sub(t.heard) > lostBan && now.Add(lostBan).After(t.banned) {
			t.banned = now.Add(lostBan)
		}
	}
}
