package admission

import (
	"cmp"
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/fleet/team"
)

var seeds = flag.Uint64("seeds", 2, "number of seeds of the measurement")

// The model: slots that each hold a request for its true work, which the estimated
// cost tells only roughly; an answer counts if it ends by the deadline.
const (
	modelSlots    = 64
	secondsPerTok = 0.02
	meanTokens    = 100
	maxTokens     = 250
	answerIn      = 8 * time.Second
	modelFor      = 120 * time.Second
	modelWarm     = 20 * time.Second
	tick          = 20 * time.Millisecond
	flooding      = team.ID("large")
)

// admitter is a policy of admission.
type admitter interface {
	Offer(now time.Time, r Request) Decision
	Next(now time.Time) []Request
	Release(r Request, ran time.Duration)
	Expire(now time.Time) []RefusedRequest
}

// fifo takes requests in the order of arrival. With drop set it refuses those that
// cannot meet their deadline when their turn comes.
type fifo struct {
	drop    bool
	running int
	queue   []Request
	late    []RefusedRequest
}

func (f *fifo) Offer(_ time.Time, r Request) Decision {
	if len(f.queue) >= DefaultMaxWaiting {
		return Refused{Code: CodeQueueFull}
	}
	f.queue = append(f.queue, r)
	return Queued{}
}

func (f *fifo) Next(now time.Time) []Request {
	var out []Request
	for f.running < modelSlots && len(f.queue) > 0 {
		r := f.queue[0]
		f.queue = f.queue[1:]
		if f.drop && now.Add(seconds(r.Cost*secondsPerTok)).After(r.Deadline) {
			f.late = append(f.late, RefusedRequest{Request: r})
			continue
		}
		f.running++
		out = append(out, r)
	}
	return out
}

func (f *fifo) Release(Request, time.Duration) { f.running-- }

func (f *fifo) Expire(time.Time) []RefusedRequest {
	late := f.late
	f.late = nil
	return late
}

// outcome is what the model measured.
type outcome struct {
	// goodput is the work answered in time over the work that the slots could do.
	goodput float64
	// served is the work answered in time over the work offered, by team.
	served map[team.ID]float64
	good   map[team.ID]float64
	// delays are the times from arrival to refusal.
	delays []time.Duration
}

// simulate offers each team's load, in parts of the capacity.
func simulate(p admitter, load map[team.ID]float64, seed uint64) outcome {
	type run struct {
		r     Request
		began time.Time
		ends  time.Time
	}
	rng := rand.New(rand.NewPCG(seed, 7))
	start := epoch
	names := make([]team.ID, 0, len(load))
	for id := range load {
		names = append(names, id)
	}
	slices.Sort(names)
	perTick := modelSlots / (secondsPerTok * meanTokens) * tick.Seconds()
	work := make(map[request.ID]float64)
	arrived := make(map[request.ID]time.Time)
	var running []run
	offered := make(map[team.ID]float64)
	o := outcome{served: make(map[team.ID]float64), good: make(map[team.ID]float64)}
	serial := uint64(0)
	for now := start; now.Before(start.Add(modelFor)); now = now.Add(tick) {
		counted := !now.Before(start.Add(modelWarm))
		for len(running) > 0 && !running[0].ends.After(now) {
			d := running[0]
			running = running[1:]
			p.Release(d.r, d.ends.Sub(d.began))
			if counted && !d.ends.After(d.r.Deadline) {
				o.good[d.r.Team] += work[d.r.ID]
			}
		}
		refuse := func(r Request) {
			if counted {
				o.delays = append(o.delays, now.Sub(arrived[r.ID]))
			}
		}
		for _, id := range names {
			for range poisson(rng, perTick*load[id]) {
				serial++
				r := Request{Team: id, Class: team.ClassInteractive, Deadline: now.Add(answerIn)}
				binary.BigEndian.PutUint64(r.ID[:], serial)
				tokens := min(maxTokens, 10+rng.ExpFloat64()*(meanTokens-10))
				r.Cost = tokens * (0.6 + 0.8*rng.Float64())
				work[r.ID], arrived[r.ID] = tokens, now
				if counted {
					offered[id] += tokens
				}
				switch d := p.Offer(now, r).(type) {
				case Admitted:
					running = append(running, run{r: r, began: now, ends: now.Add(seconds(tokens * secondsPerTok))})
				case Queued:
					if d.Displaced != nil {
						refuse(d.Displaced.Request)
					}
				case Refused:
					refuse(r)
				}
			}
		}
		for _, refusal := range p.Expire(now) {
			refuse(refusal.Request)
		}
		for _, r := range p.Next(now) {
			running = append(running, run{r: r, began: now, ends: now.Add(seconds(work[r.ID] * secondsPerTok))})
		}
		slices.SortFunc(running, func(a, b run) int { return a.ends.Compare(b.ends) })
	}
	total := 0.0
	for id, good := range o.good {
		total += good
		o.served[id] = good / offered[id]
	}
	o.goodput = total / (modelSlots / secondsPerTok * (modelFor - modelWarm).Seconds())
	slices.SortFunc(o.delays, cmp.Compare)
	return o
}

