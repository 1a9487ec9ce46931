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

// fill opens ordinary accounts, and changes the last one's cost, until they and all others hold what they may.
func fill(t *testing.T, b *Budget) []*account {
	var all []*account
	for left := withOvershoot(b.opts.Memory) - b.held; left > 0; left = withOvershoot(b.opts.Memory) - b.held {
		all = append(all, newTestAccount(t, b, min(left, ordinaryCost)))
	}
	return all
}

// TestLargestAndNewestGoFirst guards against ordinary callers who are refused or closed while others hold much.
func TestLargestAndNewestGoFirst(t *testing.T) {
	const large = 1 << 20
	b := NewBudget(BudgetOptions{Memory: 4 * large})
	older, newer := newTestAccount(t, b, large), newTestAccount(t, b, large)
	huge := newTestAccount(t, b, 2*large-connCost)
	others := fill(t, b)
	require.False(t, huge.evicted, "nobody has to go")
	ordinary := newTestAccount(t, b, connCost)
	require.True(t, b.set(ordinary, ordinaryCost))
	require.True(t, huge.evicted, "the largest goes first")
	require.False(t, older.evicted || newer.evicted)
	for _, a := range append(others, huge) {
		b.close(a)
	}

	newTestAccount(t, b, large)
	require.True(t, b.set(newTestAccount(t, b, connCost), large/2))
	require.True(t, b.set(ordinary, large/2))
	require.False(t, older.evicted, "the newest of equal ones goes first")
}

// TestNobodyIsClosedInVain guards against connections that are closed for a caller who is refused all the same, and against ordinary
// connections that are closed.
func TestNobodyIsClosedInVain(t *testing.T) {
	const memory = 1 << 20
	b := NewBudget(BudgetOptions{Memory: memory})
	all := []*account{newTestAccount(t, b, connCost)}
	for range memory/ordinaryCost - 1 {
		all = append(all, newTestAccount(t, b, ordinaryCost))
	}
	for range (ordinaryCost - connCost) / connCost {
		all = append(all, newTestAccount(t, b, connCost))
	}
	require.EqualValues(t, memory, b.held)
	require.True(t, b.setBegun(all[0], ordinaryCost+connCost), "a response that is not read")
	require.True(t, b.open(&account{evict: func() {}}), "its connection has left room for an ordinary one")
	require.False(t, b.open(&account{evict: func() {}}), "ordinary ones fill the memory")
	require.False(t, b.set(all[1], 2*ordinaryCost), "a header larger than ordinary ones")
	for i, a := range all {
		require.False(t, a.evicted, "connection %d", i)
	}
}

// TestRequestsThatHaveBegunMayExceedTheMemory guards against running requests that are ended since newer callers have filled the memory, and
// against more of them than there is memory for.
func TestRequestsThatHaveBegunMayExceedTheMemory(t *testing.T) {
	const memory, begunCost = 1 << 20, 2 * connCost
	b := NewBudget(BudgetOptions{Memory: memory})
	var all []*account
	for range memory / connCost {
		all = append(all, newTestAccount(t, b, connCost))
	}
	served := 0
	for _, a := range all {
		require.False(t, b.set(a, connCost+1), "a header can be refused")
		if b.setBegun(a, begunCost) {
			served++
		} else {
			require.False(t, b.setBegun(a, connCost+1))
		}
	}
	require.Equal(t, memory/overshootShare/(begunCost-connCost), served)
	require.EqualValues(t, withOvershoot(memory), b.held)
	for i, a := range all {
		require.False(t, a.evicted, "connection %d", i)
	}
}

// TestHeaderThatMostServersTakeIsOrdinary guards against requests that are ended for newer callers because their headers carry some
// kilobytes, such as the parts of a prompt.
func TestHeaderThatMostServersTakeIsOrdinary(t *testing.T) {
	const size, lines = 8 << 10, 30
	line := strings.Repeat("x", size/lines-len("X-Part: \r\n"))
	var m meter
	m.read([]byte("POST / HTTP/1.1\r\nHost: h\r\n"), true)
	for range lines - 1 {
		m.read([]byte("X-Part: "+line+"\r\n"), true)
	}
	m.read([]byte("\r\n"), true)
	require.LessOrEqual(t, connCost+m.cost(), int64(ordinaryCost))
}

// TestReservedConnectionsHaveNoRoomForLargeHeaders guards against callers who exceed the memory by way of the pages for probes.
func TestReservedConnectionsHaveNoRoomForLargeHeaders(t *testing.T) {
	const memory = 1 << 20
	b := NewBudget(BudgetOptions{Memory: memory})
	for range memory / connCost {
		newTestAccount(t, b, connCost)
	}
	probe := &account{evict: func() {}, reserved: true}
	require.True(t, b.open(probe))
	require.True(t, b.set(probe, ordinaryCost))
	require.False(t, b.set(probe, ordinaryCost+1))
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
	require.Zero(t, b.ordinary)
}

// FuzzBudget guards against memory that is never given back, against a limit that is exceeded, and against ordinary connections that are
// closed for others.
func FuzzBudget(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 200, 100, 50, 7, 9})
	f.Add([]byte{0, 0, 0, 0, 255, 255, 251, 247, 3, 2, 4, 4, 8, 254, 250, 6, 7, 5, 0, 0})
	f.Fuzz(func(t *testing.T, steps []byte) {
		const memory = 1 << 20
		b := NewBudget(BudgetOptions{Memory: memory})
		var open []*account
		for i, step := range steps {
			switch {
			case step%4 == 0 || len(open) == 0:
				a := &account{}
				a.evict = func() { require.Greater(t, a.cost, int64(ordinaryCost)) }
				if b.open(a) {
					open = append(open, a)
					require.LessOrEqual(t, b.ordinary, int64(memory))
				}
			case step%4 == 1:
				at := i % len(open)
				b.close(open[at])
				open = append(open[:at], open[at+1:]...)
			case step%4 == 2:
				setInFuzz(t, b, open[i%len(open)], connCost+int64(step)<<12)
			default:
				b.setBegun(open[i%len(open)], connCost+int64(step)<<12)
			}
			requireSums(t, b, open)
			require.LessOrEqual(t, b.held-b.leaving, withOvershoot(memory))
		}
		for _, a := range open {
			b.close(a)
		}
		requireSums(t, b, nil)
		require.Empty(t, b.accounts)
	})
}

// setInFuzz sets the cost of a for a header, and checks the limit for it if it has grown.
func setInFuzz(t *testing.T, b *Budget, a *account, cost int64) {
	grows := cost > a.cost
	switch {
	case !b.set(a, cost) || !grows:
	case a.isOrdinary():
		require.LessOrEqual(t, b.ordinary, b.opts.Memory)
	default:
		require.LessOrEqual(t, b.held-b.leaving, b.opts.Memory)
	}
}

// requireSums checks the sums of a budget with the given accounts.
func requireSums(t *testing.T, b *Budget, open []*account) {
	var sum, leaving, ordinary int64
	for _, a := range open {
		sum += a.cost
		switch {
		case a.evicted:
			leaving += a.cost
		case a.cost <= ordinaryCost:
			ordinary += a.cost
		}
	}
	require.Equal(t, sum, b.held)
	require.Equal(t, leaving, b.leaving)
	require.Equal(t, ordinary, b.ordinary)
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
