package admission

import (
	"math"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/team"
)

// Limits are the limits of one team over the whole fleet. Zero is no limit.
type Limits struct {
	// RequestsPerSecond and TokensPerSecond bound what is taken.
	RequestsPerSecond float64
	TokensPerSecond   float64
	// Concurrency bounds what runs at once.
	Concurrency int
}

// quotaBurst is how much of a rate may be used at once after a pause.
const quotaBurst = time.Second

// Quota holds the limits of teams at one entry. The entry holds a share of each
// limit, which control gives out in leases so that the shares of all entries never
// come to more than 1. Create it with NewQuota.
type Quota struct {
	limits map[team.ID]Limits
	teams  map[team.ID]*usage
}

// usage is what a team has used at this entry.
type usage struct {
	share    float64
	requests bucket
	tokens   bucket
	running  int
	// demand counts the requests offered since the last Demand.
	demand float64
}

// NewQuota returns a Quota that holds no share of any limit.
func NewQuota() *Quota {
	return &Quota{limits: make(map[team.ID]Limits), teams: make(map[team.ID]*usage)}
}

// SetLimits replaces the limits of all teams. A team that is not named has none.
func (q *Quota) SetLimits(limits map[team.ID]Limits) { q.limits = limits }

// SetShares takes the shares of a lease. A team that is not named keeps its share.
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

// Shares returns the shares held, for the next renewal.
func (q *Quota) Shares() map[string]float64 {
	shares := make(map[string]float64, len(q.teams))
	for id, u := range q.teams {
		if u.share > 0 {
			shares[string(id)] = u.share
		}
	}
	return shares
}

// DropShares gives all shares up, when the entry's lease has run out.
func (q *Quota) DropShares() {
	for _, u := range q.teams {
		u.share = 0
	}
}

// Take counts a request against the limits of its team, or refuses it. A request
// taken holds a place in the team's concurrency until Release.
func (q *Quota) Take(now time.Time, id team.ID, tokens float64) (Refused, bool) {
	u := q.usage(id)
	u.demand++
	limits := q.limits[id]
	if limits.Concurrency > 0 && u.running >= portion(limits.Concurrency, u.share) {
		return Refused{Code: CodeTeamConcurrency, RetryAfter: minRetryAfter}, false
	}
	requestRate := limits.RequestsPerSecond * u.share
	tokenRate := limits.TokensPerSecond * u.share
	if wait := u.requests.wait(now, limits.RequestsPerSecond, requestRate, 1); wait > 0 {
		return Refused{Code: CodeTeamRequests, RetryAfter: clampRetry(wait)}, false
	}
	if wait := u.tokens.wait(now, limits.TokensPerSecond, tokenRate, tokens); wait > 0 {
		return Refused{Code: CodeTeamTokens, RetryAfter: clampRetry(wait)}, false
	}
	u.requests.level--
	u.tokens.level -= tokens
	u.running++
	return Refused{}, true
}

// Release gives the place of a request back. used is the number of tokens that it
// took beyond, or short of, those it was counted for.
func (q *Quota) Release(id team.ID, used float64) {
	u := q.usage(id)
	u.running = max(0, u.running-1)
	u.tokens.level -= used
}

// Demand returns the requests offered each second by team since the last call,
// which was elapsed ago.
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

func (q *Quota) usage(id team.ID) *usage {
	u := q.teams[id]
	if u == nil {
		u = &usage{}
		q.teams[id] = u
	}
	return u
}

// portion returns a share of a whole number of places. An entry that holds any
// share gets one place at least, so small limits may be passed by one at each
// entry but the first.
func portion(limit int, share float64) int {
	if share <= 0 {
		return 0
	}
	return max(1, int(math.Floor(float64(limit)*share+1e-9)))
}

func clampRetry(wait time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, wait))
}

// bucket is a token bucket. It may be overdrawn by one large request.
type bucket struct {
	level float64
	at    time.Time
}

func (b *bucket) refill(now time.Time, rate float64) {
	depth := rate * quotaBurst.Seconds()
	if b.at.IsZero() {
		b.level = depth
	} else {
		b.level += rate * max(0, now.Sub(b.at).Seconds())
	}
	b.level = min(b.level, depth)
	b.at = now
}

// wait returns how long a request must wait for the bucket, 0 if it may go. limit 0
// is no limit. The bucket may go below zero by what one request takes, so that a
// request larger than the burst can pass.
func (b *bucket) wait(now time.Time, limit, rate, amount float64) time.Duration {
	if limit <= 0 {
		b.level = 0
		b.at = now
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
