package routing

import (
	"container/heap"
	"container/list"
	"math/rand/v2"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/view"
)

// The model of an engine: continuous batching in steps, prefill in chunks, and a
// prefix cache with LRU eviction. A step takes a base time, a time for each stream
// that it decodes and a time for each prompt token that it prefills.
const (
	stepBase     = 15 * time.Millisecond
	stepDecode   = 500 * time.Microsecond
	prefillRate  = 8000.0
	chunkTokens  = 1024
	engineSlots  = 16
	cacheBlocks  = 1000
	tokensPerBlk = 128
)

// job is one request in the model.
type job struct {
	req            Request
	arrived        time.Duration
	output         int
	entry, replica int
	choice         Choice
	ticket         Ticket
	left, cached   int
	decoded        int
	first          time.Duration
}

type engine struct {
	slow             float64
	reported         float64
	waiting, running []*job
	lru              *list.List
	blocks           map[uint64]*list.Element
	busy             bool
	stored, evicted  []uint64
	sequence, events uint64
	worked           time.Duration
}

func newEngine() *engine {
	return &engine{slow: 1, reported: prefillRate, lru: list.New(), blocks: make(map[uint64]*list.Element)}
}

func (e *engine) touch(hash uint64) {
	if el, ok := e.blocks[hash]; ok {
		e.lru.MoveToFront(el)
		return
	}
	e.blocks[hash] = e.lru.PushFront(hash)
	e.stored = append(e.stored, hash)
	if e.lru.Len() > cacheBlocks {
		last := e.lru.Remove(e.lru.Back()).(uint64)
		delete(e.blocks, last)
		e.evicted = append(e.evicted, last)
	}
}

// step runs one iteration and returns its length and the jobs that got a first
// token or ended in it. Streams decode first, then prefills go on, then new jobs
// are taken while chunk and slots last.
func (e *engine) step() (took time.Duration, first, ended []*job) {
	budget, decoding := chunkTokens, 0
	prefill := func(j *job) {
		n := min(j.left, budget)
		budget -= n
		j.left -= n
		if n > 0 && j.left == 0 {
			first = append(first, j)
			for _, hash := range j.req.PrefixHashes {
				e.touch(hash)
			}
		}
	}
	going := e.running[:0]
	for _, j := range e.running {
		if j.left > 0 {
			prefill(j)
		} else {
			decoding++
			j.decoded++
		}
		if j.decoded >= j.output {
			ended = append(ended, j)
			continue
		}
		going = append(going, j)
	}
	e.running = going
	for len(e.running) < engineSlots && len(e.waiting) > 0 && budget > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		j.left = max(1, j.req.PromptTokens-e.lookup(j))
		e.running = append(e.running, j)
		prefill(j)
	}
	seconds := float64(chunkTokens-budget)/prefillRate + (stepBase + time.Duration(decoding)*stepDecode).Seconds()
	took = time.Duration(seconds * e.slow * float64(time.Second))
	e.worked += took
	return took, first, ended
}

// lookup counts the prompt tokens of a job that are cached.
func (e *engine) lookup(j *job) int {
	for _, hash := range j.req.PrefixHashes {
		if e.blocks[hash] == nil {
			break
		}
		e.touch(hash)
		j.cached += tokensPerBlk
	}
	return j.cached
}

func (e *engine) load() view.Load {
	l := view.Load{
		Running: len(e.running), Waiting: len(e.waiting), PrefillRate: e.reported,
		Capacity: engineSlots, Sequence: e.sequence,
	}
	for _, j := range e.waiting {
		l.WaitingTokens += j.req.PromptTokens
	}
	for _, j := range e.running {
		l.WaitingTokens += j.left
	}
	return l
}

// timeline runs events in the order of their times.
type timeline struct {
	now   time.Duration
	next  uint64
	queue eventHeap
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (t *timeline) in(d time.Duration, do func()) {
	t.next++
	heap.Push(&t.queue, event{at: t.now + d, seq: t.next, do: do})
}

func (t *timeline) run() {
	for len(t.queue) > 0 {
		e := heap.Pop(&t.queue).(event)
		t.now = e.at
		e.do()
	}
}

// workload is a seeded stream of requests.
type workload struct {
	name string
	// rate is requests per second at a time of the run.
	rate func(at time.Duration) float64
	// documents per team, their length in blocks and the Zipf exponent of their use.
	documents, blocks int
	skew              float64
	straggler         float64
	// hidden says that the straggler reports the speed of a healthy replica.
	hidden bool
}

// Requests of the first warmUp, while all caches are cold, are not counted.
const (
	warmUp = 5 * time.Second
	runFor = 45 * time.Second
)

// teamShare is the traffic of ten teams, three of them large.
var teamShare = []float64{0.28, 0.2, 0.15, 0.07, 0.06, 0.06, 0.05, 0.05, 0.04, 0.04}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// meeting is the burst when troops meet: three times the rate for ten seconds.
func meeting(rate float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at > 15*time.Second && at < 25*time.Second {
			return 3 * rate
		}
		return rate
	}
}

var workloads = []workload{
	{name: "large teams", rate: steady(100), documents: 12, blocks: 12, skew: 1.1},
	{name: "troops meet", rate: meeting(45), documents: 12, blocks: 12, skew: 1.1},
	{name: "long prefixes", rate: steady(75), documents: 6, blocks: 64, skew: 1.1},
	{name: "straggler", rate: steady(80), documents: 12, blocks: 12, skew: 1.1, straggler: 5},
	{name: "hidden straggler", rate: steady(80), documents: 12, blocks: 12, skew: 1.1, straggler: 5, hidden: true},
}

// draw returns the next request: a team's own prefix, a document of the team, and
// a question of its own.
func (w workload) draw(rng *rand.Rand, zipf *rand.Zipf) *job {
	pick, team := rng.Float64(), 0
	for pick > teamShare[team] && team < len(teamShare)-1 {
		pick -= teamShare[team]
		team++
	}
	document := zipf.Uint64()
	hashes := make([]uint64, 0, w.blocks+5)
	for i := range 4 {
		hashes = append(hashes, mix(uint64(team), uint64(i)))
	}
	for i := range w.blocks {
		hashes = append(hashes, mix(uint64(team)<<32|document, uint64(100+i)))
	}
	hashes = append(hashes, rng.Uint64())
	return &job{
		req: Request{
			Deployment: "drafting", PrefixHashes: hashes, BodyHash: rng.Uint64() | 1,
			PromptTokens: len(hashes)*tokensPerBlk + rng.IntN(tokensPerBlk),
		},
		output: 20 + int(rng.ExpFloat64()*80),
	}
}
