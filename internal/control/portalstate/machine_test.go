package portalstate

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func apply(t *testing.T, m *Machine, d Document) Result {
	command, err := d.Encode()
	require.NoError(t, err)
	result, ok := m.Apply(1, command).(Result)
	require.True(t, ok)
	return result
}

func TestHighestVersionWinsInAnyOrder(t *testing.T) {
	var m Machine
	require.Equal(t, Result{Index: 1, Version: 5, Applied: true}, apply(t, &m, Document{5, []byte("five")}))
	require.Equal(t, Result{Index: 1, Version: 5}, apply(t, &m, Document{4, []byte("four")}))
	require.Equal(t, Result{Index: 1, Version: 5}, apply(t, &m, Document{5, []byte("other content")}))
	require.Equal(t, []byte("five"), m.Current().Bytes)
	require.Equal(t, Result{Index: 1, Version: 9, Applied: true}, apply(t, &m, Document{9, []byte("nine")}))
}

func TestChangedIsClosedOnlyByAChange(t *testing.T) {
	var m Machine
	apply(t, &m, Document{2, nil})
	changed := m.Changed()
	apply(t, &m, Document{1, nil})
	require.NotPanics(t, func() {
		select {
		case <-changed:
			require.Fail(t, "an older document must not close the channel")
		default:
		}
	})
	apply(t, &m, Document{3, nil})
	<-changed
}

func TestVoterMovesAreAppliedInSequence(t *testing.T) {
	var m Machine
	for _, s := range []Voter{{"c1", "a:1", 1}, {"c1", "b:1", 2}, {"c1", "a:1", 1}, {"c2", "c:1", 1}} {
		command, err := s.Encode()
		require.NoError(t, err)
		m.Apply(1, command)
	}
	require.Equal(t, []Voter{{"c1", "b:1", 2}, {"c2", "c:1", 1}}, m.MovedVoters())
}

func TestSnapshotHoldsStateAndRestoreNeverGoesBack(t *testing.T) {
	var m Machine
	apply(t, &m, Document{5, []byte("five")})
	command, err := Voter{"c1", "a:1", 3}.Encode()
	require.NoError(t, err)
	m.Apply(2, command)
	data, err := m.Snapshot()
	require.NoError(t, err)

	var fresh Machine
	require.NoError(t, fresh.Restore(data))
	require.Equal(t, m.Current(), fresh.Current())
	require.Equal(t, m.MovedVoters(), fresh.MovedVoters())

	apply(t, &m, Document{6, []byte("six")})
	require.NoError(t, m.Restore(data))
	require.Equal(t, uint64(6), m.Current().Version)
}

func TestInvalidCommandAndSnapshotAreErrors(t *testing.T) {
	var m Machine
	require.Error(t, m.Apply(1, []byte{0xff}).(error))
	require.Error(t, m.Restore([]byte("nonsense")))
	require.Zero(t, m.Current().Version)
}

// TestUnreadableTextInTheLogIsApplied guards against an entry or a snapshot that no host can read because a text in it is no UTF-8.
func TestUnreadableTextInTheLogIsApplied(t *testing.T) {
	var m Machine
	command, err := Voter{"c\xff", "a:1", 1}.Encode()
	require.NoError(t, err)
	require.IsType(t, Result{}, m.Apply(1, command))
	data, err := m.Snapshot()
	require.NoError(t, err)
	var restored Machine
	require.NoError(t, restored.Restore(data))
	require.Equal(t, []Voter{{"c\xff", "a:1", 1}}, restored.MovedVoters())
}
