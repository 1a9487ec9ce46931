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

// The simulation holds each request in a slot for its actual work. The estimated cost that the
// queue gets differs from the actual work by up to 40 %. A request counts as served if it ends by
// its deadline.
const (
	simulatedSlots  = 64
	secondsPerToken = 0.02
	meanTokens      = 100
	maxTokens       = 250
	deadlineAfter   = 8 * time.Second
	runFor          = 120 * time.Second
	warmUp          = 20 * time.Second
	tick            = 20 * time.Millisecond
	floodingTeam    = team.ID("large")
)

// admissionPolicy is the part of a Queue that the simulation uses.
type admissionPolicy interface {
	Offer(now time.Time, r Request) Decision
	Next(now time.Time) []Request
	Release(r Request, ran time.Duration)
	Expire(now time.Time) []RefusedRequest
}

// fifo starts requests in the order of arrival. If dropLate is set, it refuses those
// that cannot meet their deadline when their turn comes.
type fifo struct {
	dropLate bool
	running  int
	queue    []Request
	late     []RefusedRequest
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
	for f.running < simulatedSlots && len(f.queue) > 0 {
		r := f.queue[0]
		f.queue = f.queue[1:]
		if f.dropLate && now.Add(seconds(r.Cost*secondsPerToken)).After(r.Deadline) {
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

// simulationResult holds the measurements of one run.
type simulationResult struct {
	// goodput is the work that ended in time divided by the work that the slots could
	// do.
	goodput float64
	// servedRatio is the work that ended in time divided by the work offered, by team.
	servedRatio map[team.ID]float64
	workInTime  map[team.ID]float64
	// refusalDelays are the times from arrival to refusal.
	refusalDelays []time.Duration
}

// simulate runs the policy with the given load of each team, as a multiple of the
// capacity.
func simulate(p admissionPolicy, load map[team.ID]float64, seed uint64) simulationResult {
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
	perTick := simulatedSlots / (secondsPerToken * meanTokens) * tick.Seconds()
	work := make(map[request.ID]float64)
	arrived := make(map[request.ID]time.Time)
	var running []run
	offered := make(map[team.ID]float64)
	o := simulationResult{servedRatio: make(map[team.ID]float64), workInTime: make(map[team.ID]float64)}
	serial := uint64(0)
	for now := start; now.Before(start.Add(runFor)); now = now.Add(tick) {
		counted := !now.Before(start.Add(warmUp))
		for len(running) > 0 && !running[0].ends.After(now) {
			d := running[0]
			running = running[1:]
			p.Release(d.r, d.ends.Sub(d.began))
			if counted && !d.ends.After(d.r.Deadline) {
				o.workInTime[d.r.Team] += work[d.r.ID]
			}
		}
		refuse := func(r Request) {
			if counted {
				o.refusalDelays = append(o.refusalDelays, now.Sub(arrived[r.ID]))
			}
		}
		for _, id := range names {
			for range poisson(rng, perTick*load[id]) {
				serial++
				r := Request{Team: id, Class: team.ClassInteractive, Deadline: now.Add(deadlineAfter)}
				binary.BigEndian.PutUint64(r.ID[:], serial)
				tokens := min(maxTokens, 10+rng.ExpFloat64()*(meanTokens-10))
				r.Cost = tokens * (0.6 + 0.8*rng.Float64())
				work[r.ID], arrived[r.ID] = tokens, now
				if counted {
					offered[id] += tokens
				}
				switch d := p.Offer(now, r).(type) {
				case Admitted:
					running = append(running, run{r: r, began: now, ends: now.Add(seconds(tokens * secondsPerToken))})
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
			running = append(running, run{r: r, began: now, ends: now.Add(seconds(work[r.ID] * secondsPerToken))})
		}
		slices.SortFunc(running, func(a, b run) int { return a.ends.Compare(b.ends) })
	}
	total := 0.0
	for id, good := range o.workInTime {
		total += good
		o.servedRatio[id] = good / offered[id]
	}
	o.goodput = total / (simulatedSlots / secondsPerToken * (runFor - warmUp).Seconds())
	slices.SortFunc(o.refusalDelays, cmp.Compare)
	return o
}

func poisson(rng *rand.Rand, mean float64) int {
	n := 0
	for sum := rng.ExpFloat64(); sum < mean; sum += rng.ExpFloat64() {
		n++
	}
	return n
}

func newSimulatedQueue() admissionPolicy {
	q := NewQueue(Weights{}, 0)
	q.SetSlots(simulatedSlots)
	return q
}

// TestQueueKeepsGoodputAndSmallTeamsUnderOverload overloads the queue with requests of one team
// beside nine small teams that stay below their share. The queue must keep goodput within 10 % of
// capacity and the small teams within 10 % of what they offer, and 99 % of the refusals must come
// within 10 ms.
func TestQueueKeepsGoodputAndSmallTeamsUnderOverload(t *testing.T) {
	policies := []struct {
		name string
		make func() admissionPolicy
	}{
		{"fifo", func() admissionPolicy { return &fifo{} }},
		{"fifo, late dropped", func() admissionPolicy { return &fifo{dropLate: true} }},
		{"queue", newSimulatedQueue},
	}
	for _, times := range []float64{2, 5} {
		load := map[team.ID]float64{}
		for n := range 9 {
			load[team.ID(fmt.Sprint("small-", n))] = 0.05
		}
		load[floodingTeam] = times - 9*0.05
		for seed := uint64(1); seed <= *seeds; seed++ {
			for _, p := range policies {
				o := simulate(p.make(), load, seed)
				small := 1.0
				for id := range load {
					if id != floodingTeam {
						small = min(small, o.servedRatio[id])
					}
				}
				delay := time.Duration(-1)
				if len(o.refusalDelays) > 0 {
					delay = o.refusalDelays[int(0.99*float64(len(o.refusalDelays)-1))]
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

// TestQueueSharesSlotsByTeamWeight has three teams that all offer more than their
// share.
func TestQueueSharesSlotsByTeamWeight(t *testing.T) {
	weights := map[team.ID]float64{"a": 1, "b": 2, "c": 4}
	for seed := uint64(1); seed <= *seeds; seed++ {
		q := NewQueue(Weights{Teams: weights}, 0)
		q.SetSlots(simulatedSlots)
		o := simulate(q, map[team.ID]float64{"a": 1, "b": 1, "c": 2}, seed)
		total := o.workInTime["a"] + o.workInTime["b"] + o.workInTime["c"]
		for id, weight := range weights {
			require.InEpsilon(t, weight/7, o.workInTime[id]/total, 0.1, "seed %d team %s", seed, id)
		}
	}
}

func BenchmarkOfferRelease(b *testing.B) {
	q := NewQueue(Weights{}, 0)
	q.SetSlots(simulatedSlots)
	teams := make([]team.ID, 10)
	for i := range teams {
		teams[i] = team.ID(fmt.Sprint("team-", i))
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		r := Request{ID: request.ID{byte(n)}, Team: teams[n%10], Class: team.ClassInteractive, Cost: 100}
		q.Offer(epoch, r)
		if n >= 2*simulatedSlots {
			q.Release(r, 2*time.Second)
			q.Next(epoch)
		}
	}
}
