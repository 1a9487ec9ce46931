package roster

import (
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
