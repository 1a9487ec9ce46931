package config

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/document"
)

// Values are the settings that have a default for the whole fleet and that an exception
// may change for a part of it.
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

// Limits bound the requests of one team in the whole fleet.
type Limits struct {
	RequestsPerSecond float64 `yaml:"requests_per_second" validate:"gt=0,max=1000000"`
	// TokensPerSecond counts prompt tokens and generated tokens. A call of a plain service
	// counts as one token.
	TokensPerSecond float64 `yaml:"tokens_per_second" validate:"gt=0,max=100000000"`
	// Concurrency bounds the requests in flight at the same time.
	Concurrency int `yaml:"concurrency" validate:"min=1,max=1000000"`
}

// Request bounds one request.
type Request struct {
	MaxBody document.Size `yaml:"max_body" validate:"min=1024,max=4194304"`
	// MaxAnswer bounds the answer of a plain service and the text of a generation.
	MaxAnswer document.Size `yaml:"max_answer" validate:"min=1024,max=67108864"`
	// MaxTokens bounds the generated tokens of one answer.
	MaxTokens int `yaml:"max_tokens" validate:"min=1,max=1000000"`
	// MaxDeadline bounds the deadline that a caller may request.
	MaxDeadline time.Duration `yaml:"max_deadline" validate:"min=1s,max=1h"`
}

// Retry bounds the attempts of one request and the retries of all requests together.
type Retry struct {
	MaxAttempts int `yaml:"max_attempts" validate:"min=1,max=10"`
	// Budget is the number of retries allowed per recent success, 0 to 1. 0 counts as
	// retry.DefaultTokenRatio of internal/entry/retry.
	Budget     float64       `yaml:"budget" validate:"min=0,max=1"`
	MinBackoff time.Duration `yaml:"min_backoff" validate:"min=1ms,max=10s"`
	MaxBackoff time.Duration `yaml:"max_backoff" validate:"min=1ms,max=1m"`
}

// Objectives are the costs that placement minimizes.
type Objectives struct {
	// GroupDowntime is the cost of one second in which a replica does not serve, and
	// StrandedAccelerators that of one second of a healthy accelerator that is in no
	// serving replica.
	GroupDowntime        float64 `yaml:"group_downtime" validate:"min=0,max=1000000"`
	StrandedAccelerators float64 `yaml:"stranded_accelerators" validate:"min=0,max=1000"`
}

// Repair configures when placement changes a replica.
type Repair struct {
	// ReturnWait bounds the wait for a lost member to return; 0 means no limit.
	ReturnWait time.Duration `yaml:"return_wait" validate:"min=0s,max=1h"`
	// LoadTimeout is the loading time after which a member counts as missing.
	LoadTimeout time.Duration `yaml:"load_timeout" validate:"min=1s,max=2h"`
	// FlapLosses is the number of losses within an hour from which a host is kept out of
	// replicas until it has been alive for FlapHold.
	FlapLosses int `yaml:"flap_losses" validate:"min=1,max=100"`
	// FlapHold doubles with each loss above FlapLosses, up to a limit of placement.
	FlapHold time.Duration `yaml:"flap_hold" validate:"min=0s,max=24h"`
	// StragglerFactor is how many times slower than its peers a host must be to count as
	// a straggler.
	StragglerFactor float64 `yaml:"straggler_factor" validate:"min=1.1,max=100"`
}

// Placement configures which hosts may be used.
type Placement struct {
	// Allowed is false for hosts that must not join a replica.
	Allowed bool `yaml:"allowed"`
}

// Quarantine configures the quarantine of request bodies that crash engines.
type Quarantine struct {
	// SuspectFor is how long a body that was in flight at a crash remains suspect.
	SuspectFor time.Duration `yaml:"suspect_for" validate:"min=1s,max=24h"`
	// RefuseFor is how long a body is refused after its second crash. Each further crash
	// doubles that, up to a limit of the quarantine.
	RefuseFor time.Duration `yaml:"refuse_for" validate:"min=1s,max=168h"`
	// MaxEntries bounds the bodies that are kept.
	MaxEntries int `yaml:"max_entries" validate:"min=1,max=100000"`
}

// Ledger bounds the at-most-once claims.
type Ledger struct {
	// Retention is how long a key is kept after its request completed.
	Retention time.Duration `yaml:"retention" validate:"min=1m,max=168h"`
	MaxKeys   int           `yaml:"max_keys" validate:"min=1,max=10000000"`
	// MaxAnswer bounds a stored answer. Instead of a larger one, only its status is kept, and a
	// resend is told that the answer is not kept.
	MaxAnswer document.Size `yaml:"max_answer" validate:"min=1,max=1048576"`
	// MaxBytes bounds all stored answers together.
	MaxBytes document.Size `yaml:"max_bytes" validate:"min=1048576,max=1073741824"`
}

// DefaultValues returns the values in force where a configuration sets none.
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
