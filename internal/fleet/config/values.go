package config

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/document"
)

// Values are the settings that have one default for the fleet and may be changed
// for a part of it by an exception.
type Values struct {
	Limits     Limits     `yaml:"limits"`
	Request    Request    `yaml:"request"`
	Retry      Retry      `yaml:"retry"`
	Objectives Objectives `yaml:"objectives"`
	Repair     Repair     `yaml:"repair"`
	Placement  Placement  `yaml:"placement"`
	Quarantine Quarantine `yaml:"quarantine"`
	Ledger     Ledger     `yaml:"ledger"`
}

// Limits bound what one team may ask of the whole fleet.
type Limits struct {
	RequestsPerSecond float64 `yaml:"requests_per_second" validate:"gt=0,max=1000000"`
	// TokensPerSecond counts generated tokens.
	TokensPerSecond float64 `yaml:"tokens_per_second" validate:"gt=0,max=100000000"`
	// Concurrency is the number of requests in flight at once.
	Concurrency int `yaml:"concurrency" validate:"min=1,max=1000000"`
}

// Request bounds one request.
type Request struct {
	MaxBody document.Size `yaml:"max_body" validate:"min=1024,max=4194304"`
	// MaxAnswer bounds the answer of a plain service, and the text of a generation.
	MaxAnswer document.Size `yaml:"max_answer" validate:"min=1024,max=67108864"`
	// MaxTokens bounds the generated tokens of one answer.
	MaxTokens int `yaml:"max_tokens" validate:"min=1,max=1000000"`
	// MaxDeadline bounds the deadline that a caller may ask for.
	MaxDeadline time.Duration `yaml:"max_deadline" validate:"min=1s,max=1h"`
}

// Retry bounds the attempts of one request and of all together.
type Retry struct {
	MaxAttempts int `yaml:"max_attempts" validate:"min=1,max=10"`
	// Budget is the share of recent successes that may be spent on retries, 0 to 1.
	Budget     float64       `yaml:"budget" validate:"min=0,max=1"`
	MinBackoff time.Duration `yaml:"min_backoff" validate:"min=1ms,max=10s"`
	MaxBackoff time.Duration `yaml:"max_backoff" validate:"min=1ms,max=1m"`
}

// Objectives say what placement aims at.
type Objectives struct {
	// GroupDowntime and StrandedAccelerators are weights: the cost of one second
	// of a replica that does not serve, and of one second of a healthy accelerator
	// in no serving replica.
	GroupDowntime        float64 `yaml:"group_downtime" validate:"min=0,max=1000000"`
	StrandedAccelerators float64 `yaml:"stranded_accelerators" validate:"min=0,max=1000"`
}

// Repair says how long placement waits before it changes a replica.
type Repair struct {
	// ReturnWait is how long a lost member is waited for at most.
	ReturnWait time.Duration `yaml:"return_wait" validate:"min=0s,max=1h"`
	// LoadTimeout is when a member that is still loading counts as failed.
	LoadTimeout time.Duration `yaml:"load_timeout" validate:"min=1s,max=2h"`
	// FlapLosses: a host lost this often within an hour is kept out of replicas for
	// FlapHold.
	FlapLosses int           `yaml:"flap_losses" validate:"min=1,max=100"`
	FlapHold   time.Duration `yaml:"flap_hold" validate:"min=0s,max=24h"`
	// StragglerFactor is how many times slower than its peers a host must be to
	// count as a straggler.
	StragglerFactor float64 `yaml:"straggler_factor" validate:"min=1.1,max=100"`
}

// Placement says whether hosts may be used.
type Placement struct {
	// Allowed is false for hosts that may join no replica.
	Allowed bool `yaml:"allowed"`
}

// Quarantine bounds requests that crash endpoints.
type Quarantine struct {
	// SuspectFor is how long a body in flight at a crash stays suspect.
	SuspectFor time.Duration `yaml:"suspect_for" validate:"min=1s,max=24h"`
	// RefuseFor is how long a body is refused after its second crash.
	RefuseFor time.Duration `yaml:"refuse_for" validate:"min=1s,max=168h"`
	// MaxEntries bounds the bodies held.
	MaxEntries int `yaml:"max_entries" validate:"min=1,max=100000"`
}

// Ledger bounds the at-most-once claims.
type Ledger struct {
	// Retention is how long a key is remembered after its request ended.
	Retention time.Duration `yaml:"retention" validate:"min=1m,max=168h"`
	MaxKeys   int           `yaml:"max_keys" validate:"min=1,max=10000000"`
	// MaxAnswer bounds a stored answer; a larger one is dropped and said so.
	MaxAnswer document.Size `yaml:"max_answer" validate:"min=1,max=1048576"`
	// MaxBytes bounds all stored answers together.
	MaxBytes document.Size `yaml:"max_bytes" validate:"min=1048576,max=1073741824"`
}

// DefaultValues are in force where a configuration says nothing.
func DefaultValues() Values {
	return Values{
		Limits: Limits{RequestsPerSecond: 50, TokensPerSecond: 20000, Concurrency: 200},
		Request: Request{
			MaxBody: 1 << 20, MaxAnswer: 4 << 20, MaxTokens: 8192, MaxDeadline: 10 * time.Minute,
		},
		Retry: Retry{
			MaxAttempts: 3, Budget: 0.1, MinBackoff: 20 * time.Millisecond, MaxBackoff: time.Second,
		},
		Objectives: Objectives{GroupDowntime: 1000, StrandedAccelerators: 1},
		Repair: Repair{
			ReturnWait: 30 * time.Second, LoadTimeout: 10 * time.Minute,
			FlapLosses: 3, FlapHold: 10 * time.Minute,
			StragglerFactor: 2,
		},
		Placement:  Placement{Allowed: true},
		Quarantine: Quarantine{SuspectFor: 10 * time.Minute, RefuseFor: time.Hour, MaxEntries: 1000},
		Ledger:     Ledger{Retention: 24 * time.Hour, MaxKeys: 200000, MaxAnswer: 16 << 10, MaxBytes: 64 << 20},
	}
}
