package routing

import (
	"math/rand/v2"
	"time"

	"github.com/egretreach/egretreach/internal/standin/enginesim"
)

// job is one simulated request.
type job struct {
	enginesim.Job
	req       Request
	arrived   time.Duration
	choice    Choice
	attemptID AttemptID
	ttft      time.Duration
}

// workload is a seeded stream of requests.
type workload struct {
	name string
	// entries is the number of entries that route independently.
	entries int
	// rate returns the requests per second at a time of the run.
	rate func(at time.Duration) float64
	// documents is the number of documents of each team, blocks their length and skew
	// the Zipf exponent of their use.
	documents, blocks int
	skew              float64
	// stragglerFactor is how much slower one replica is than the others; 0 means no
	// straggler.
	stragglerFactor float64
	// unreported means that the straggler reports the prefill rate of a healthy
	// replica.
	unreported bool
}

// Requests that arrive during warmUp, while all caches are cold, are not counted.
const (
	warmUp = 5 * time.Second
	runFor = 45 * time.Second
)

// teamShare is the part of the traffic that each of ten teams sends; three are large.
var teamShare = []float64{0.28, 0.2, 0.15, 0.07, 0.06, 0.06, 0.05, 0.05, 0.04, 0.04}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// burst is three times the rate for ten seconds, from 15 s to 25 s of the run.
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
	{entries: 3, name: "traffic burst", rate: burst(45), documents: 12, blocks: 12, skew: 1.1},
	{entries: 3, name: "long prefixes", rate: steady(75), documents: 6, blocks: 64, skew: 1.1},
	{entries: 12, name: "long prefixes, 12 entries", rate: steady(75), documents: 6, blocks: 64, skew: 1.1},
	{entries: 3, name: "straggler", rate: steady(80), documents: 12, blocks: 12, skew: 1.1, stragglerFactor: 5},
	{entries: 3, name: "unreported straggler", rate: steady(80), documents: 12, blocks: 12, skew: 1.1, stragglerFactor: 5, unreported: true},
}

// engine returns the configuration of a replica's engine.
func (w workload) engine(i int) enginesim.Config {
	config := enginesim.DefaultConfig()
	if i != 7 || w.stragglerFactor == 0 {
		return config
	}
	config.TimeFactor = w.stragglerFactor
	if !w.unreported {
		config.ReportedPrefillRate /= w.stragglerFactor
	}
	return config
}

// draw returns the next request: the prefix of a team, a document of the team, and a
// question that is unique to the request.
func (w workload) draw(rng *rand.Rand, zipf *rand.Zipf) *job {
	pick, team := rng.Float64(), 0
	for pick > teamShare[team] && team < len(teamShare)-1 {
		pick -= teamShare[team]
		team++
	}
	document, block := zipf.Uint64(), enginesim.DefaultConfig().BlockTokens
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
