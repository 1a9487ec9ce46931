package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/fleet/team"
)

var epoch = time.Unix(1000, 0)

func req(n byte, id team.ID) Request {
	return Request{ID: request.ID{n}, Team: id, Class: team.ClassInteractive, Cost: 100}
}

func TestQueueOrdersByTeamShareThenPriorityThenArrival(t *testing.T) {
	q := NewQueue(Weights{}, 0)
	q.SetSlots(1)
	require.Equal(t, Admitted{}, q.Offer(epoch, req(0, "large")))
	urgent := req(9, "large")
	urgent.Priority = 1
	for _, r := range []Request{req(1, "large"), req(2, "large"), urgent, req(3, "small")} {
		require.IsType(t, Queued{}, q.Offer(epoch, r))
	}
	var order []byte
	for range 4 {
		q.Release(req(0, "large"), 0)
		next := q.Next(epoch)
		require.Len(t, next, 1)
		order = append(order, next[0].ID[0])
	}
	require.Equal(t, []byte{3, 9, 1, 2}, order, "the small team first, then by priority, then by arrival")
}

func TestQueueRefusesRequestsThatMissTheirDeadline(t *testing.T) {
	q := NewQueue(Weights{}, 0)
	q.SetSlots(1)
	q.Release(req(0, "a"), time.Second)
	r := req(1, "a")
	r.Deadline = epoch.Add(time.Second)
	refused, ok := q.Offer(epoch, r).(Refused)
	require.True(t, ok, "100 tokens take more than a second")
	require.Equal(t, CodeDeadline, refused.Code)

	require.Equal(t, Admitted{}, q.Offer(epoch, req(2, "a")))
	r.Deadline = epoch.Add(10 * time.Second)
	require.IsType(t, Queued{}, q.Offer(epoch, r))
	require.Empty(t, q.Expire(epoch.Add(time.Second)))
	expired := q.Expire(epoch.Add(9500 * time.Millisecond))
	require.Len(t, expired, 1)
	require.Equal(t, r.ID, expired[0].Request.ID)
	require.Positive(t, expired[0].Refused.RetryAfter)
	require.Zero(t, q.Waiting())
}

func TestFullQueueDisplacesTheLargestTeam(t *testing.T) {
	q := NewQueue(Weights{}, 3)
	for n := range byte(3) {
		require.IsType(t, Queued{}, q.Offer(epoch, req(n, "large")))
	}
	require.Equal(t, CodeQueueFull, q.Offer(epoch, req(8, "large")).(Refused).Code)
	queued := q.Offer(epoch, req(9, "small")).(Queued)
	require.Equal(t, request.ID{2}, queued.Displaced.Request.ID)
	require.Equal(t, 3, q.Waiting())
	require.True(t, q.Cancel(req(9, "small")))
	require.False(t, q.Cancel(req(9, "small")))
}

func TestQuotaLimitsRequestsTokensAndConcurrency(t *testing.T) {
	q := NewQuota()
	q.SetLimits(map[team.ID]Limits{"a": {RequestsPerSecond: 20, TokensPerSecond: 1000, Concurrency: 40}})
	take := func(now time.Time, tokens float64) Code {
		refused, _ := q.Take(now, "a", tokens)
		return refused.Code
	}
	require.Equal(t, CodeTeamConcurrency, take(epoch, 1), "no share, no work")
	_, free := q.Take(epoch, "unlimited", 1e9)
	require.True(t, free)
	q.SetShares(epoch, map[string]float64{"a": 0.5})
	at := epoch.Add(time.Second)
	for range 10 {
		require.Empty(t, take(at, 1))
	}
	require.Equal(t, CodeTeamRequests, take(at, 1))
	at = at.Add(time.Second)
	require.Empty(t, take(at, 2000), "larger than the burst passes alone")
	require.Equal(t, CodeTeamTokens, take(at.Add(time.Second), 1), "the excess is charged to later requests")
	require.Empty(t, take(at.Add(5*time.Second), 1))
	require.Equal(t, map[string]float64{"a": 0.5}, q.Shares())
	require.InDelta(t, 15.0/10, q.Demand(10 * time.Second)["a"], 1e-9)
	q.DropShares()
	require.Equal(t, CodeTeamConcurrency, take(at.Add(time.Minute), 1))
}

func TestLimiterGrowsWithinTargetsAndShrinksAbove(t *testing.T) {
	l := NewLimiter(8)
	now := epoch
	feed := func(windows int, ttft, gap time.Duration) int {
		for range windows * 20 {
			now = now.Add(limiterWindow / 19)
			l.Started(l.Limit())
			l.FirstToken(now, ttft)
			l.TokenGap(now, gap)
		}
		return l.Limit()
	}
	require.Greater(t, feed(5, time.Second, 50*time.Millisecond), 6)
	require.LessOrEqual(t, feed(60, time.Second, 2*TargetTokenGap), 1)
	require.Greater(t, feed(10, time.Second, 50*time.Millisecond), 4)
	require.LessOrEqual(t, feed(60, 2*TargetTTFT, 0), 1)
}

// TestLimiterRestoresLimitOfSlowEngine guards against an engine whose token gap is at the target at
// any concurrency and that is throttled to the lowest limit permanently.
func TestLimiterRestoresLimitOfSlowEngine(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLimiter(32)
	for range 120 * 100 {
		l.Started(l.Limit())
		l.TokenGap(now, TargetTokenGap)
		now = now.Add(10 * time.Millisecond)
	}
	require.Greater(t, l.Limit(), 8)
}
