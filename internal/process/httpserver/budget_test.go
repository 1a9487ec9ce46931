package httpserver

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/process/logging"
	"github.com/egretreach/egretreach/internal/process/settings"
)

// newTestAccount returns an open account that records its eviction.
func newTestAccount(t *testing.T, b *Budget, cost int64) *account {
	a := &account{evict: func() {}}
	require.True(t, b.open(a))
	require.True(t, b.set(a, cost))
	return a
}

// TestLargestAndNewestGoFirst guards against ordinary callers who are refused or closed while others hold much.
func TestLargestAndNewestGoFirst(t *testing.T) {
	const large = 1 << 20
	b := NewBudget(BudgetOptions{Memory: 4 * large})
	older, newer := newTestAccount(t, b, large), newTestAccount(t, b, large)
	huge := newTestAccount(t, b, 2*large-connCost)
	ordinary := newTestAccount(t, b, connCost)
	require.True(t, b.set(ordinary, ordinaryCost))
	require.True(t, huge.evicted, "the largest goes first")
	require.False(t, older.evicted || newer.evicted)
	b.close(huge)

	newTestAccount(t, b, large)
	require.True(t, b.set(newTestAccount(t, b, connCost), large/2))
	require.True(t, b.set(ordinary, large/2))
	require.False(t, older.evicted, "the newest of equal ones goes first")
}

// TestLargestRefusesItself guards against a new large caller who ends the requests of smaller ones.
func TestLargestRefusesItself(t *testing.T) {
	b := NewBudget(BudgetOptions{Memory: 1 << 20})
	small := newTestAccount(t, b, 600<<10)
	large := newTestAccount(t, b, connCost)
	require.False(t, b.set(large, 700<<10))
	require.False(t, small.evicted)
	require.EqualValues(t, connCost, large.cost, "a refused change changes nothing")
}

// TestMemoryOfLeavingCallersIsBounded guards against memory that grows because closed connections release theirs later than new ones
// take it.
func TestMemoryOfLeavingCallersIsBounded(t *testing.T) {
	const memory = 4 << 20
	b := NewBudget(BudgetOptions{Memory: memory})
	var all []*account
	for range 100 {
		a := &account{evict: func() {}}
		if b.open(a) {
			all = append(all, a)
			b.set(a, int64(500<<10-len(all)))
		}
		require.LessOrEqual(t, b.held, int64(memory+memory/overshootShare+100*connCost))
	}
	ordinary := &account{evict: func() {}}
	require.True(t, b.open(ordinary))
	require.True(t, b.set(ordinary, ordinaryCost), "an ordinary caller is served all the same")
	for _, a := range append(all, ordinary) {
		b.close(a)
		b.close(a)
	}
	require.Zero(t, b.held)
	require.Zero(t, b.leaving)
}

// FuzzBudget guards against memory that is never given back, and against a limit that is exceeded.
func FuzzBudget(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 200, 100, 50, 7, 9})
	f.Fuzz(func(t *testing.T, steps []byte) {
		const memory = 1 << 20
		b := NewBudget(BudgetOptions{Memory: memory})
		var open []*account
		for i, step := range steps {
			switch {
			case step%4 == 0 || len(open) == 0:
				if a := (&account{evict: func() {}}); b.open(a) {
					open = append(open, a)
				}
			case step%4 == 1:
				at := i % len(open)
				b.close(open[at])
				open = append(open[:at], open[at+1:]...)
			default:
				b.set(open[i%len(open)], connCost+int64(step)<<12)
			}
			sum, leaving := int64(0), int64(0)
			for _, a := range open {
				sum += a.cost
				if a.evicted {
					leaving += a.cost
				}
			}
			require.Equal(t, sum, b.held)
			require.Equal(t, leaving, b.leaving)
			require.LessOrEqual(t, b.held-b.leaving, int64(memory))
		}
		for _, a := range open {
			b.close(a)
		}
		require.Zero(t, b.held)
		require.Empty(t, b.accounts)
	})
}

// TestRefusalsAreLoggedRarely guards against hostile callers that fill the log, and against refusals that no line tells of.
func TestRefusalsAreLoggedRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		b := NewBudget(BudgetOptions{Logger: logging.New(settings.Log{Format: "json"}, &out)})
		b.countRefusal()
		for range 1000 {
			b.countRefusal()
		}
		require.Equal(t, 1, strings.Count(out.String(), "\n"))
		time.Sleep(logInterval)
		b.countRefusal()
		require.Equal(t, 2, strings.Count(out.String(), "\n"))
		require.Contains(t, out.String(), `"refused":1001`)
	})
}
