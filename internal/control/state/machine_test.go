package state

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/egretreach/egretreach/internal/control/ledger"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
)

var start = time.UnixMilli(1_000_000)

func apply(t require.TestingT, m *Machine, now time.Time, c Command) Result {
	data, err := Encode(now, 0, c)
	require.NoError(t, err)
	return m.Apply(0, data).(Result)
}

func Example() {
	m := New()
	offer := func(operator, change string, base view.Revision) {
		data, _ := Encode(start, 0, ApplyConfig{YAML: []byte(change), Base: base, ChangeID: change, Operator: operator})
		fmt.Printf("%+v\n", m.Apply(0, data))
	}
	offer("amal", "more-replicas", 0)
	offer("dana", "new-version", 0)
	offer("amal", "more-replicas", 0)
	// Output:
	// {Accepted:true Revision:1 Conflict:}
	// {Accepted:false Revision:1 Conflict:change more-replicas by amal took revision 1}
	// {Accepted:true Revision:1 Conflict:}
}

// TestResentChangeGetsFirstResultAfterManyChanges checks that a change that is resent
// after hundreds of others gets its first result, and that its ID cannot be used for
// another configuration.
func TestResentChangeGetsFirstResultAfterManyChanges(t *testing.T) {
	m := New()
	change := func(n int) ApplyConfig {
		return ApplyConfig{YAML: fmt.Append(nil, n), Base: view.Revision(n), ChangeID: strconv.Itoa(n)}
	}
	for n := range 1000 {
		apply(t, m, start, change(n))
	}
	require.Equal(t, ConfigApplied{Accepted: true, Revision: 1}, apply(t, m, start, change(0)))
	other := change(0)
	other.YAML = []byte("other")
	require.Contains(t, apply(t, m, start, other).(ConfigApplied).Conflict, "another configuration")
	require.Equal(t, view.Revision(1000), m.Revision())
	_, _, kept := m.Config(1000 - maxTextsKept)
	require.False(t, kept)
	_, yaml, _ := m.Config(1001 - maxTextsKept)
	require.Equal(t, fmt.Append(nil, 1000-maxTextsKept), yaml)
}

// TestNoHostInTwoReplicas applies random commands, some of which do not fit the state
// like those of a leader that lags behind the log, and checks the invariants of the
// claims after each. A second machine, restored from a snapshot, must stay equal.
func TestNoHostInTwoReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		var fence replica.Fence
		fences := map[replica.ID]replica.Fence{}
		for range rapid.IntRange(1, 80).Draw(t, "commands") {
			c := drawCommand(t, m)
			copied := restored(t, m)
			result := apply(t, m, start, c)
			require.Equal(t, result, apply(t, copied, start, c))
			require.Equal(t, snapshotOf(t, m), snapshotOf(t, copied))
			if formed, ok := result.(Formed); ok {
				require.Greater(t, formed.Replica.Fence, fence, "fencing numbers must increase")
				require.NotContains(t, fences, formed.Replica.ID, "replica IDs must not be reused")
				fence = formed.Replica.Fence
				fences[formed.Replica.ID] = fence
			}
			checkClaims(t, m)
		}
	})
}

func snapshotOf(t require.TestingT, m *Machine) []byte {
	data, err := m.Snapshot()
	require.NoError(t, err)
	return data
}

func restored(t require.TestingT, m *Machine) *Machine {
	copied := New()
	require.NoError(t, copied.Restore(snapshotOf(t, m)))
	return copied
}

var hostIDs = []host.ID{"a1", "a2", "a3", "a4", "a5"}

func drawHosts(t *rapid.T) []host.ID {
	return rapid.SliceOfN(rapid.SampledFrom(hostIDs), 0, 3).Draw(t, "hosts")
}

func drawReplica(t *rapid.T, m *Machine) replica.ID {
	ids := []replica.ID{"gone-1"}
	for _, r := range m.Replicas() {
		ids = append(ids, r.ID)
	}
	return rapid.SampledFrom(ids).Draw(t, "replica")
}