func poisson(rng *rand.Rand, mean float64) int {
	n := 0
	for sum := rng.ExpFloat64(); sum < mean; sum += rng.ExpFloat64() {
		n++
	}
	return n
}

func newModelQueue() admitter {
	q := NewQueue(Weights{}, 0)
	q.SetSlots(modelSlots)
	return q
}

// TestOverload floods the fleet with one team's requests beside nine small teams
// that stay below their share. The bounds are the stated ones: goodput within 10 %
// of capacity, small teams within 10 % of what they offer, refusals in milliseconds.
func TestOverload(t *testing.T) {
	policies := []struct {
		name string
		make func() admitter
	}{
		{"fifo", func() admitter { return &fifo{} }},
		{"fifo, late dropped", func() admitter { return &fifo{drop: true} }},
		{"queue", newModelQueue},
	}
	for _, times := range []float64{2, 5} {
		load := map[team.ID]float64{}
		for n := range 9 {
			load[team.ID(fmt.Sprint("small-", n))] = 0.05
		}
		load[flooding] = times - 9*0.05
		for seed := uint64(1); seed <= *seeds; seed++ {
			for _, p := range policies {
				o := simulate(p.make(), load, seed)
				small := 1.0
				for id := range load {
					if id != flooding {
						small = min(small, o.served[id])
					}
				}
				delay := time.Duration(-1)
				if len(o.delays) > 0 {
					delay = o.delays[int(0.99*float64(len(o.delays)-1))]
				}
				t.Logf("| %.0fx | %d | %s | %.1f %% | %.1f %% | %d |", times, seed, p.name, 100*o.goodput, 100*small, delay.Milliseconds())
				if p.name == "queue" {
					require.GreaterOrEqual(t, o.goodput, 0.9, "%.0fx seed %d", times, seed)
					require.GreaterOrEqual(t, small, 0.9, "%.0fx seed %d", times, seed)
					require.Less(t, delay, 10*time.Millisecond, "%.0fx seed %d", times, seed)
				}
			}
		}
	}
}

// TestWeights has three teams that all offer more than there is.
func TestWeights(t *testing.T) {
	weights := map[team.ID]float64{"a": 1, "b": 2, "c": 4}
	for seed := uint64(1); seed <= *seeds; seed++ {
		q := NewQueue(Weights{Teams: weights}, 0)
		q.SetSlots(modelSlots)
		o := simulate(q, map[team.ID]float64{"a": 1, "b": 1, "c": 2}, seed)
		total := o.good["a"] + o.good["b"] + o.good["c"]
		for id, weight := range weights {
			require.InEpsilon(t, weight/7, o.good[id]/total, 0.1, "seed %d team %s", seed, id)
		}
	}
}

func BenchmarkOfferRelease(b *testing.B) {
	q := NewQueue(Weights{}, 0)
	q.SetSlots(modelSlots)
	teams := make([]team.ID, 10)
	for i := range teams {
		teams[i] = team.ID(fmt.Sprint("team-", i))
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		r := Request{ID: request.ID{byte(n)}, Team: teams[n%10], Class: team.ClassInteractive, Cost: 100}
		q.Offer(epoch, r)
		if n >= 2*modelSlots {
			q.Release(r, 2*time.Second)
			q.Next(epoch)
		}
	}
}
