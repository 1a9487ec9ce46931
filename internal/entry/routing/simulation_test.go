package routing

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/standin/batch"
)

const (
	simulatedReplicas = 30
	reportEvery       = 500 * time.Millisecond
	reportLag         = 300 * time.Millisecond
	cacheLag          = time.Second
	cacheEventLoss    = 0.1
)

// balancer is one entry's policy.
type balancer interface {
	pick(now time.Time, j *job) int
	view(now time.Time, routes []view.Route)
	first(now time.Time, j *job)
	ended(now time.Time, j *job)
	cached(now time.Time, e CacheEvent)
}

// noFeedback takes no feedback.
type noFeedback struct{}

func (noFeedback) view(time.Time, []view.Route) {}
func (noFeedback) first(time.Time, *job)        {}
func (noFeedback) ended(time.Time, *job)        {}
func (noFeedback) cached(time.Time, CacheEvent) {}

type roundRobin struct {
	noFeedback
	next int
}

func (p *roundRobin) pick(time.Time, *job) int {
	p.next++
	return p.next % simulatedReplicas
}

type prefixHash struct{ noFeedback }

func (prefixHash) pick(_ time.Time, j *job) int {
	key := j.req.PrefixHashes[min(8, len(j.req.PrefixHashes)-1)]
	best, rank := 0, uint64(0)
	for i := range simulatedReplicas {
		if r := combineHashes(key, uint64(i)); r > rank {
			best, rank = i, r
		}
	}
	return best
}

type leastReported struct {
	noFeedback
	rng  *rand.Rand
	load []int
}

func (p *leastReported) view(_ time.Time, routes []view.Route) {
	p.load = p.load[:0]
	for _, r := range routes {
		p.load = append(p.load, r.Load.Running+r.Load.Waiting)
	}
}

func (p *leastReported) pick(time.Time, *job) int {
	least, ties := slices.Min(p.load), []int(nil)
	for i, load := range p.load {
		if load == least {
			ties = append(ties, i)
		}
	}
	return ties[p.rng.IntN(len(ties))]
}

// routerBalancer is the policy under test.
type routerBalancer struct{ *Router }

func (p routerBalancer) view(now time.Time, routes []view.Route) {
	p.SetView(now, view.View{Routes: routes})
}

func (p routerBalancer) pick(now time.Time, j *job) int {
	choice, err := p.Pick(now, j.req)
	if err != nil {
		panic(err)
	}
	j.choice = choice
	j.ticket = p.Dispatched(now, j.req, choice)
	return slices.Index(replicaIDs, choice.Route.Replica.ID)
}

func (p routerBalancer) first(now time.Time, j *job) { p.FirstToken(now, j.ticket) }

func (p routerBalancer) ended(now time.Time, j *job) {
	p.Finished(now, j.ticket, Result{Complete: true, CachedTokens: j.Cached})
}

func (p routerBalancer) cached(now time.Time, e CacheEvent) { p.ApplyCacheEvent(now, e) }

var replicaIDs = func() []replica.ID {
	ids := make([]replica.ID, simulatedReplicas)
	for i := range ids {
		ids[i] = replica.ID(fmt.Sprintf("r%02d", i))
	}
	return ids
}()

var balancers = []struct {
	name string
	make func(rng *rand.Rand) balancer
}{
	{"round robin", func(rng *rand.Rand) balancer { return &roundRobin{next: rng.IntN(simulatedReplicas)} }},
	{"least reported", func(rng *rand.Rand) balancer { return &leastReported{rng: rng, load: make([]int, simulatedReplicas)} }},
	{"prefix hash", func(*rand.Rand) balancer { return prefixHash{} }},
	{"router", func(rng *rand.Rand) balancer { return routerBalancer{New(rng, Policy{})} }},
}

// results are the results of one run.
type results struct {
	p50, p95, p99 time.Duration
	hits          float64
	// spread is the greatest work of a replica over the mean.
	spread float64
}

