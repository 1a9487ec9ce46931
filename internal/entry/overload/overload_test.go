package overload

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var noon = time.Unix(1_000_000, 0)

// TestCompare guards against a late request before one that can still meet its objective, a new one before a returned one of its rank,
// and a less urgent one before a more urgent one.
func TestCompare(t *testing.T) {
	want := []Turn{
		{Resumed: true, Priority: 9},
		{Returned: true, Tag: 7},
		{Tag: 1, Since: noon.Add(time.Second)},
		{Tag: 2, Since: noon},
		{Priority: 1, Returned: true, Tag: 9},
		{Priority: 1},
		{Late: true, Since: noon},
		{Late: true, Since: noon.Add(time.Second), Returned: true},
		{Late: true, Priority: 1},
	}
	got := slices.Clone(want)
	slices.Reverse(got)
	slices.SortStableFunc(got, Compare)
	require.Equal(t, want, got)
}

// TestLateUntil guards against a wait that is longer than the caller's timeout or than a part of its remaining time.
func TestLateUntil(t *testing.T) {
	for _, c := range []struct {
		objective, gap, deadline, want time.Duration
	}{
		{400 * time.Millisecond, 100 * time.Millisecond, 10 * time.Second, 1400 * time.Millisecond},
		{time.Second, 0, 10 * time.Second, 2800 * time.Millisecond},
		{400 * time.Millisecond, 500 * time.Millisecond, 10 * time.Second, 2800 * time.Millisecond},
		{400 * time.Millisecond, 0, time.Second, 500 * time.Millisecond},
	} {
		require.Equal(t, c.want, LateUntil(noon, noon.Add(c.deadline), c.objective, c.gap).Sub(noon))
	}
}

// TestPromisesFollowTheForecast guards against more promises than capacity: with 10 places a second for returns, no second gets more
// than these, all refused at the same instant.
func TestPromisesFollowTheForecast(t *testing.T) {
	var b Book
	perSecond := map[time.Duration]int{}
	reserved := 0
	for range 200 {
		after, ok := b.Promise(Ask{PerSecond: 20, Share: 0.5, MostUrgent: true, ServeLate: true, Usable: 4 * time.Second}, noon)
		require.GreaterOrEqual(t, after, minReturn)
		if ok {
			require.LessOrEqual(t, after, 4*time.Second)
			perSecond[after.Truncate(time.Second)]++
			reserved++
		}
	}
	require.InDelta(t, 37, reserved, 3, "the room from 0.25 s to 4 s")
	for at, count := range perSecond {
		require.LessOrEqual(t, count, 11, "promises for %v", at)
	}
}

// TestLowerForecastMovesPromises guards against promises of capacity that was lost: afterwards the same book gives later times, and earlier
// promises count against the remaining capacity.
func TestLowerForecastMovesPromises(t *testing.T) {
	var b Book
	ask := Ask{PerSecond: 20, Share: 0.5, MostUrgent: true, ServeLate: true, Usable: 5 * time.Second}
	for range 10 {
		b.Promise(ask, noon)
	}
	before := b
	full, _ := before.Promise(ask, noon)
	ask.PerSecond = 10
	half, _ := b.Promise(ask, noon)
	require.Greater(t, half, full)
}

// TestPatientReturns guards against callers that return at once into the overload for which they were refused, although a late response
// has little value: without ServeLate none returns before minPatientReturn.
func TestPatientReturns(t *testing.T) {
	var b Book
	for _, rate := range []float64{0, 2, 20, 1000} {
		after, _ := b.Promise(Ask{PerSecond: rate, Share: 0.5, Usable: 5 * time.Second}, noon)
		require.GreaterOrEqual(t, after, minPatientReturn, "%v", rate)
	}
}

// TestPromiseWithAbsurdForecast guards against a return time that is missing, negative or far in the future when a forecast is late
// or wrong.
func TestPromiseWithAbsurdForecast(t *testing.T) {
	for _, rate := range []float64{0, -1, 1e-300, 1e300, math.Inf(1), math.NaN()} {
		for _, waiting := range []int{0, 1 << 40} {
			var b Book
			after, _ := b.Promise(Ask{PerSecond: rate, Share: 0.5, Waiting: waiting, Usable: 3 * time.Second, Spread: 0.9}, noon)
			require.GreaterOrEqual(t, after, minReturn, "%v", rate)
			require.LessOrEqual(t, after, bookHorizon+2*time.Second, "%v", rate)
		}
	}
}

