package attempt

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/link/message"
)

const incarnation = 7

// TestNotRunAttestationIsNeverContradicted applies random events to a table that is
// so small that it drops most records. An attempt reported as not run must never
// start, and an attempt that started must never be reported as not run. An
// at-most-once attempt must not start twice.
func TestNotRunAttestationIsNeverContradicted(t *testing.T) {
	outcomes := []request.Outcome{request.OutcomeComplete, request.OutcomeNotRun, request.OutcomeUnknown}
	attestations, refusals := 0, 0
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		table := New(incarnation, Limits{Running: 5, AtMostOnceRecords: 6, IdempotentRecords: 4, TotalBytes: 20, MaxAnswerBytes: 8})
		started, attested, running := map[message.Ref]bool{}, map[message.Ref]bool{}, map[message.Ref]bool{}
		now := time.Unix(0, 0)
		for range 500 {
			now = now.Add(time.Duration(rng.IntN(200)) * time.Second)
			ref := message.Ref{Request: request.ID{byte(rng.IntN(40))}, Attempt: 1}
			atMostOnce := ref.Request[0]%2 == 0
			switch rng.IntN(4) {
			case 0:
				if table.Accept(ref, atMostOnce) != nil {
					refusals++
				}
			case 1:
				if table.Start(ref) == nil {
					require.False(t, attested[ref], "seed %d: started after it was reported as not run", seed)
					require.False(t, started[ref] && atMostOnce, "seed %d: started twice", seed)
					started[ref], running[ref] = true, true
				}
			case 2:
				if r := table.records[ref]; r != nil {
					outcome := outcomes[rng.IntN(len(outcomes))]
					if running[ref] && outcome == request.OutcomeNotRun {
						outcome = request.OutcomeUnknown
					}
					table.End(ref, outcome, &message.Answer{Body: make([]byte, rng.IntN(10))}, now)
					delete(running, ref)
				}
			case 3:
				ask := &message.Ask{Ref: ref, Incarnation: incarnation, Tombstone: rng.IntN(2) == 0, AtMostOnce: atMostOnce}
				result, _ := table.Ask(ask, 1)
				if result.State == message.AskNotRun {
					require.False(t, started[ref], "seed %d: reported as not run after it started", seed)
					attested[ref] = true
					attestations++
				}
			}
			require.LessOrEqual(t, len(table.records), 5+6+4)
			require.LessOrEqual(t, table.keptBytes, 20)
		}
	}
	require.Positive(t, attestations)
	require.Positive(t, refusals)
}

func TestKeptAnswersStayWithinLimits(t *testing.T) {
	start := time.Unix(0, 0)
	table := New(incarnation, Limits{TotalBytes: 10, MaxAnswerBytes: 6, AnswerAge: time.Minute})
	ask := func(n byte) *message.Answer {
		ref := message.Ref{Request: request.ID{n}}
		result, pending := table.Ask(&message.Ask{Ref: ref, Incarnation: incarnation, Wait: true}, 1)
		require.False(t, pending)
		require.Equal(t, message.AskComplete, result.State)
		return result.Answer
	}
	end := func(n byte, body string, now time.Time) {
		ref := message.Ref{Request: request.ID{n}}
		require.NoError(t, table.Accept(ref, true))
		require.NoError(t, table.Start(ref))
		table.End(ref, request.OutcomeComplete, &message.Answer{Status: 201, Body: []byte(body)}, now)
	}
	end(1, "12345", start)
	end(2, "1234567", start)
	require.Equal(t, "12345", string(ask(1).Body))
	require.Equal(t, message.Answer{Status: 201, BodyDropped: true}, *ask(2), "too large to keep")
	end(3, "12345", start)
	end(4, "1", start)
	require.True(t, ask(1).BodyDropped, "the oldest answer is dropped first")
	require.Equal(t, "12345", string(ask(3).Body))
	table.Expire(start.Add(time.Minute))
	require.True(t, ask(3).BodyDropped, "older than AnswerAge")
	require.Zero(t, table.keptBytes)
}

// Example shows an Ask that waits for a running attempt to end.
func Example() {
	table := New(incarnation, Limits{})
	ref := message.Ref{Request: request.ID{1}, Attempt: 1}
	_ = table.Accept(ref, true)
	_ = table.Start(ref)
	ask := &message.Ask{Ref: ref, Incarnation: incarnation, Tombstone: true, Wait: true}
	result, pending := table.Ask(ask, 42)
	fmt.Println(result.State, pending)
	for _, d := range table.End(ref, request.OutcomeComplete, &message.Answer{Status: 201}, time.Unix(0, 0)) {
		fmt.Println(d.Waiter, d.Result.State, d.Result.Answer.Status)
	}
	// Output:
	// running true
	// 42 complete 201
}
