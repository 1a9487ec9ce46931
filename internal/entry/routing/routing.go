// Package routing decides which replica or plain service endpoint takes a request.
//
// A Router predicts the time to first token on every replica that may serve the
// request: the queue wait, from a load report that is old and from its own
// dispatches since then, and the prefill left behind the cached prefix. Among the
// replicas close to the best it takes two at random and keeps the better one
// (the power of two choices, Mitzenmacher 2001), so that entries which decide on
// the same old report do not all choose the same replica.
//
// The package holds no clock, goroutine or lock: the caller gives the time and
// serialises the calls.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/view"
)

// Policy holds the constants of a Router. The zero value takes the defaults.
type Policy struct {
	// ReportLag is the usual age of a load report on arrival.
	ReportLag time.Duration
	// Slack and SlackRatio bound how far behind the best prediction a replica may
	// be and still be chosen: Slack + SlackRatio x best.
	Slack      time.Duration
	SlackRatio float64
	// HitHalfLife is the age at which a believed prefix hit counts half.
	HitHalfLife time.Duration
	// Affinity is the bonus, in parts of the new prefill, of the two replicas that
	// rendezvous hashing names for a prefix which no replica is known to hold.
	Affinity float64
	// Congestion is the mean queue wait at which a second of prefill counts twice.
	Congestion time.Duration
	// PrefixBlocks bounds the prefix blocks remembered, over all replicas.
	PrefixBlocks int
}

// Defaults of Policy.
const (
	DefaultReportLag    = 300 * time.Millisecond
	DefaultSlack        = 20 * time.Millisecond
	DefaultSlackRatio   = 0.1
	DefaultHitHalfLife  = 10 * time.Minute
	DefaultAffinity     = 4
	DefaultCongestion   = 200 * time.Millisecond
	DefaultPrefixBlocks = 1 << 17
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
	if p.Congestion <= 0 {
		p.Congestion = DefaultCongestion
	}
	if p.PrefixBlocks <= 0 {
		p.PrefixBlocks = DefaultPrefixBlocks
	}
	return p
}

// Request is what a replica must offer and what the request will cost there.
type Request struct {
	// Deployment is the name of a deployment or of a model.
	Deployment string
	// Version, Adapter and Role restrict the replicas; empty matches all.
	Version string
	Adapter string
	Role    string
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// PrefixHashes are the block hashes of the prompt, as given by PrefixHashes.
	PrefixHashes []uint64
	// BodyHash is the hash of the normalised body, 0 if unknown. Copies of one body in
	// flight stay on one replica until the body has completed once.
	BodyHash uint64
	// Exclude names replicas that this request has already failed on.
	Exclude map[replica.ID]bool
	// Suspect says that the body may run only on the replica that BodyHash names,
	// and only while no other suspect runs there.
	Suspect bool
}

// Choice is the replica picked for a request.
type Choice struct {
	Route view.Route
	// FirstToken is the predicted time to first token.
	FirstToken time.Duration
	// HitTokens is the number of prompt tokens believed to be cached there.
	HitTokens int
}

// Router routes requests to replicas. Create it with New.
type Router struct {
	policy   Policy
	rng      *rand.Rand
	replicas map[replica.ID]*state
	models   map[string]*group
	prefixes prefixIndex
	bodies   bodies
	flights  map[Ticket]*flight
	tickets  Ticket
	views    uint64
	// scratch is reused by Pick.
	scratch []candidate
}

// New returns a Router without replicas. It draws its choices from rng.
func New(rng *rand.Rand, policy Policy) *Router {
	policy = policy.withDefaults()
	return &Router{
		policy:   policy,
		rng:      rng,
		replicas: make(map[replica.ID]*state),
		models:   make(map[string]*group),
		prefixes: newPrefixIndex(policy.PrefixBlocks),
		bodies:   newBodies(),
		flights:  make(map[Ticket]*flight),
	}
}