func drawCommand(t *rapid.T, m *Machine) Command {
	spec := replica.Spec{Deployment: "drafting", Model: "drafter", Version: "1"}
	h := rapid.SampledFrom(hostIDs).Draw(t, "host")
	switch rapid.IntRange(0, 10).Draw(t, "command") {
	case 0, 1:
		i := host.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation"))
		return Admit{Role: host.RoleAgent, Info: host.Info{ID: h, Incarnation: i}}
	case 2, 3:
		return Form{Spec: spec, Hosts: drawHosts(t)}
	case 4:
		return Swap{Old: []replica.ID{drawReplica(t, m)}, Spec: spec, Hosts: drawHosts(t)}
	case 5:
		return Dissolve{Replica: drawReplica(t, m)}
	case 6:
		fence := replica.Fence(rapid.IntRange(1, 10).Draw(t, "fence"))
		return Release{Claims: []ReleasedClaim{{Host: h, Fence: fence}}}
	case 7:
		return Advance{Replica: drawReplica(t, m), State: replica.StateServing}
	case 8:
		return Forget{Hosts: []host.ID{h}}
	case 9:
		return Claim{Items: []message.ClaimItem{{Team: "jordan", Key: string(h), Request: request.ID{1}}}}
	default:
		return Drain{Host: h, Reason: "repair"}
	}
}

// checkClaims checks that every member of a replica is claimed by that replica alone,
// and that a host of an ended replica stays claimed until it is released.
func checkClaims(t *rapid.T, m *Machine) {
	members := map[host.ID]replica.ID{}
	for _, r := range m.Replicas() {
		for _, id := range r.Hosts {
			require.NotContains(t, members, id, "host in two replicas")
			members[id] = r.ID
		}
	}
	for _, h := range m.Hosts() {
		owner, member := members[h.Info.ID]
		switch {
		case member:
			require.Equal(t, &HostClaim{Replica: owner, Fence: h.Claim.Fence}, h.Claim)
			require.Equal(t, h.FenceFloor, h.Claim.Fence)
		case h.Claim != nil:
			require.True(t, h.Claim.Releasing)
		}
	}
}

// TestHostStaysClaimedUntilItsRelease checks that a host is claimable again only after
// its release, and that a release with an old fencing number has no effect.
func TestHostStaysClaimedUntilItsRelease(t *testing.T) {
	m := New()
	for _, id := range hostIDs {
		apply(t, m, start, Admit{Role: host.RoleAgent, Info: host.Info{ID: id, Incarnation: 1}})
	}
	form := Form{Spec: replica.Spec{Deployment: "d"}, Hosts: hostIDs[:2]}
	first := apply(t, m, start, form).(Formed).Replica
	require.IsType(t, Refused{}, apply(t, m, start, form))
	apply(t, m, start, Dissolve{Replica: first.ID})
	require.IsType(t, Refused{}, apply(t, m, start, form))
	free := func(fence replica.Fence) Release {
		return Release{Claims: []ReleasedClaim{{"a1", fence}, {"a2", fence}}}
	}
	apply(t, m, start, free(first.Fence))
	second := apply(t, m, start, form).(Formed).Replica
	apply(t, m, start, Dissolve{Replica: second.ID})
	apply(t, m, start, free(first.Fence))
	require.IsType(t, Refused{}, apply(t, m, start, form), "a late release of the first claim")
	apply(t, m, start, Forget{Hosts: []host.ID{"a1"}})
	_, known := m.Host("a1")
	require.True(t, known, "a host with a claim must not be forgotten")
	apply(t, m, start, free(second.Fence))
	apply(t, m, start, Forget{Hosts: []host.ID{"a1"}})
	apply(t, m, start, Admit{Role: host.RoleAgent, Info: host.Info{ID: "a1", Incarnation: 2}})
	back, _ := m.Host("a1")
	require.Equal(t, second.Fence, back.FenceFloor, "a forgotten host keeps its fence floor")
}

