package balance

import (
	"math"
	"time"

	"github.com/egretreach/egretreach/internal/entry/dialect"
	"github.com/egretreach/egretreach/internal/fleet/routes"
)

const (
	// overhead is the part of the time to the first event that does not depend on load:
	// the way there and back and the first step.
	overhead = 100 * time.Millisecond
	// learnWeight is the weight of one more measured time to the first event.
	learnWeight = 0.2
	// slowest and fastest bound what is learned of an engine's speed, which counts for
	// speedLife: an engine that is avoided for it must get another chance.
	slowest   = 4.0
	fastest   = 0.5
	speedLife = 1500 * time.Millisecond
)

// forecast estimates how long a prompt takes to its first event at an engine. The engine
// reads prompts in chunks, and between two chunks it takes a round of token steps for the
// requests that are writing.
func forecast(e *routes.Engine, m routes.Model, writing int, unread int) time.Duration {
	if e == nil || e.ReadRate <= 0 || e.Chunk <= 0 {
		return overhead
	}
	pace := m.Pace
	if pace <= 0 {
		pace = 1
	}
	chunks := math.Ceil(float64(unread) / float64(e.Chunk))
	reading := float64(unread) / e.ReadRate * float64(time.Second)
	round := 0.0
	if writing > 0 {
		round = float64(e.Stride) * float64(e.Step+time.Duration(writing)*e.StepEach)
	}
	return overhead + time.Duration((reading+chunks*round)*pace)
}

// fullShare is the share of its slots that an engine keeps writing at most.
const fullShare = 0.9

// Work is the time that a busy engine spends on some requests, given the sum of their
// sizes: on reading their prompts, and their part of the token steps. How many write at the
// same time follows from the mix: in a round an engine reads one chunk and each writer
// takes a stride of steps.
func Work(e *routes.Engine, model string, sum dialect.Usage) time.Duration {
	m, ok := e.Model(model)
	if !ok || e.ReadRate <= 0 || e.Slots <= 0 {
		return 0
	}
	writing := float64(e.Slots) * fullShare
	if sum.Prompt > 0 && e.Stride > 0 {
		writing = min(writing, float64(e.Chunk)*float64(sum.Answer)/(float64(sum.Prompt)*float64(e.Stride)))
	}
	writing = max(writing, 1)
	step := (float64(e.Step) + writing*float64(e.StepEach)) / writing
	reading := float64(sum.Prompt) / e.ReadRate * float64(time.Second)
	return time.Duration((reading + float64(sum.Answer)*step) * m.Pace)
}

// firstEvent is the forecast for one more request at an endpoint, corrected by what has
// been measured there.
func (b *Board) firstEvent(t *target, n Need, now time.Time) time.Duration {
	service := b.engines[t.Service]
	model, _ := service.Model(t.Model)
	writing, unread := t.streaming, t.unread
	if now.Sub(t.loadAt) <= loadLife {
		writing = max(writing, t.load.Running)
		own := t.inflight - t.streaming
		if others := t.load.Waiting - own; others > 0 && service != nil {
			unread += others * service.UsualPrompt
		}
	} else if b.Gateways > 1 {
		writing, unread = writing*b.Gateways, unread*b.Gateways
	}
	expected := forecast(service, model, writing, unread+n.Prompt) + slotWait(service, model, b.occupied(t, now))
	return time.Duration(float64(expected) * t.speed(now))
}

// slotWait estimates how long a request waits for a slot where occupied requests are.
func slotWait(e *routes.Engine, m routes.Model, occupied float64) time.Duration {
	if e == nil || e.Slots <= 0 || occupied < float64(e.Slots) {
		return 0
	}
	each := float64(e.UsualAnswer) * float64(e.Step+time.Duration(e.Slots)*e.StepEach) * max(m.Pace, fastest)
	return time.Duration((occupied - float64(e.Slots) + 1) * each / float64(e.Slots))
}

// speed is how many times as long as forecast the engine has taken lately.
func (t *target) speed(now time.Time) float64 {
	if t.slow == 0 || now.Sub(t.learned) > speedLife {
		return 1
	}
	return t.slow
}

// learn takes in a measured time to the first event.
func (t *target) learn(forecast, measured time.Duration, now time.Time) {
	if forecast <= 0 {
		return
	}
	speed := t.speed(now)
	ratio := min(slowest, max(fastest, speed*float64(measured)/float64(forecast)))
	t.slow, t.learned = speed+(ratio-speed)*learnWeight, now
}
