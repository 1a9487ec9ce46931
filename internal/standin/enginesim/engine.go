package enginesim

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/view"
)

// Config is the size and speed of an Engine.
type Config struct {
	// Slots is the number of jobs that run at once.
	Slots int
	// ChunkTokens bounds the prompt tokens prefilled in one step.
	ChunkTokens int
	// PrefillRate is prompt tokens per second.
	PrefillRate float64
	// StepBase is the least time of a step, StepDecode what each decoding job adds.
	StepBase, StepDecode time.Duration
	// CacheBlocks is the size of the prefix cache, BlockTokens that of a block.
	CacheBlocks, BlockTokens int
	// Slow multiplies all times: 1 for a healthy engine, more for a straggler.
	Slow float64
	// ReportedRate is the prefill rate in load reports.
	ReportedRate float64
}

// Default is an engine of 16 slots: 23 ms between tokens when full of decoding jobs,
// and 8,000 prompt tokens per second.
func Default() Config {
	return Config{
		Slots: 16, ChunkTokens: 1024, PrefillRate: 8000, ReportedRate: 8000, Slow: 1,
		StepBase: 15 * time.Millisecond, StepDecode: 500 * time.Microsecond,
		CacheBlocks: 1000, BlockTokens: 128,
	}
}

// ProgressTokens is the number of tokens between two calls of Job.Progress.
const ProgressTokens = 16

// Job is one request at an Engine.
type Job struct {
	// PromptTokens and OutputTokens are its lengths; Prefix holds the hashes of the
	// whole blocks of its prompt.
	PromptTokens, OutputTokens int
	Prefix                     []uint64
	// FirstToken and Done are called when the first token and the whole answer are there.
	FirstToken, Done func()
	// Progress is called after each ProgressTokens tokens, if it is set.
	Progress func()
	// Cached is the number of prompt tokens found in the cache.
	Cached int
	left   int
	made   int
}

// Engine is the model of one engine. Create it with New.
type Engine struct {
	Config
	timeline         *Timeline
	waiting, running []*Job
	cache            prefixCache
	busy             bool
	reports          uint64
	worked           time.Duration
}

// New returns an idle Engine that runs on the timeline.
func New(timeline *Timeline, config Config) *Engine {
	return &Engine{Config: config, timeline: timeline, cache: newPrefixCache(config.CacheBlocks)}
}

// Submit queues a job.
func (e *Engine) Submit(j *Job) {
	e.waiting = append(e.waiting, j)
	if !e.busy {
		e.run()
	}
}

// Worked returns the time spent in steps.
func (e *Engine) Worked() time.Duration { return e.worked }

// CacheChanges returns the blocks stored and evicted since the last call.
func (e *Engine) CacheChanges() (stored, evicted []uint64) { return e.cache.changes() }

// Load returns a load report.
func (e *Engine) Load() view.Load {
	e.reports++
	load := view.Load{
		Running: len(e.running), Waiting: len(e.waiting), PrefillRate: e.ReportedRate,
		Capacity: e.Slots, Sequence: e.reports,
	}
	for _, j := range e.waiting {
		load.WaitingTokens += j.PromptTokens
	}
	for _, j := range e.running {
		load.WaitingTokens += j.left
	}
	return load
}

// run takes steps until no job is left.
func (e *Engine) run() {
	e.busy = len(e.waiting)+len(e.running) > 0
	if !e.busy {
		return
	}
	took, first, done := e.step()
	e.worked += took
	e.timeline.In(took, func() {
		for _, j := range first {
			j.FirstToken()
		}
		for _, j := range done {
			j.Done()
		}
		e.run()
	})
}

// step decodes first, then goes on with prefills, then takes new jobs while chunk
// and slots last. It returns its length and the jobs that got a first token or ended.
func (e *Engine) step() (took time.Duration, first, done []*Job) {
	budget, decoding := e.ChunkTokens, 0
	prefill := func(j *Job) {
		n := min(j.left, budget)
		budget -= n
		j.left -= n
		if n > 0 && j.left == 0 {
			first = append(first, j)
			e.cache.store(j.Prefix)
		}
	}
	going := e.running[:0]
	for _, j := range e.running {
		if j.left > 0 {
			prefill(j)
		} else {
			decoding++
			j.decode()
		}
		if j.made >= j.OutputTokens {
			done = append(done, j)
			continue
		}
		going = append(going, j)
	}
	e.running = going
	for len(e.running) < e.Slots && len(e.waiting) > 0 && budget > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		j.Cached = e.cache.lookup(j.Prefix) * e.BlockTokens
		j.left = max(1, j.PromptTokens-j.Cached)
		e.running = append(e.running, j)
		prefill(j)
	}
	prefilled := time.Duration(float64(e.ChunkTokens-budget) / e.PrefillRate * float64(time.Second))
	plain := e.StepBase + time.Duration(decoding)*e.StepDecode + prefilled
	return time.Duration(float64(plain) * e.Slow), first, done
}

func (j *Job) decode() {
	j.made++
	if j.Progress != nil && j.made%ProgressTokens == 0 {
		j.Progress()
	}
}
