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
	renewEvery    = time.Second
	lease         = 3 * time.Second
	shareLifetime = lease + 300*time.Millisecond
)

// limit is the team's limit, in requests per second over the whole fleet.
const limit = 200

const scouts = "scouts"

// testEntry simulates the lease and the quota of an entry.
type testEntry struct {
	id       host.ID
	sequence uint64
	demand   float64
	quota    *admission.Quota
	leaseEnd time.Time
	// grants are the grants in flight, in order.
	grants []grantInFlight
	// partitionedUntil is when a partition ends.
	partitionedUntil time.Time
	dead             bool
}

// grantInFlight is a grant that arrives at a later time.
type grantInFlight struct {
	at, leaseEnd time.Time
	shares       map[string]float64
}

func newTestEntry(id host.ID, demand float64) *testEntry {
	e := &testEntry{id: id, demand: demand, quota: admission.NewQuota()}
	e.quota.SetLimits(map[team.ID]admission.Limits{scouts: {RequestsPerSecond: limit}})
	return e
}

// shareInUse applies the grants that have arrived and the end of the lease, and returns
// the share in use.
func (e *testEntry) shareInUse(now time.Time) float64 {
	for len(e.grants) > 0 && !now.Before(e.grants[0].at) {
		e.quota.SetShares(now, e.grants[0].shares)
		e.leaseEnd = e.grants[0].leaseEnd
		e.grants = e.grants[1:]
	}
	if e.dead || !now.Before(e.leaseEnd) {
		e.quota.DropShares()
	}
	return e.quota.Shares()[scouts]
}

// renew sends a renewal whose grant arrives after a delay, or never if that is negative.
func (e *testEntry) renew(now time.Time, a *Allocator, delay time.Duration) {
	e.sequence++
	e.shareInUse(now)
	granted := a.Renew(now, message.Renewal{
		Host: e.id, Sequence: e.sequence,
		Demand: map[string]float64{scouts: e.demand}, Shares: e.quota.Shares(),
	})
	if granted == nil || delay < 0 {
		return
	}
	at := now.Add(delay)
	if n := len(e.grants); n > 0 && e.grants[n-1].at.After(at) {
		at = e.grants[n-1].at
	}
	e.grants = append(e.grants, grantInFlight{at: at, leaseEnd: now.Add(lease), shares: granted})
}

// take offers n requests and returns how many are accepted.
func (e *testEntry) take(now time.Time, n int) int {
	taken := 0
	for range n {
		if _, ok := e.quota.Take(now, scouts, 1); ok {
			taken++
		}
	}
	return taken
}

// TestSharesNeverExceedLimit simulates entries that die, are partitioned, lose grants
// and move their traffic at random, and changes of the leader. The shares in use must
// never exceed the limit, and in each 20 s the requests accepted by all entries must
// stay within the limit and the burst of one second.
func TestSharesNeverExceedLimit(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(0, 0)
		a := newAllocator(now)
		entries := make([]*testEntry, 5)
		for i := range entries {
			entries[i] = newTestEntry(host.ID(fmt.Sprint("entry-", i)), 10)
		}
		taken := 0
		for step := range 4000 {
			if step%400 == 0 {
				require.LessOrEqual(t, taken, (20+1)*limit, "seed %d step %d", seed, step)
				taken = 0
			}
			now = now.Add(50 * time.Millisecond)
			if rng.IntN(400) == 0 {
				a = newAllocator(now)
			}
			for i, e := range entries {
				if rng.IntN(20) == 0 {
					e.demand = rng.Float64() * 2 * limit
				}
				if rng.IntN(500) == 0 {
					e.partitionedUntil = now.Add(time.Duration(rng.IntN(6000)) * time.Millisecond)
				}
				if rng.IntN(800) == 0 {
					e.dead = !e.dead
				}
				due := (step+i*3)%int(renewEvery/(50*time.Millisecond)) == 0
				if due && !e.dead && !now.Before(e.partitionedUntil) {
					e.renew(now, a, grantDelay(rng))
				}
			}
			total := 0.0
			for _, e := range entries {
				total += e.shareInUse(now)
				if !e.dead {
					taken += e.take(now, int(e.demand/20))
				}
			}
			require.LessOrEqual(t, total, 1+1e-9, "seed %d step %d", seed, step)
		}
	}
}

// grantDelay draws how long a grant takes. Some are lost, and some arrive after the next
// renewal.
func grantDelay(rng *rand.Rand) time.Duration {
	switch n := rng.IntN(5); {
	case n == 0:
		return -1
	case n <= 2:
		return time.Duration(rng.Int64N(int64(2 * renewEvery)))
	default:
		return 0
	}
}

func newAllocator(now time.Time) *Allocator {
	a := New(now, shareLifetime)
	a.SetTeams([]string{scouts})
	return a
}

// TestSharesFollowTrafficAndDeadEntries bounds how long a share cannot be used after the
// traffic has moved to another entry, and after an entry has died.
func TestSharesFollowTrafficAndDeadEntries(t *testing.T) {
	now := time.Unix(0, 0)
	a := newAllocator(now)
	one := newTestEntry("one", 100)
	two := newTestEntry("two", 0)
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
	require.Greater(t, one.shareInUse(now), 0.9)
	one.demand, two.demand = 0, 100
	moved := run(time.Minute, func() bool { return two.shareInUse(now) >= 0.8 })
	require.LessOrEqual(t, moved, 5*renewEvery)
	one.dead = true
	died := run(time.Minute, func() bool { return two.shareInUse(now) >= 0.999 })
	require.LessOrEqual(t, died, shareLifetime+renewEvery)
	t.Logf("80 %% of the limit usable %v after the traffic moved, all of it %v after the other entry died", moved, died)
}
