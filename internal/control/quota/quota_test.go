package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
)

const (
	renewEvery = time.Second
	lease      = 3 * time.Second
	hold       = lease + 300*time.Millisecond
)

// holder is a fake entry: it keeps the shares of its lease and drops them when that ends.
type holder struct {
	id       host.ID
	sequence uint64
	demand   float64
	share    float64
	leaseEnd time.Time
	// silentUntil is when a partition ends.
	silentUntil time.Time
	dead        bool
}

func (h *holder) using(now time.Time) float64 {
	if h.dead || !now.Before(h.leaseEnd) {
		return 0
	}
	return h.share
}

func (h *holder) renew(now time.Time, a *Allocator, lostGrant bool) {
	h.sequence++
	held := map[string]float64{}
	if s := h.using(now); s > 0 {
		held["scouts"] = s
	}
	granted := a.Renew(now, message.Renewal{
		Host: h.id, Sequence: h.sequence,
		Demand: map[string]float64{"scouts": h.demand}, Shares: held,
	})
	if granted == nil || lostGrant {
		return
	}
	h.share, h.leaseEnd = granted["scouts"], now.Add(lease)
}

// TestSharesNeverExceedTheLimit lets entries die, fall silent, lose grants and move
// their traffic at random, and the leader change.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(0, 0)
		a := newTerm(now)
		holders := make([]*holder, 5)
		for i := range holders {
			holders[i] = &holder{id: host.ID(fmt.Sprint("entry-", i)), demand: 10}
		}
		for step := range 4000 {
			now = now.Add(50 * time.Millisecond)
			if rng.IntN(400) == 0 {
				a = newTerm(now)
			}
			for i, h := range holders {
				if rng.IntN(300) == 0 {
					h.demand = rng.Float64() * 100
				}
				if rng.IntN(500) == 0 {
					h.silentUntil = now.Add(time.Duration(rng.IntN(6000)) * time.Millisecond)
				}
				if rng.IntN(800) == 0 {
					h.dead = !h.dead
					h.share = 0
				}
				due := (step+i*3)%int(renewEvery/(50*time.Millisecond)) == 0
				if due && !h.dead && !now.Before(h.silentUntil) {
					h.renew(now, a, rng.IntN(20) == 0)
				}
			}
			total := 0.0
			for _, h := range holders {
				total += h.using(now)
			}
			require.LessOrEqual(t, total, 1+1e-9, "seed %d step %d", seed, step)
		}
	}
}

func newTerm(now time.Time) *Allocator {
	a := New(now, hold)
	a.SetTeams([]string{"scouts"})
	return a
}

// TestSharesFollowTraffic states the error on the other side: how long a share is
// not usable after an entry dies or its traffic moves.
func TestSharesFollowTraffic(t *testing.T) {
	now := time.Unix(0, 0)
	a := newTerm(now)
	one := &holder{id: "one", demand: 100}
	two := &holder{id: "two"}
	run := func(until time.Duration, done func() bool) time.Duration {
		began := now
		for now.Sub(began) < until && !done() {
			now = now.Add(renewEvery / 2)
			if !one.dead {
				one.renew(now, a, false)
			}
			now = now.Add(renewEvery / 2)
			two.renew(now, a, false)
		}
		return now.Sub(began)
	}
	run(10*time.Second, func() bool { return false })
	require.Greater(t, one.share, 0.9)
	one.demand, two.demand = 0, 100
	moved := run(time.Minute, func() bool { return two.share >= 0.8 })
	require.LessOrEqual(t, moved, 5*renewEvery)
	one.dead = true
	died := run(time.Minute, func() bool { return two.share >= 0.999 })
	require.LessOrEqual(t, died, hold+renewEvery)
	t.Logf("80 %% of the limit usable %v after the traffic moved, all of it %v after the other entry died", moved, died)
}
