package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/request"
)

func newBudget(policy Policy) *Budget { return New(rand.New(rand.NewPCG(1, 1)), policy) }

func TestDecideRetriesOrGivesUpWithAReason(t *testing.T) {
	now := time.Unix(0, 0)
	notRun := Failure{Outcome: request.OutcomeNotRun, Attempt: 1}
	cases := []struct {
		name    string
		change  func(*Failure)
		reason  Reason
		outcome request.Outcome
	}{
		{"proved not run", func(*Failure) {}, "", ""},
		{"idempotent", func(f *Failure) { f.Outcome, f.Idempotent = request.OutcomeUnknown, true }, "", ""},
		{"may have run", func(f *Failure) { f.Outcome = request.OutcomeUnknown }, ReasonMayHaveRun, request.OutcomeUnknown},
		{"no outcome is unknown", func(f *Failure) { f.Outcome = "" }, ReasonMayHaveRun, request.OutcomeUnknown},
		{"attempts", func(f *Failure) { f.Attempt = DefaultMaxAttempts }, ReasonAttempts, request.OutcomeNotRun},
		{"min duration exceeds the time left", func(f *Failure) { f.Deadline, f.MinDuration = now.Add(time.Second), time.Second }, ReasonDeadline, request.OutcomeNotRun},
		{"retry-after of the replica is past the deadline", func(f *Failure) { f.Deadline, f.RetryAfter = now.Add(time.Second), time.Second }, ReasonDeadline, request.OutcomeNotRun},
	}
	for _, c := range cases {
		f := notRun
		c.change(&f)
		decision := newBudget(Policy{}).Decide(now, f)
		if c.reason == "" {
			require.IsType(t, Retry{}, decision, c.name)
			continue
		}
		gaveUp, ok := decision.(GiveUp)
		require.True(t, ok, c.name)
		require.Equal(t, c.reason, gaveUp.Reason, c.name)
		require.Equal(t, c.outcome, gaveUp.Outcome, c.name)
		require.Positive(t, gaveUp.RetryAfter, c.name)
	}
}

// TestRefusedRetryTakesNoAttemptAndNoToken checks that a retry which was refused before it ran is
// repeated with the attempts and the budget used up, and that its backoff grows.
func TestRefusedRetryTakesNoAttemptAndNoToken(t *testing.T) {
	b := newBudget(Policy{MaxTokens: 1})
	lost := Failure{Outcome: request.OutcomeUnknown, Idempotent: true, Attempt: 1}
	require.IsType(t, Retry{}, b.Decide(time.Unix(0, 0), lost))
	longest := time.Duration(0)
	for n := range request.Attempt(20) {
		refused := Failure{Outcome: request.OutcomeNotRun, Idempotent: true, Attempt: DefaultMaxAttempts, Refusals: n + 1}
		retry, ok := b.Decide(time.Unix(0, 0), refused).(Retry)
		require.True(t, ok)
		longest = max(longest, retry.Delay)
	}
	require.Zero(t, b.Tokens())
	require.Greater(t, longest, DefaultMaxBackoff/2)
	require.LessOrEqual(t, longest, DefaultMaxBackoff)
	refused := Failure{Outcome: request.OutcomeNotRun, Idempotent: true, Refusals: 1, Deadline: time.Unix(0, 0)}
	require.IsType(t, GiveUp{}, b.Decide(time.Unix(0, 0), refused), "the deadline still ends it")
}

func TestBackoffIsJitteredAndBounded(t *testing.T) {
	b := newBudget(Policy{MaxTokens: 1e9, MaxAttempts: 100})
	for attempt := request.Attempt(1); attempt < 20; attempt++ {
		seen := make(map[time.Duration]bool)
		for range 50 {
			retry := b.Decide(time.Unix(0, 0), Failure{Outcome: request.OutcomeNotRun, Attempt: attempt}).(Retry)
			require.LessOrEqual(t, retry.Delay, min(DefaultMaxBackoff, DefaultBaseBackoff<<(attempt-1)))
			seen[retry.Delay] = true
		}
		require.Greater(t, len(seen), 40, "the delays must be spread")
	}
}
