package enginesim

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/view"
)

// Config sets the size and speed of an Engine.
type Config struct {
	// Slots is the number of jobs that run at once.
	Slots int
	// ChunkTokens bounds the prompt tokens prefilled in one step.
	ChunkTokens int
	// PrefillRate is the number of prompt tokens prefilled per second.
	PrefillRate float64
	// StepBase is the minimum duration of a step, StepPerDecode what each decoding job adds.
	StepBase, StepPerDecode time.Duration
	// CacheBlocks is the size of the prefix cache in blocks, BlockTokens the size of a block
	// in tokens.
	CacheBlocks, BlockTokens int
	// TimeFactor multiplies the duration of each step: 1 for a healthy engine, more for a straggler.
	TimeFactor float64
	// ReportedPrefillRate is the prefill rate that load reports claim, in tokens per second.
	ReportedPrefillRate float64
}

// DefaultConfig returns the configuration of an engine with 16 slots, 23 ms between tokens when
// all slots decode, and a prefill rate of 8,000 tokens per second.
func DefaultConfig() Config {
	return Config{
		Slots: 16, ChunkTokens: 1024, PrefillRate: 8000, ReportedPrefillRate: 8000, TimeFactor: 1,
		StepBase: 15 * time.Millisecond, StepPerDecode: 500 * time.Microsecond,
		CacheBlocks: 1000, BlockTokens: 128,
	}
}

// ProgressTokens is the number of tokens between two calls of Job.Progress.
const ProgressTokens = 16

// Job is one request to an Engine.
type Job struct {
	// PromptTokens and OutputTokens are the lengths of the prompt and the output. Prefix
	// holds the hashes of the complete blocks of the prompt.
	PromptTokens, OutputTokens int
	Prefix                     []uint64
	// FirstToken is called when the prefill has ended, Done when the output is complete.
	FirstToken, Done func()
	// Progress, if set, is called after each ProgressTokens output tokens.
	Progress func()
	// Cached is the number of prompt tokens found in the prefix cache. The engine sets it
	// when it admits the job.
	Cached     int
	promptLeft int
	decoded    int
}

// Engine simulates one model engine. Create it with New.
type Engine struct {
	Config
	timeline         *Timeline
	waiting, running []*Job
	cache            prefixCache
	busy             bool
	reportSequence   uint64
	busyTime         time.Duration
}

// New returns an idle Engine that runs on the timeline.
func New(timeline *Timeline, config Config) *Engine {
	return &Engine{Config: config, timeline: timeline, cache: newPrefixCache(config.CacheBlocks)}
}

// Submit adds a job to the queue, and starts the engine if it is idle.
func (e *Engine) Submit(j *Job) {
	e.waiting = append(e.waiting, j)
	if !e.busy {
		e.run()
	}
}

// BusyTime returns the total duration of the steps taken.
func (e *Engine) BusyTime() time.Duration { return e.busyTime }

// CacheChanges returns the blocks stored and evicted since the last call.
func (e *Engine) CacheChanges() (stored, evicted []uint64) { return e.cache.changes() }

// Load returns a load report. Its waiting tokens include those of running jobs that are
// not prefilled yet.
func (e *Engine) Load() view.Load {
	e.reportSequence++
	load := view.Load{
		Running: len(e.running), Waiting: len(e.waiting), PrefillRate: e.ReportedPrefillRate,
		Capacity: e.Slots, Sequence: e.reportSequence,
	}
	for _, j := range e.waiting {
		load.WaitingTokens += j.PromptTokens
	}
	for _, j := range e.running {
		load.WaitingTokens += j.promptLeft
	}
	return load
}

// run takes one step after the other until no job is left.
func (e *Engine) run() {
	e.busy = len(e.waiting)+len(e.running) > 0
	if !e.busy {
		return
	}
	duration, first, done := e.step()
	e.busyTime += duration
	e.timeline.After(duration, func() {
		for _, j := range first {
			j.FirstToken()
		}
		for _, j := range done {
			j.Done()
		}
		e.run()
	})
}

// step decodes one token of each prefilled job, continues the prefills of the other
// running jobs, and then admits waiting jobs while slots and the chunk's token budget last.
// It returns the duration of the step, the jobs whose prefill ended and those that are done.
func (e *Engine) step() (duration time.Duration, first, done []*Job) {
	budget, decoding := e.ChunkTokens, 0
	prefill := func(j *Job) {
		n := min(j.promptLeft, budget)
		budget -= n
		j.promptLeft -= n
		if n > 0 && j.promptLeft == 0 {
			first = append(first, j)
			e.cache.store(j.Prefix)
		}
	}
	unfinished := e.running[:0]
	for _, j := range e.running {
		if j.promptLeft > 0 {
			prefill(j)
		} else {
			decoding++
			j.decode()
		}
		if j.decoded >= j.OutputTokens {
			done = append(done, j)
			continue
		}
		unfinished = append(unfinished, j)
	}
	e.running = unfinished
	for len(e.running) < e.Slots && len(e.waiting) > 0 && budget > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		j.Cached = e.cache.lookup(j.Prefix) * e.BlockTokens
		j.promptLeft = max(1, j.PromptTokens-j.Cached)
		e.running = append(e.running, j)
		prefill(j)
	}
	prefilled := time.Duration(float64(e.ChunkTokens-budget) / e.PrefillRate * float64(time.Second))
	base := e.StepBase + time.Duration(decoding)*e.StepPerDecode + prefilled
	return time.Duration(float64(base) * e.TimeFactor), first, done
}

func (j *Job) decode() {
	j.decoded++
	if j.Progress != nil && j.decoded%ProgressTokens == 0 {
		j.Progress()
	}
}
