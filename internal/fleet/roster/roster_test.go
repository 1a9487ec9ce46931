package roster

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var noon = time.Unix(1_000_000, 0)

func endpoint(id string, startedMs int64, sequence uint64) Endpoint {
	return Endpoint{ID: id, Service: "s", Address: "10.0.0.1:80", Slots: 4, StartedMs: startedMs, Sequence: sequence}
}

func TestLateAndDuplicateAnnouncementsChangeNothing(t *testing.T) {
	var r Roster
	require.Equal(t, ChangeContent, r.Announce(endpoint("a", 1, 5), noon))
	require.Equal(t, ChangeNone, r.Announce(endpoint("a", 1, 5), noon))
	require.Equal(t, ChangeNone, r.Announce(endpoint("a", 1, 4), noon))
	require.Equal(t, ChangeLiveness, r.Announce(endpoint("a", 1, 6), noon.Add(time.Second)))
	got, _ := r.Get("a")
	require.Equal(t, noon.Add(time.Second), got.LastSeen)
	require.True(t, got.Unchanged)
}

func TestLaterIncarnationReplacesEarlierOne(t *testing.T) {
	var r Roster
	r.Announce(endpoint("a", 1, 50), noon)
	require.Equal(t, ChangeContent, r.Announce(endpoint("a", 2, 1), noon))
	require.Equal(t, ChangeNone, r.Announce(endpoint("a", 1, 51), noon))
}

func TestAddressBelongsToLatestIncarnation(t *testing.T) {
	var r Roster
	r.Announce(endpoint("old", 1, 5), noon)
	require.Equal(t, ChangeContent, r.Announce(endpoint("new", 2, 1), noon))
	old, _ := r.Get("old")
	require.Equal(t, StateLeft, old.State)
	require.Equal(t, ChangeNone, r.Announce(endpoint("old", 1, 6), noon), "a late announcement of the earlier incarnation")
	got, _ := r.Get("new")
	require.Equal(t, StateReady, got.State)
}

func TestSignOffEndsIncarnationForGood(t *testing.T) {
	for _, startedMs := range []int64{0, 1} {
		var r Roster
		r.Announce(endpoint("a", 1, 5), noon)
		require.Equal(t, ChangeContent, r.Announce(Endpoint{ID: "a", State: StateLeft, StartedMs: startedMs}, noon))
		got, _ := r.Get("a")
		require.Equal(t, StateLeft, got.State)
		require.Equal(t, "10.0.0.1:80", got.Address)
		require.Equal(t, ChangeNone, r.Announce(endpoint("a", 1, 6), noon), "a late announcement")
		require.Equal(t, ChangeContent, r.Announce(endpoint("a", 2, 1), noon), "a new incarnation")
	}
}

func TestLateSignOffOfEarlierIncarnationChangesNothing(t *testing.T) {
	var r Roster
	r.Announce(endpoint("a", 2, 1), noon)
	require.Equal(t, ChangeNone, r.Announce(Endpoint{ID: "a", State: StateLeft, StartedMs: 1}, noon))
}

func TestEveryChangedAttributeIsContent(t *testing.T) {
	for name, change := range map[string]func(*Endpoint){
		"state":  func(e *Endpoint) { e.State = StateDraining },
		"model":  func(e *Endpoint) { e.Model = "m" },
		"staged": func(e *Endpoint) { e.Staged = []string{"m"} },
		"member": func(e *Endpoint) { e.Member = &Membership{Replica: "r", State: MemberOpen} },
		"slots":  func(e *Endpoint) { e.Slots = 9 },
	} {
		t.Run(name, func(t *testing.T) {
			var r Roster
			r.Announce(endpoint("a", 1, 1), noon)
			next := endpoint("a", 1, 2)
			change(&next)
			require.Equal(t, ChangeContent, r.Announce(next, noon))
		})
	}
}

func TestForgetDropsEndpointsThatLeftLongAgo(t *testing.T) {
	var r Roster
	r.Announce(endpoint("a", 1, 1), noon)
	r.Announce(Endpoint{ID: "a", State: StateLeft}, noon)
	r.Forget(noon.Add(time.Minute), time.Minute)
	require.Len(t, r.All(), 1, "a late announcement may still come")
	r.Forget(noon.Add(10*time.Minute), time.Minute)
	require.Empty(t, r.All())
}

