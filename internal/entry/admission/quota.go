package admission

import (
	"math"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/team"
)

// Limits are the limits of one team over the whole fleet. Zero means unlimited.
type Limits struct {
	// RequestsPerSecond and TokensPerSecond limit the rate of accepted work.
	RequestsPerSecond float64
	TokensPerSecond   float64
	// Concurrency limits the requests in flight at once, including those that wait in a
	// Queue.
	Concurrency int
}

// quotaBurst is the depth of a bucket as a time: that much of an unused rate
// accumulates and may be used at once.
const quotaBurst = time.Second

// Quota enforces the limits of teams at one entry. The entry holds a share of each
// limit. Control grants the shares in leases, so that the shares of all entries never
// add up to more than 1. Create it with NewQuota.
type Quota struct {
	limits map[team.ID]Limits
	teams  map[team.ID]*teamUsage
}

// teamUsage is what a team has used at this entry.
type teamUsage struct {
	share    float64
	requests tokenBucket
	tokens   tokenBucket
	inFlight int
	// demand is the number of requests offered since the last call of Demand.
	demand float64
}

// NewQuota returns a Quota that holds no share of any limit.
func NewQuota() *Quota {
	return &Quota{limits: make(map[team.ID]Limits), teams: make(map[team.ID]*teamUsage)}
}

// SetLimits replaces the limits of all teams. A team without an entry is unlimited.
func (q *Quota) SetLimits(limits map[team.ID]Limits) { q.limits = limits }

// SetShares sets the shares granted by a lease. A team without an entry keeps its
// share.
func (q *Quota) SetShares(now time.Time, shares map[string]float64) {
	for id, share := range shares {
		u := q.usage(team.ID(id))
		limits := q.limits[team.ID(id)]
		if u.share > 0 {
			u.requests.refill(now, limits.RequestsPerSecond*u.share)
			u.tokens.refill(now, limits.TokensPerSecond*u.share)
		}
		u.share = min(1, max(0, share))
	}
}

// Shares returns the shares held, to be reported with the next renewal.
func (q *Quota) Shares() map[string]float64 {
	shares := make(map[string]float64, len(q.teams))
	for id, u := range q.teams {
		if u.share > 0 {
			shares[string(id)] = u.share
		}
	}
	return shares
}

// DropShares drops all shares; it is called when the entry's lease has expired.
func (q *Quota) DropShares() {
	for _, u := range q.teams {
		u.share = 0
	}
}

// Take charges a request to the limits of its team, or refuses it and returns false. An
// accepted request counts against the team's concurrency until Release. While the entry
// holds no share of a team's limits, it refuses every request of the team, unless the team
// is unlimited.
func (q *Quota) Take(now time.Time, id team.ID, tokens float64) (Refused, bool) {
	u := q.usage(id)
	u.demand++
	limits := q.limits[id]
	if limits.Concurrency > 0 && u.inFlight >= concurrencyShare(limits.Concurrency, u.share) {
		return Refused{Code: CodeTeamConcurrency, RetryAfter: minRetryAfter}, false
	}
	requestRate := limits.RequestsPerSecond * u.share
	tokenRate := limits.TokensPerSecond * u.share
	if wait := u.requests.wait(now, limits.RequestsPerSecond, requestRate, 1); wait > 0 {
		return Refused{Code: CodeTeamRequests, RetryAfter: clampRetryAfter(wait)}, false
	}
	if wait := u.tokens.wait(now, limits.TokensPerSecond, tokenRate, tokens); wait > 0 {
		return Refused{Code: CodeTeamTokens, RetryAfter: clampRetryAfter(wait)}, false
	}
	u.requests.level--
	u.tokens.level -= tokens
	u.inFlight++
	return Refused{}, true
}

// Release ends a request. extra is the number of tokens that it used beyond those that
// Take charged; it is negative if it used fewer.
func (q *Quota) Release(id team.ID, extra float64) {
	u := q.usage(id)
	u.inFlight = max(0, u.inFlight-1)
	u.tokens.level -= extra
}

// Demand returns the requests offered per second by team since the last call, which was
// elapsed ago.
func (q *Quota) Demand(elapsed time.Duration) map[string]float64 {
	demand := make(map[string]float64, len(q.teams))
	for id, u := range q.teams {
		if u.demand > 0 && elapsed > 0 {
			demand[string(id)] = u.demand / elapsed.Seconds()
		}
		u.demand = 0
	}
	return demand
}

func (q *Quota) usage(id team.ID) *teamUsage {
	u := q.teams[id]
	if u == nil {
		u = &teamUsage{}
		q.teams[id] = u
	}
	return u
}

// concurrencyShare returns the entry's part of a concurrency limit. An entry that holds
// any share may run at least one request, so the entries together may exceed a small
// limit, by at most one for each entry but the first.
func concurrencyShare(limit int, share float64) int {
	if share <= 0 {
		return 0
	}
	return max(1, int(math.Floor(float64(limit)*share+1e-9)))
}

// clampRetryAfter returns the Retry-After of a request that must wait for a bucket.
func clampRetryAfter(wait time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, wait))
}

// tokenBucket is a token bucket that one large request may overdraw.
type tokenBucket struct {
	level      float64
	refilledAt time.Time
}

func (b *tokenBucket) refill(now time.Time, rate float64) {
	depth := rate * quotaBurst.Seconds()
	if b.refilledAt.IsZero() {
		b.level = depth
	} else {
		b.level += rate * max(0, now.Sub(b.refilledAt).Seconds())
	}
	b.level = min(b.level, depth)
	b.refilledAt = now
}

// wait returns how long a request must wait for the bucket; 0 means that it may start now. A limit
// of 0 means unlimited. A rate of 0 means that the entry holds no share; the wait is then one
// second. One request may take the bucket below zero, so that a request larger than the burst can
// pass.
func (b *tokenBucket) wait(now time.Time, limit, rate, amount float64) time.Duration {
	if limit <= 0 {
		b.level = 0
		b.refilledAt = now
		return 0
	}
	b.refill(now, rate)
	need := min(amount, rate*quotaBurst.Seconds())
	if rate > 0 && b.level >= need {
		return 0
	}
	if rate <= 0 {
		return time.Second
	}
	return seconds((need - b.level) / rate)
}
