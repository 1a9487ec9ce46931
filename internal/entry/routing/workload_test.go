package routing

import (
	"math/rand/v2"
	"time"

	"github.com/egretreach/egretreach/internal/standin/batch"
)

// job is one request in the model.
type job struct {
	batch.Job
	req     Request
	arrived time.Duration
	choice  Choice
	ticket  AttemptID
	first   time.Duration
}

// workload is a seeded stream of requests.
type workload struct {
	name string
	// entries is the number of entries that decide independently.
	entries int
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

// burst is the burst when troops meet: three times the rate for ten seconds.
func burst(rate float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at > 15*time.Second && at < 25*time.Second {
			return 3 * rate
		}
		return rate
	}
}

var workloads = []workload{
	{entries: 3, name: "large teams", rate: steady(100), documents: 12, blocks: 12, skew: 1.1},
	{entries: 3, name: "troops meet", rate: burst(45), documents: 12, blocks: 12, skew: 1.1},
	{entries: 3, name: "long prefixes", rate: steady(75), documents: 6, blocks: 64, skew: 1.1},
	{entries: 12, name: "long prefixes, 12 entries", rate: steady(75), documents: 6, blocks: 64, skew: 1.1},
	{entries: 3, name: "straggler", rate: steady(80), documents: 12, blocks: 12, skew: 1.1, straggler: 5},
	{entries: 3, name: "hidden straggler", rate: steady(80), documents: 12, blocks: 12, skew: 1.1, straggler: 5, hidden: true},
}

// engine returns the configuration of a replica's engine.
func (w workload) engine(i int) batch.Config {
	config := batch.Default()
	if i != 7 || w.straggler == 0 {
		return config
	}
	config.Slow = w.straggler
	if !w.hidden {
		config.ReportedRate /= w.straggler
	}
	return config
}

// draw returns the next request: a team's own prefix, a document of the team, and
// a question of its own.
func (w workload) draw(rng *rand.Rand, zipf *rand.Zipf) *job {
	pick, team := rng.Float64(), 0
	for pick > teamShare[team] && team < len(teamShare)-1 {
		pick -= teamShare[team]
		team++
	}
	document, block := zipf.Uint64(), batch.Default().BlockTokens
	hashes := make([]uint64, 0, w.blocks+5)
	for i := range 4 {
		hashes = append(hashes, combineHashes(uint64(team), uint64(i)))
	}
	for i := range w.blocks {
		hashes = append(hashes, combineHashes(uint64(team)<<32|document, uint64(100+i)))
	}
	hashes = append(hashes, rng.Uint64())
	j := &job{
		req: Request{
			Deployment: "drafting", PrefixHashes: hashes, BodyHash: rng.Uint64() | 1,
			PromptTokens: len(hashes)*block + rng.IntN(block),
		},
	}
	j.Prefix, j.PromptTokens = hashes, j.req.PromptTokens
	j.OutputTokens = 20 + int(rng.ExpFloat64()*80)
	return j
}