func TestServingHeadIsOpenWithRankZero(t *testing.T) {
	e := endpoint("a", 1, 1)
	require.False(t, e.IsServingHead())
	e.Member = &Membership{Rank: 0, State: MemberOpen}
	require.True(t, e.IsServingHead())
	e.Member = &Membership{Rank: 1, State: MemberOpen}
	require.False(t, e.IsServingHead())
	e.Member = &Membership{Rank: 0, State: MemberClosing}
	require.False(t, e.IsServingHead())
}

// TestRosterIsBounded guards against an endpoint that announces ever new IDs until the process has no memory left, and
// against one that displaces others by that.
func TestRosterIsBounded(t *testing.T) {
	var r Roster
	now := time.Unix(1_000_000, 0)
	sound := Endpoint{ID: "sound", Service: "s", Address: "10.0.0.1:80", StartedMs: 1, Sequence: 1}
	require.Equal(t, ChangeContent, r.Announce(sound, now))
	for i := range 2 * maxEntries {
		now = now.Add(time.Millisecond)
		r.Announce(Endpoint{ID: fmt.Sprint("e", i), Service: "s", Address: "10.0.0.2:80", StartedMs: int64(i + 1), Sequence: 1}, now)
	}
	require.Len(t, r.All(), maxEntries)
	_, known := r.Get("sound")
	require.True(t, known)
	last, _ := r.Get(fmt.Sprint("e", 2*maxEntries-1))
	require.Equal(t, StateReady, last.State)
	for i := range maxEntries {
		r.Announce(Endpoint{ID: fmt.Sprint("f", i), Service: "s", Address: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250), StartedMs: 1, Sequence: 1}, now)
	}
	require.Len(t, r.All(), maxEntries)
	require.Equal(t, ChangeNone, r.Announce(Endpoint{ID: "g", Service: "s", Address: "10.0.0.3:80", StartedMs: 1, Sequence: 1}, now), "all of them serve")
	require.Equal(t, ChangeLiveness, r.Announce(Endpoint{ID: "sound", Service: "s", Address: "10.0.0.1:80", StartedMs: 1, Sequence: 2}, now))
}

// TestColderEndpointIsNews guards against an endpoint that becomes cold again without anyone hearing of it, and against a change with each
// announcement of one whose remaining time counts down, also if announcements are late.
func TestColderEndpointIsNews(t *testing.T) {
	var r Roster
	announce := func(sequence uint64, coldMs int64, after time.Duration) Change {
		e := endpoint("a", 1, sequence)
		e.ColdMs = coldMs
		return r.Announce(e, noon.Add(after))
	}
	require.Equal(t, ChangeContent, announce(1, 3000, 0))
	require.Equal(t, ChangeLiveness, announce(2, 2000, time.Second))
	require.Equal(t, ChangeLiveness, announce(3, 1000, 2400*time.Millisecond))
	require.Equal(t, ChangeLiveness, announce(4, 0, 4*time.Second))
	require.Equal(t, ChangeContent, announce(5, 3000, 5*time.Second))
	require.Equal(t, ChangeContent, announce(6, 3000, 6*time.Second), "cold again")
}

// TestUnlistedIsBounded guards against another writer that announces ever new IDs until the process has no memory left, or until the
// endpoints that still announce themselves are not known any more.
func TestUnlistedIsBounded(t *testing.T) {
	var u Unlisted
	now := noon
	for i := range 3 * maxUnlisted {
		now = now.Add(time.Millisecond)
		if i%1000 == 0 {
			u.Announce(Endpoint{ID: "sound", Service: "s", StartedMs: 1, Sequence: uint64(i + 1)}, now, true)
		}
		u.Announce(Endpoint{ID: fmt.Sprint("e", i), Service: "s", StartedMs: 1, Sequence: 1}, now, true)
	}
	require.Equal(t, maxUnlisted, u.Len())
	taken := u.Take(func(service string) bool { return service == "s" })
	require.True(t, slices.ContainsFunc(taken, func(e UnlistedEntry) bool { return e.ID == "sound" }))
	require.Zero(t, u.Len())
}
