// Package retry decides whether a failed attempt is followed by another one.
//
// A retry needs proof that the attempt did not run, or an idempotent request; time
// before the deadline; and a token of the budget, which fills with a share of the
// successes (as the retry budget of Finagle does), so that an outage cannot turn
// into a flood of retries. Waits grow exponentially with full jitter (Brooker,
// "Exponential Backoff And Jitter", 2015).
//
// The package holds no clock, goroutine or lock: the caller gives the time and
// serialises the calls.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/request"
)

// Policy holds the constants of a Budget. The zero value takes the defaults.
type Policy struct {
	// TokenRatio is the number of retries earned by each success.
	TokenRatio float64
	// MaxTokens is the number of retries that may be saved up: the attempts of a few
	// replicas that are lost at once.
	MaxTokens float64
	// BaseBackoff is the greatest wait before the first retry; it doubles with each
	// further one, up to Cap.
	BaseBackoff time.Duration
	MaxBackoff  time.Duration
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts request.Attempt
}

// Defaults of Policy.
const (
	DefaultTokenRatio  = 0.1
	DefaultMaxTokens   = 100
	DefaultBaseBackoff = 25 * time.Millisecond
	DefaultMaxBackoff  = 2 * time.Second
	DefaultMaxAttempts = 4
)

func (p Policy) withDefaults() Policy {
	if p.TokenRatio <= 0 {
		p.TokenRatio = DefaultTokenRatio
	}
	if p.MaxTokens <= 0 {
		p.MaxTokens = DefaultMaxTokens
	}
	if p.BaseBackoff <= 0 {
		p.BaseBackoff = DefaultBaseBackoff
	}
	if p.MaxBackoff <= 0 {
		p.MaxBackoff = DefaultMaxBackoff
	}
	if p.MaxAttempts == 0 {
		p.MaxAttempts = DefaultMaxAttempts
	}
	return p
}

// Failure is a failed attempt.
type Failure struct {
	// Outcome is OutcomeNotRun only with proof, else OutcomeUnknown.
	Outcome    request.Outcome
	Idempotent bool
	// Attempt is the number of the attempt that failed, from 1.
	Attempt request.Attempt
	// Deadline is when the whole answer is due; zero is never.
	Deadline time.Time
	// RetryAfter is the replica's wish; 0 is unsaid.
	RetryAfter time.Duration
	// MinDuration is the least time in which a further attempt can end.
	MinDuration time.Duration
}

// Decision is what follows a failed attempt: Retry or GiveUp.
type Decision interface {
	decision()
}

// Retry says to dispatch again after a wait.
type Retry struct{ Delay time.Duration }

// Reason says why a request is given up.
type Reason string

// The reasons to give up.
const (
	// ReasonMayHaveRun: the attempt may have run and the request is not idempotent.
	ReasonMayHaveRun Reason = "may_have_run"
	ReasonAttempts   Reason = "attempts"
	ReasonDeadline   Reason = "deadline"
	ReasonBudget     Reason = "budget"
)

// GiveUp says that the caller gets its final answer now.
type GiveUp struct {
	Outcome request.Outcome
	Reason  Reason
	// RetryAfter is when the caller may come back.
	RetryAfter time.Duration
}

func (Retry) decision() {}

func (GiveUp) decision() {}

// Budget decides on retries for one entry. Create it with New.
type Budget struct {
	policy Policy
	rng    *rand.Rand
	tokens float64
}

// New returns a Budget that has its reserve. It draws its jitter from rng.
func New(rng *rand.Rand, policy Policy) *Budget {
	policy = policy.withDefaults()
	return &Budget{policy: policy, rng: rng, tokens: policy.MaxTokens}
}

// RecordSuccess earns a share of a retry.
func (b *Budget) RecordSuccess() { b.tokens = min(b.policy.MaxTokens, b.tokens+b.policy.TokenRatio) }

// Tokens returns the retries left.
func (b *Budget) Tokens() float64 { return b.tokens }

// Decide says what follows a failed attempt. A Retry has taken its token.
func (b *Budget) Decide(now time.Time, f Failure) Decision {
	if f.Outcome != request.OutcomeNotRun && !f.Idempotent {
		return b.giveUp(f, ReasonMayHaveRun)
	}
	if f.Attempt >= b.policy.MaxAttempts {
		return b.giveUp(f, ReasonAttempts)
	}
	after := f.RetryAfter + b.jitter(f.Attempt)
	if !f.Deadline.IsZero() && !now.Add(after+f.MinDuration).Before(f.Deadline) {
		return b.giveUp(f, ReasonDeadline)
	}
	if b.tokens < 1 {
		return b.giveUp(f, ReasonBudget)
	}
	b.tokens--
	return Retry{Delay: after}
}

// Refund gives the token of a Retry back that was not dispatched.
func (b *Budget) Refund() { b.tokens = min(b.policy.MaxTokens, b.tokens+1) }

// jitter draws the wait before the next attempt, from 0 to the backoff.
func (b *Budget) jitter(attempt request.Attempt) time.Duration {
	return time.Duration(b.rng.Int64N(int64(b.backoff(attempt)) + 1))
}

func (b *Budget) backoff(attempt request.Attempt) time.Duration {
	backoff := b.policy.BaseBackoff
	for n := request.Attempt(1); n < attempt && backoff < b.policy.MaxBackoff; n++ {
		backoff *= 2
	}
	return min(backoff, b.policy.MaxBackoff)
}

// giveUp ends the request. Callers are spread over the time in which they return.
func (b *Budget) giveUp(f Failure, reason Reason) GiveUp {
	outcome := f.Outcome
	if outcome != request.OutcomeNotRun {
		outcome = request.OutcomeUnknown
	}
	spread := b.policy.MaxBackoff/2 + time.Duration(b.rng.Int64N(int64(b.policy.MaxBackoff)))
	return GiveUp{Outcome: outcome, Reason: reason, RetryAfter: max(f.RetryAfter, spread)}
}
