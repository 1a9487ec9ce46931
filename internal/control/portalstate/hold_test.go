package portalstate

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func applyHold(t *testing.T, m *Machine, index uint64, h Hold) {
	command, err := h.Encode()
	require.NoError(t, err)
	m.Apply(index, command)
}

// TestHoldsOutlastSnapshotsAndRepeatedEntries guards against held keys that a restart forgets, and against
// released ones that an older snapshot or a repeated entry of the log brings back.
func TestHoldsOutlastSnapshotsAndRepeatedEntries(t *testing.T) {
	var m Machine
	applyHold(t, &m, 5, Hold{Key: 7, Strikes: 1})
	applyHold(t, &m, 6, Hold{Key: 8, Strikes: 1})
	older, err := m.Snapshot()
	require.NoError(t, err)
	applyHold(t, &m, 7, Hold{Key: 8, Strikes: 2})
	applyHold(t, &m, 8, Hold{Key: 7})
	want := []Hold{{Key: 8, Strikes: 2, Index: 7}}
	require.Equal(t, want, m.Holds())
	applyHold(t, &m, 5, Hold{Key: 7, Strikes: 1})
	require.NoError(t, m.Restore(older))
	require.Equal(t, want, m.Holds())

	newer, err := m.Snapshot()
	require.NoError(t, err)
	var restarted Machine
	require.NoError(t, restarted.Restore(older))
	require.NoError(t, restarted.Restore(newer))
	require.Equal(t, want, restarted.Holds())
}

// TestHoldsAreBounded guards against a state that grows with each key that was ever held.
func TestHoldsAreBounded(t *testing.T) {
	var m Machine
	for i := range uint64(2 * maxHolds) {
		applyHold(t, &m, i+1, Hold{Key: i, Strikes: 1})
	}
	holds := m.Holds()
	require.Len(t, holds, maxHolds)
	require.Equal(t, uint64(maxHolds), holds[0].Key)
}
