package warmup

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/fleet/routes"
)

var (
	noon  = time.Unix(7_000_000, 0)
	limit = routes.WarmUp{Time: 3 * time.Second, PerSecond: 32}
)

func announcement(startedMs int64) Announcement {
	return Announcement{Endpoint: roster.Endpoint{ID: "e", Service: "s", StartedMs: startedMs}, WarmUp: limit, Traffic: true, Direct: true}
}

// settled returns a tracker that has run for a while, in small steps, until noon.
func settled() *Tracker {
	t := &Tracker{MaxSilence: 3 * time.Second}
	step(t, noon.Add(-2*settleTime), noon)
	return t
}

func step(t *Tracker, from, to time.Time) {
	for at := from; !at.After(to); at = at.Add(50 * time.Millisecond) {
		t.Step(at)
	}
}

func remaining(t *Tracker, startedMs int64, now time.Time) time.Duration {
	return t.Remaining(roster.Incarnation{ID: "e", StartedMs: startedMs}, now)
}

// TestStartedEndpointIsColdWhateverItSays guards against an announcement without a time, or with one that is too short, that lets an
// endpoint that has just started get any number of requests, and against one that says more and is not believed.
func TestStartedEndpointIsColdWhateverItSays(t *testing.T) {
	for _, c := range []struct {
		announcedMs int64
		want        time.Duration
	}{{0, limit.Time}, {500, limit.Time}, {9000, 9 * time.Second}} {
		tr := settled()
		a := announcement(1)
		a.Endpoint.ColdMs = c.announcedMs
		require.True(t, tr.Announce(a, noon, noon))
		require.Equal(t, c.want, remaining(tr, 1, noon))
		require.Zero(t, remaining(tr, 1, noon.Add(c.want)))
		require.True(t, tr.AnyCold(noon))
		require.False(t, tr.AnyCold(noon.Add(c.want)))
		require.Zero(t, remaining(tr, 2, noon), "another incarnation")
		later := announcement(1)
		later.LastSeen = noon
		require.False(t, tr.Announce(later, noon.Add(time.Second), noon.Add(time.Second)), "nothing new")
		require.Equal(t, limit.Time-time.Second, remaining(tr, 1, noon.Add(time.Second)), "it announces no longer time any more")
	}
}

// TestNothingIsColdBeforeTraffic guards against a system that serves at the warm-up limit of all endpoints when its first callers come.
func TestNothingIsColdBeforeTraffic(t *testing.T) {
	tr := &Tracker{FirstStart: true}
	a := announcement(1)
	a.Traffic, a.Endpoint.ColdMs = false, 2000
	require.False(t, tr.Announce(a, noon, noon))
	require.Zero(t, remaining(tr, 1, noon))
	a.Traffic, a.Endpoint.ColdMs = true, 0
	a.LastSeen = noon
	require.False(t, tr.Announce(a, noon.Add(time.Second), noon.Add(time.Second)), "it has started before")
	require.True(t, tr.Announce(announcement(2), noon.Add(time.Second), noon.Add(time.Second)), "a restart while there is traffic")
}

// TestReturnAfterSilenceIsCold guards against an endpoint that was away, and is not noticed as such since its incarnation is the same, and
// against the silence of all endpoints that is that of this process or of the link to another control host.
func TestReturnAfterSilenceIsCold(t *testing.T) {
	for name, c := range map[string]struct {
		gap    time.Duration
		change func(tr *Tracker, a *Announcement)
		cold   bool
	}{
		"regular":            {time.Second, func(*Tracker, *Announcement) {}, false},
		"gap":                {4 * time.Second, func(*Tracker, *Announcement) {}, true},
		"taken for dead":     {time.Second, func(_ *Tracker, a *Announcement) { a.WasDead = true }, true},
		"forwarded":          {4 * time.Second, func(_ *Tracker, a *Announcement) { a.Direct = false }, false},
		"this process":       {4 * time.Second, func(tr *Tracker, _ *Announcement) { tr.Step(noon.Add(14 * time.Second)) }, false},
		"no warm-up limit":   {4 * time.Second, func(_ *Tracker, a *Announcement) { a.WarmUp = routes.WarmUp{} }, false},
		"it says that it is": {time.Second, func(_ *Tracker, a *Announcement) { a.Endpoint.ColdMs = 2500 }, true},
	} {
		t.Run(name, func(t *testing.T) {
			tr := settled()
			tr.Announce(announcement(1), noon, noon)
			step(tr, noon, noon.Add(10*time.Second))
			now := noon.Add(10*time.Second + c.gap)
			a := announcement(1)
			a.LastSeen = noon.Add(10 * time.Second)
			c.change(tr, &a)
			if name != "this process" {
				step(tr, noon.Add(10*time.Second), now)
			}
			require.Equal(t, c.cold, tr.Announce(a, now, now))
			require.Equal(t, c.cold, remaining(tr, 1, now) > 0)
		})
	}
}

// TestRestartedControlHostAssumesNothing guards against a control host that takes all endpoints for cold since it has just started, and
// against one that overlooks those that other hosts know.
func TestRestartedControlHostAssumesNothing(t *testing.T) {
	tr := &Tracker{MaxSilence: 3 * time.Second}
	tr.Step(noon)
	require.False(t, tr.Judges(noon))
	require.False(t, tr.Announce(announcement(1), noon, noon))
	require.True(t, tr.MarkCold(roster.Incarnation{ID: "e", StartedMs: 1}, time.Second, noon))
	require.False(t, tr.MarkCold(roster.Incarnation{ID: "e", StartedMs: 1}, time.Second, noon), "no news")
	require.False(t, tr.MarkCold(roster.Incarnation{ID: "other", StartedMs: 1}, time.Second, noon))
	require.Equal(t, time.Second, remaining(tr, 1, noon))
	require.True(t, tr.Announce(announcement(2), noon, noon), "a restart that it has seen")
	step(tr, noon, noon.Add(settleTime))
	require.True(t, tr.Judges(noon.Add(settleTime)))
}

// TestOneGatewayAloneIsBelievedOnce guards against a gateway without connections to sound endpoints that keeps them limited for all.
func TestOneGatewayAloneIsBelievedOnce(t *testing.T) {
	id := roster.Incarnation{ID: "e", StartedMs: 1}
	tr := settled()
	tr.Announce(announcement(1), noon, noon)
	now := noon.Add(5 * time.Second)
	require.True(t, tr.Report("a", id, limit.Time, now))
	now = now.Add(5 * time.Second)
	require.False(t, tr.Report("a", id, limit.Time, now))
	require.Zero(t, remaining(tr, 1, now))
	require.True(t, tr.Report("b", id, limit.Time, now.Add(time.Second)), "another gateway")
	require.True(t, tr.Report("a", id, limit.Time, now.Add(reportInterval)))
}
