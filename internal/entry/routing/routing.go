// Package routing chooses the replica or plain service endpoint for a request.
//
// A Router predicts the time to first token on every replica that may serve the
// request. The prediction adds up the queue wait, estimated from the last load report
// and this entry's dispatches since then, and the prefill of the prompt after the
// cached prefix. Among the replicas close to the best prediction it takes two and keeps
// the better one, so that entries with the same old report do not all choose the same
// replica (the power of two choices, Mitzenmacher 2001). The two are chosen by the hash
// of the request body, or at random if there is none.
//
// The package has no clock, goroutine or lock: the caller passes the time and must
// serialise the calls.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/view"
)

// Policy holds the parameters of a Router. Zero fields take their defaults.
type Policy struct {
	// ReportLag is the usual age of a load report when it arrives.
	ReportLag time.Duration
	// Slack and SlackRatio bound the difference between the best score and that of the chosen
	// replica: Slack + SlackRatio x best.
	Slack      time.Duration
	SlackRatio float64
	// HitHalfLife is the age at which an expected cache hit counts half.
	HitHalfLife time.Duration
	// Affinity is the bonus of the two replicas that rendezvous hashing chooses for a
	// prefix that no replica is known to hold, as a multiple of the prompt's uncached
	// part.
	Affinity float64
	// CongestionWait is the mean queue wait at which a second of prefill counts twice.
	CongestionWait time.Duration
	// PrefixBlocks bounds the number of prefix blocks stored for all replicas together.
	PrefixBlocks int
}

// Defaults of Policy.
const (
	DefaultReportLag      = 300 * time.Millisecond
	DefaultSlack          = 20 * time.Millisecond
	DefaultSlackRatio     = 0.1
	DefaultHitHalfLife    = 10 * time.Minute
	DefaultAffinity       = 4
	DefaultCongestionWait = 200 * time.Millisecond
	DefaultPrefixBlocks   = 1 << 17
)

func (p Policy) withDefaults() Policy {
	if p.ReportLag <= 0 {
		p.ReportLag = DefaultReportLag
	}
	if p.Slack <= 0 {
		p.Slack = DefaultSlack
	}
	if p.SlackRatio <= 0 {
		p.SlackRatio = DefaultSlackRatio
	}
	if p.HitHalfLife <= 0 {
		p.HitHalfLife = DefaultHitHalfLife
	}
	if p.Affinity <= 0 {
		p.Affinity = DefaultAffinity
	}
	if p.CongestionWait <= 0 {
		p.CongestionWait = DefaultCongestionWait
	}
	if p.PrefixBlocks <= 0 {
		p.PrefixBlocks = DefaultPrefixBlocks
	}
	return p
}

// Request describes what a replica must offer and the work that the request causes.
type Request struct {
	// Deployment is the name of a deployment or of a model.
	Deployment string
	// Version, Adapter and Role restrict the choice; an empty one matches all replicas.
	Version      string
	Adapter      string
	Role         string
	PromptTokens int
	// PrefixHashes are the block hashes of the prompt, as given by PrefixHashes.
	PrefixHashes []uint64
	// BodyHash is the hash of method, path and normalised body, 0 if unknown. Concurrent
	// copies of one body are sent to the same replica until the body has completed once.
	BodyHash uint64
	// Exclude holds the replicas that this request has already failed on.
	Exclude map[replica.ID]bool
	// Suspect restricts the request to the replica that ranks first for BodyHash, and
	// to times when no other suspect request runs there.
	Suspect bool
	// Restriction holds also where Exclude is dropped.
	Restriction Restriction
}

// Choice is the replica picked for a request.
type Choice struct {
	Route view.Route
	// PredictedTTFT is the predicted time to first token.
	PredictedTTFT time.Duration
	// HitTokens is the number of prompt tokens expected to be cached on the replica.
	HitTokens int
}

// Router routes requests to replicas. Create it with New.
type Router struct {
	policy       Policy
	rng          *rand.Rand
	replicas     map[replica.ID]*replicaState
	groups       map[string]*group
	prefixes     prefixIndex
	bodyAffinity bodyAffinity
	attempts     map[AttemptID]*attempt
	// lastID is the number given last, to an attempt or to a call of Pick.
	lastID    AttemptID
	viewCount uint64
	// candidates is reused by Pick.
	candidates []candidate
}

// New returns a Router without replicas. It takes random numbers from rng.
func New(rng *rand.Rand, policy Policy) *Router {
	policy = policy.withDefaults()
	return &Router{
		policy:       policy,
		rng:          rng,
		replicas:     make(map[replica.ID]*replicaState),
		groups:       make(map[string]*group),
		prefixes:     newPrefixIndex(policy.PrefixBlocks),
		bodyAffinity: newBodyAffinity(),
		attempts:     make(map[AttemptID]*attempt),
	}
}
