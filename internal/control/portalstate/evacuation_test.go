package portalstate

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

func evacuate(t *testing.T, m *Machine, index uint64, domain string, active bool) EvacuationResult {
	t.Helper()
	command, err := Evacuation{Domain: domain, Active: active}.Encode()
	require.NoError(t, err)
	result, ok := m.Apply(index, command).(EvacuationResult)
	require.True(t, ok)
	return result
}

// TestRevisionIsTheIndexOfTheLastEffectiveChange guards against a repeated command that makes all copies of the set outdated, and against an
// unsorted set, by which the snapshots of hosts differ.
func TestRevisionIsTheIndexOfTheLastEffectiveChange(t *testing.T) {
	var m Machine
	changed := m.Changed()
	require.False(t, evacuate(t, &m, 1, "b", false).Applied)
	require.True(t, evacuate(t, &m, 2, "b", true).Applied)
	select {
	case <-changed:
	default:
		require.Fail(t, "the change wakes nobody")
	}
	require.False(t, evacuate(t, &m, 3, "b", true).Applied)
	require.Equal(t, Evacuations{2, []string{"b"}}, m.Evacuations())
	evacuate(t, &m, 4, "a", true)
	evacuate(t, &m, 5, "c", true)
	require.Equal(t, Evacuations{5, []string{"a", "b", "c"}}, m.Evacuations())
	require.True(t, m.Evacuations().Has("c"))
	evacuate(t, &m, 6, "b", false)
	require.Equal(t, Evacuations{6, []string{"a", "c"}}, m.Evacuations())
	require.False(t, m.Evacuations().Has("b"))
}

// TestReplayOfAppliedEntriesChangesNothing guards against a set that goes back to earlier states while a log that was opened again is
// replayed from an older snapshot.
func TestReplayOfAppliedEntriesChangesNothing(t *testing.T) {
	var m Machine
	evacuate(t, &m, 2, "a", true)
	data, err := m.Snapshot()
	require.NoError(t, err)
	evacuate(t, &m, 3, "a", false)
	evacuate(t, &m, 4, "b", true)
	evacuate(t, &m, 5, "a", true)
	want := m.Evacuations()

	require.NoError(t, m.Restore(data))
	require.Equal(t, want, m.Evacuations())
	for index, active := range map[uint64]bool{3: false, 5: true} {
		require.False(t, evacuate(t, &m, index, "a", active).Applied)
		require.Equal(t, want, m.Evacuations())
	}
	var fresh Machine
	require.NoError(t, fresh.Restore(data))
	require.Equal(t, Evacuations{2, []string{"a"}}, fresh.Evacuations())
}

// TestEvacuatedDomainsAreBounded guards against a set that grows without bound, and against a bound that keeps a withdrawal out.
func TestEvacuatedDomainsAreBounded(t *testing.T) {
	var m Machine
	for i := range MaxEvacuated {
		require.True(t, evacuate(t, &m, uint64(i+1), strconv.Itoa(i), true).Applied)
	}
	require.True(t, evacuate(t, &m, 100, "more", true).Full)
	require.False(t, evacuate(t, &m, 101, "7", true).Full, "it has begun already")
	require.True(t, evacuate(t, &m, 102, "7", false).Applied)
	require.True(t, evacuate(t, &m, 103, "more", true).Applied)
}
