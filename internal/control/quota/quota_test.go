package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/entry/admission"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/team"
	"github.com/egretreach/egretreach/internal/link/message"
)

const (
	renewEvery = time.Second
	lease      = 3 * time.Second
	hold       = lease + 300*time.Millisecond
)

// limit is the team's limit, in requests per second over the whole fleet.
const limit = 200

const scouts = "scouts"

// holder is an entry as far as its leases and its quota go.
type holder struct {
	id       host.ID
	sequence uint64
	demand   float64
	quota    *admission.Quota
	leaseEnd time.Time
	// grants are on their way, in order.
	grants []delivery
	// silentUntil is when a partition ends.
	silentUntil time.Time
	dead        bool
}

// delivery is a grant on its way.
type delivery struct {
	at, leaseEnd time.Time
	shares       map[string]float64
}

func newHolder(id host.ID, demand float64) *holder {
	h := &holder{id: id, demand: demand, quota: admission.NewQuota()}
	h.quota.SetLimits(map[team.ID]admission.Limits{scouts: {RequestsPerSecond: limit}})
	return h
}

// using returns the share in use, after the lease was looked at.
func (h *holder) using(now time.Time) float64 {
	for len(h.grants) > 0 && !now.Before(h.grants[0].at) {
		h.quota.SetShares(now, h.grants[0].shares)
		h.leaseEnd = h.grants[0].leaseEnd
		h.grants = h.grants[1:]
	}
	if h.dead || !now.Before(h.leaseEnd) {
		h.quota.DropShares()
	}
	return h.quota.Shares()[scouts]
}

// renew sends a renewal whose grant takes a while, or is lost if that is negative.
func (h *holder) renew(now time.Time, a *Allocator, grantTakes time.Duration) {
	h.sequence++
	h.using(now)
	granted := a.Renew(now, message.Renewal{
		Host: h.id, Sequence: h.sequence,
		Demand: map[string]float64{scouts: h.demand}, Shares: h.quota.Shares(),
	})
	if granted == nil || grantTakes < 0 {
		return
	}
	at := now.Add(grantTakes)
	if n := len(h.grants); n > 0 && h.grants[n-1].at.After(at) {
		at = h.grants[n-1].at
	}
	h.grants = append(h.grants, delivery{at: at, leaseEnd: now.Add(lease), shares: granted})
}

// take offers n requests and returns how many pass.
func (h *holder) take(now time.Time, n int) int {
	taken := 0
	for range n {
		if _, ok := h.quota.Take(now, scouts, 1); ok {
			taken++
		}
	}
	return taken
}

// TestSharesNeverExceedTheLimit lets entries die, fall silent, lose grants and move
// their traffic at random, and the leader change. What all entries take together
// stays within the limit and a second's burst, over each 20 s.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(0, 0)
		a := newTerm(now)
		holders := make([]*holder, 5)
		for i := range holders {
			holders[i] = newHolder(host.ID(fmt.Sprint("entry-", i)), 10)
		}
		taken := 0
		for step := range 4000 {
			if step%400 == 0 {
				require.LessOrEqual(t, taken, (20+1)*limit, "seed %d step %d", seed, step)
				taken = 0
			}
			now = now.Add(50 * time.Millisecond)
			if rng.IntN(400) == 0 {
				a = newTerm(now)
			}
			for i, h := range holders {
				if rng.IntN(20) == 0 {
					h.demand = rng.Float64() * 2 * limit
				}
				if rng.IntN(500) == 0 {
					h.silentUntil = now.Add(time.Duration(rng.IntN(6000)) * time.Millisecond)
				}
				if rng.IntN(800) == 0 {
					h.dead = !h.dead
				}
				due := (step+i*3)%int(renewEvery/(50*time.Millisecond)) == 0
				if due && !h.dead && !now.Before(h.silentUntil) {
					h.renew(now, a, grantTime(rng))
				}
			}
			total := 0.0
			for _, h := range holders {
				total += h.using(now)
				if !h.dead {
					taken += h.take(now, int(h.demand/20))
				}
			}
			require.LessOrEqual(t, total, 1+1e-9, "seed %d step %d", seed, step)
		}
	}
}

// grantTime draws how long a grant takes: some are lost, some overtaken by a renewal.
func grantTime(rng *rand.Rand) time.Duration {
	switch n := rng.IntN(5); {
	case n == 0:
		return -1
	case n <= 2:
		return time.Duration(rng.Int64N(int64(2 * renewEvery)))
	default:
		return 0
	}
}

func newTerm(now time.Time) *Allocator {
	a := New(now, hold)
	a.SetTeams([]string{scouts})
	return a
}

// TestSharesFollowTraffic states the error on the other side: how long a share is
// not usable after an entry dies or its traffic moves.
func TestSharesFollowTraffic(t *testing.T) {
	now := time.Unix(0, 0)
	a := newTerm(now)
	one := newHolder("one", 100)
	two := newHolder("two", 0)
	run := func(until time.Duration, done func() bool) time.Duration {
		began := now
		for now.Sub(began) < until && !done() {
			now = now.Add(renewEvery / 2)
			if !one.dead {
				one.renew(now, a, 0)
			}
			now = now.Add(renewEvery / 2)
			two.renew(now, a, 0)
		}
		return now.Sub(began)
	}
	run(10*time.Second, func() bool { return false })
	require.Greater(t, one.using(now), 0.9)
	one.demand, two.demand = 0, 100
	moved := run(time.Minute, func() bool { return two.using(now) >= 0.8 })
	require.LessOrEqual(t, moved, 5*renewEvery)
	one.dead = true
	died := run(time.Minute, func() bool { return two.using(now) >= 0.999 })
	require.LessOrEqual(t, died, hold+renewEvery)
	t.Logf("80 %% of the limit usable %v after the traffic moved, all of it %v after the other entry died", moved, died)
}