func simulate(w workload, make func(*rand.Rand) balancer, seed uint64) results {
	load := rand.New(rand.NewPCG(seed, 1))
	net := rand.New(rand.NewPCG(seed, 2))
	zipf := rand.NewZipf(load, w.skew, 1, uint64(w.documents-1))
	var t batch.Timeline
	engines := [simulatedReplicas]*batch.Engine{}
	routes := [simulatedReplicas]view.Route{}
	for i := range engines {
		engines[i] = batch.New(&t, w.engine(i))
		routes[i] = route(replicaIDs[i], func(v *view.Route) { v.Load = engines[i].Load() })
	}
	entries := [12]balancer{}
	known := [12][]view.Route{}
	for i := range w.entries {
		entries[i] = make(rand.New(rand.NewPCG(seed, uint64(10+i))))
		known[i] = slices.Clone(routes[:])
		entries[i].view(epoch, known[i])
	}
	clock := func() time.Time { return epoch.Add(t.Now()) }
	var done []*job
	var arrive func()
	arrive = func() {
		j := w.draw(load, zipf)
		entry := entries[load.IntN(w.entries)]
		j.arrived = t.Now()
		j.FirstToken = func() {
			j.first = t.Now() - j.arrived
			entry.first(clock(), j)
			if j.arrived >= warmUp {
				done = append(done, j)
			}
		}
		j.Done = func() { entry.ended(clock(), j) }
		engines[entry.pick(clock(), j)].Submit(&j.Job)
		gap := time.Duration(load.ExpFloat64() / w.rate(t.Now()) * float64(time.Second))
		if t.Now()+gap < runFor {
			t.In(gap, arrive)
		}
	}
	t.In(0, arrive)
	var report func(i int, sequence uint64)
	report = func(i int, sequence uint64) {
		load := engines[i].Load()
		cache := CacheEvent{Replica: replicaIDs[i], Sequence: sequence}
		cache.Stored, cache.Evicted = engines[i].CacheChanges()
		for k, entry := range entries[:w.entries] {
			t.In(reportLag/2+time.Duration(net.Int64N(int64(reportLag))), func() {
				if load.Sequence > known[k][i].Load.Sequence {
					known[k][i].Load = load
					entry.view(clock(), known[k])
				}
			})
			if net.Float64() >= cacheEventLoss {
				t.In(cacheLag/2+time.Duration(net.Int64N(int64(cacheLag))), func() { entry.cached(clock(), cache) })
			}
		}
		if t.Now() < runFor {
			t.In(reportEvery, func() { report(i, sequence+1) })
		}
	}
	for i := range engines {
		t.In(time.Duration(net.Int64N(int64(reportEvery))), func() { report(i, 1) })
	}
	t.Run(time.Hour)
	return summarize(done, engines[:])
}

func summarize(done []*job, engines []*batch.Engine) results {
	slices.SortFunc(done, func(a, b *job) int { return cmp.Compare(a.first, b.first) })
	at := func(q float64) time.Duration { return done[int(q*float64(len(done)-1))].first }
	prompt, cached := 0, 0
	for _, j := range done {
		prompt += j.req.PromptTokens
		cached += j.Cached
	}
	most, total := time.Duration(0), time.Duration(0)
	for _, e := range engines {
		most = max(most, e.Worked())
		total += e.Worked()
	}
	return results{
		p50: at(0.5), p95: at(0.95), p99: at(0.99), hits: float64(cached) / float64(prompt),
		spread: float64(most) * float64(len(engines)) / float64(total),
	}
}

var seeds = flag.Uint64("seeds", 1, "number of seeds of the measurement")

// TestRoutingAgainstSimplePolicies holds the router's 95th percentile to the
// target, and to no more than that of any simple policy, on every seed.
func TestRoutingAgainstSimplePolicies(t *testing.T) {
	const target = 1600 * time.Millisecond
	for _, w := range workloads {
		for seed := uint64(1); seed <= *seeds; seed++ {
			t.Run(fmt.Sprint(w.name, "/", seed), func(t *testing.T) {
				best := target
				for _, p := range balancers {
					f := simulate(w, p.make, seed)
					t.Logf("| %s | %d | %s | %d | %d | %d | %.0f %% | %.2f |", w.name, seed, p.name,
						f.p50.Milliseconds(), f.p95.Milliseconds(), f.p99.Milliseconds(), 100*f.hits, f.spread)
					if p.name == "router" {
						require.LessOrEqual(t, f.p95, best)
					}
					best = min(best, f.p95)
				}
			})
		}
	}
}

func BenchmarkPick(b *testing.B) {
	for _, replicas := range []int{30, 200, 800} {
		b.Run(strconv.Itoa(replicas), func(b *testing.B) {
			routes := make([]view.Route, replicas)
			for i := range routes {
				routes[i] = route(replica.ID(fmt.Sprint("r", i)))
			}
			r := newRouter(routes...)
			rng := rand.New(rand.NewPCG(1, 1))
			w := workloads[0]
			zipf := rand.NewZipf(rng, w.skew, 1, uint64(w.documents-1))
			jobs := make([]*job, 1024)
			for i := range jobs {
				jobs[i] = w.draw(rng, zipf)
			}
			now := epoch
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				now = now.Add(time.Millisecond)
				req := jobs[n%len(jobs)].req
				choice, err := r.Pick(now, req)
				if err != nil {
					b.Fatal(err)
				}
				ticket := r.Dispatched(now, req, choice)
				r.FirstToken(now, ticket)
				r.Finished(now, ticket, Result{Complete: true})
			}
		})
	}
}

func BenchmarkSetView(b *testing.B) {
	routes := make([]view.Route, 800)
	for i := range routes {
		routes[i] = route(replica.ID(strconv.Itoa(i)))
	}
	r := newRouter(routes...)
	b.ReportAllocs()
	for b.Loop() {
		r.SetView(epoch, view.View{Routes: routes})
	}
}