// TestCommandOfSlowClockDoesNotMoveTimeBack checks that a command of a leader whose clock
// is behind neither delays the expiry of a claim nor lets it expire twice.
func TestCommandOfSlowClockDoesNotMoveTimeBack(t *testing.T) {
	m := New()
	hour := ledger.Policy{CompleteRetention: time.Hour, PendingRetention: time.Hour}
	apply(t, m, start, ApplyConfig{YAML: []byte("x"), ChangeID: "x", Ledger: hour})
	claim := func(now time.Time, r byte) message.ClaimState {
		c := Claim{Items: []message.ClaimItem{{Team: "t", Key: "k", Request: request.ID{r}}}}
		return apply(t, m, now, c).(Claimed).Items[0].State
	}
	require.Equal(t, message.ClaimGranted, claim(start.Add(time.Hour), 1))
	require.Equal(t, message.ClaimRunning, claim(start, 2))
	m = restored(t, m)
	require.Equal(t, message.ClaimRunning, claim(start.Add(2*time.Hour-time.Millisecond), 2))
	require.Equal(t, message.ClaimGranted, claim(start.Add(2*time.Hour), 2))
	apply(t, m, start, ApplyConfig{YAML: []byte("y"), ChangeID: "y", Base: 1})
	require.Equal(t, start.Add(2*time.Hour).UnixMilli(), m.History()[1].UnixMs)
}

// TestDecisionsOfFormerLeadersAreRefused checks that a decision which was delayed past a
// change of leader is refused, also if its leader leads again in a later term. Such a
// decision is based on an outdated state.
func TestDecisionsOfFormerLeadersAreRefused(t *testing.T) {
	m := New()
	admit := Admit{Role: host.RoleAgent, Info: host.Info{ID: "a1", Incarnation: 1}}
	decided := func(term uint64) Result {
		data, err := Encode(start, term, admit)
		require.NoError(t, err)
		return m.Apply(0, data).(Result)
	}
	apply(t, m, start, Lead{Term: 5})
	require.Equal(t, Done{}, decided(5))
	apply(t, m, start, Lead{Term: 7})
	m = restored(t, m)
	require.IsType(t, Refused{}, decided(5))
	require.IsType(t, Refused{}, decided(6))
	require.Equal(t, Done{}, decided(7))
}

// TestUnknownCommandStopsMachineUntilRestore covers a log written by a later version. A
// machine must never write a snapshot of a state that may differ from that of others.
func TestUnknownCommandStopsMachineUntilRestore(t *testing.T) {
	for _, data := range [][]byte{nil, {0xff}, {0x84, 0x18, 0xc8, 0x01, 0x00, 0xa0}} {
		m := New()
		before := snapshotOf(t, m)
		require.IsType(t, Refused{}, m.Apply(1, data))
		require.IsType(t, Refused{}, apply(t, m, start, Admit{Info: host.Info{ID: "a1"}}))
		_, err := m.Snapshot()
		require.True(t, IsErrUnknownCommand(err))
		require.Empty(t, m.Hosts())
		require.Error(t, m.Restore([]byte("no snapshot")))
		require.NoError(t, m.Restore(before))
		require.NoError(t, m.Err())
	}
}

// TestTextsOfLargeConfigurationsAreLimited guards against a control host that runs out of memory because it keeps a number of earlier
// configurations, in its state and in each snapshot, however large they are.
func TestTextsOfLargeConfigurationsAreLimited(t *testing.T) {
	const changes, textBytes = 40, 3 << 20
	const most = 8 << 20 // Two configurations of the largest size of a command.
	var h configHistory
	for i := range changes {
		applied := h.apply(0, ApplyConfig{Base: h.latestRevision(), ChangeID: strconv.Itoa(i), YAML: make([]byte, textBytes)})
		require.True(t, applied.Accepted)
	}
	kept := 0
	for _, c := range h.Changes {
		kept += len(c.YAML)
	}
	require.LessOrEqual(t, kept, most)
	require.NotNil(t, h.Changes[changes-1].YAML)
	require.NotNil(t, h.Changes[changes-2].YAML, "the configuration before the latest one")
}