// TestBookFollowsTheClock guards against a book that stops advancing after a pause of the process or a step of the clock.
func TestBookFollowsTheClock(t *testing.T) {
	var b Book
	ask := Ask{PerSecond: 20, Share: 0.5, MostUrgent: true, ServeLate: true, Usable: 5 * time.Second}
	for _, at := range []time.Duration{0, time.Hour, 0, time.Second, -time.Hour} {
		for range 100 {
			b.Promise(ask, noon.Add(at))
		}
		after, reserved := b.Promise(ask, noon.Add(at+30*time.Second))
		require.True(t, reserved, "%v", at)
		require.LessOrEqual(t, after, time.Second, "%v", at)
	}
}

// TestForecastShrinksWithLostHeads guards against a forecast that includes the throughput of lost heads.
func TestForecastShrinksWithLostHeads(t *testing.T) {
	var s Scope
	now := noon
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		s.ObserveHeads(6, now)
		s.Placed(Caller{}, 0, false, now)
	}
	require.InDelta(t, 50, s.PerSecond(now), 5)
	require.False(t, s.CapacityLost())
	s.ObserveHeads(3, now)
	require.InDelta(t, 25, s.PerSecond(now), 3)
	require.True(t, s.CapacityLost())
	until := now.Add(time.Second)
	require.True(t, s.MayWait(Caller{}, 15, until, now))
	require.False(t, s.MayWait(Caller{}, 30, until, now))
	require.False(t, s.MayWait(Caller{Returned: true}, 30, until, now), "a returned one after a loss")
	require.False(t, s.MayWait(Caller{}, 0, now, now), "a wait that has ended")
}

// TestReturnedCallerIsQueued guards against a second refusal of a caller that was promised a place.
func TestReturnedCallerIsQueued(t *testing.T) {
	var s Scope
	now := noon
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		s.ObserveHeads(6, now)
		s.Placed(Caller{}, 0, false, now)
	}
	require.False(t, s.MayWait(Caller{}, 60, now.Add(time.Second), now))
	require.True(t, s.MayWait(Caller{Returned: true}, 60, now.Add(time.Second), now))
}

// TestShortRankIsLeftRoom guards against a less urgent rank that occupies the heads while a more urgent one is short of capacity,
// and against its starvation: it is owed a place after ten of the other.
func TestShortRankIsLeftRoom(t *testing.T) {
	var s Scope
	urgent := Caller{Team: "a", Objective: 400 * time.Millisecond}
	patient := Caller{Team: "b", Priority: 2, Objective: time.Second}
	now := noon
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		s.Arrived(urgent, now)
		s.Arrived(patient, now)
	}
	require.Equal(t, urgent.Objective, s.Reserve(patient, now))
	require.Zero(t, s.Reserve(urgent, now))
	for range 50 {
		s.Placed(urgent, s.TakeTag(urgent), false, now)
	}
	priority, owed := s.Owed()
	require.True(t, owed)
	require.Equal(t, 2, priority)
	require.Zero(t, s.Reserve(patient, now))
	for range 3 {
		s.Placed(patient, s.TakeTag(patient), false, now)
	}
	_, owed = s.Owed()
	require.False(t, owed)
}

// TestIdleTeamSavesNoShare guards against a team that takes all places after an idle time because it had none during that time.
func TestIdleTeamSavesNoShare(t *testing.T) {
	var f fairShare
	for range 1000 {
		f.served(f.take("busy"))
	}
	for range 4 {
		require.InDelta(t, f.take("busy"), f.take("idle"), 1.01)
	}
}

// TestSessionNamesAreBounded guards against memory that grows with the session names that callers send.
func TestSessionNamesAreBounded(t *testing.T) {
	var s teamShares
	for i := range 10 * maxTeams {
		s.offer(string(rune(i)), noon)
	}
	require.LessOrEqual(t, len(s.teams), maxTeams)
}
