package ledger

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/link/message"
)

var start = time.UnixMilli(1_000_000)

func item(key string, r byte, attempt request.Attempt) message.ClaimItem {
	return message.ClaimItem{
		Team: "jordan", Key: key, KeyHash: []byte("body"), Request: request.ID{r}, Attempt: attempt, Host: "a1",
	}
}

func settlement(c message.ClaimItem, outcome request.Outcome, answer *message.Answer) message.SettleItem {
	return message.SettleItem{
		Team: c.Team, Key: c.Key, Request: c.Request, Attempt: c.Attempt, Outcome: outcome, Answer: answer,
	}
}

func ExampleLedger() {
	var l Ledger
	tag := item("tag-rack-7", 1, 1)
	fmt.Println(l.Claim(start, tag).State)
	fmt.Println(l.Claim(start, item("tag-rack-7", 2, 1)).State)
	l.Settle(start, settlement(tag, request.OutcomeComplete, &message.Answer{Status: 201}))
	fmt.Println(l.Claim(start, item("tag-rack-7", 3, 1)).Answer.Status)
	// Output:
	// granted
	// running
	// 201
}

func TestFullLedgerRefusesClaimsUntilRetentionEnds(t *testing.T) {
	l := Ledger{Policy: Policy{MaxClaims: 2, CompleteRetention: time.Hour, PendingRetention: 2 * time.Hour}}
	done := item("a", 1, 1)
	l.Claim(start, done)
	l.Settle(start, settlement(done, request.OutcomeComplete, nil))
	l.Claim(start, item("b", 2, 1))
	require.Equal(t, message.ClaimFull, l.Claim(start.Add(59*time.Minute), item("c", 3, 1)).State)
	require.Equal(t, message.ClaimComplete, l.Claim(start.Add(59*time.Minute), item("a", 4, 1)).State)
	require.Equal(t, message.ClaimGranted, l.Claim(start.Add(time.Hour), item("c", 3, 1)).State)
	require.Equal(t, message.ClaimRunning, l.Claim(start.Add(119*time.Minute), item("b", 5, 1)).State)
	require.Equal(t, message.ClaimGranted, l.Claim(start.Add(2*time.Hour), item("b", 5, 1)).State)
	require.False(t, l.Request(request.ID{2}).Found)
}

func TestClaimWithOtherBodyIsRefusedInEveryState(t *testing.T) {
	var l Ledger
	first := item("a", 1, 1)
	other := item("a", 2, 1)
	other.KeyHash = []byte("other")
	other.Supersedes = &message.Attested{Request: first.Request, Attempt: first.Attempt}
	l.Claim(start, first)
	for _, outcome := range []request.Outcome{request.OutcomeUnknown, request.OutcomeComplete} {
		require.Equal(t, message.ClaimMismatch, l.Claim(start, other).State)
		require.True(t, l.Settle(start, settlement(first, outcome, nil)))
	}
	require.Equal(t, message.ClaimMismatch, l.Claim(start, other).State)
}

func TestAnswersOverTheLimitsAreMarkedDropped(t *testing.T) {
	l := Ledger{Policy: Policy{MaxAnswerBytes: 10, MaxAnswersBytes: 15}}
	for i, c := range []struct {
		bytes   int
		dropped bool
	}{{11, true}, {10, false}, {6, true}, {5, false}} {
		claim := item(strconv.Itoa(i), byte(i+1), 1)
		l.Claim(start, claim)
		l.Settle(start, settlement(claim, request.OutcomeComplete, &message.Answer{Status: 200, Body: make([]byte, c.bytes)}))
		answer := l.Claim(start, item(claim.Key, 99, 1)).Answer
		require.Equal(t, c.dropped, answer.BodyDropped, "answer of %d bytes", c.bytes)
		require.Equal(t, 200, answer.Status)
	}
	l.Expire(start.Add(DefaultCompleteRetention))
	require.Zero(t, l.answersBytes)
}

func numberedItem(n int) message.ClaimItem {
	c := item(fmt.Sprintf("%032d", n), 0, 1)
	binary.BigEndian.PutUint64(c.Request[:], uint64(n+1))
	c.KeyHash = make([]byte, 32)
	c.Address = "10.0.0.1:7000"
	return c
}

// BenchmarkClaim applies claims and their settlements, and measures the memory that
// each claim in the ledger takes.
func BenchmarkClaim(b *testing.B) {
	l := Ledger{Policy: Policy{MaxClaims: 1 << 30}}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	n := 0
	for b.Loop() {
		c := numberedItem(n)
		n++
		l.Claim(start, c)
		l.Settle(start, settlement(c, request.OutcomeComplete, &message.Answer{Status: 201}))
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(l.Len()), "state-B/claim")
	b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "claims/s")
}
