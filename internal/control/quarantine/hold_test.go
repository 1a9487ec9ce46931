package quarantine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHoldsOutlastSnapshotsAndRepeatedEntries guards against held keys that a restart forgets, and against
// released ones that an older snapshot or a repeated entry of the log brings back.
func TestHoldsOutlastSnapshotsAndRepeatedEntries(t *testing.T) {
	var s HoldSet
	require.True(t, s.Apply(5, Hold{Key: 7, Failures: 1}))
	require.True(t, s.Apply(6, Hold{Key: 8, Failures: 1}))
	older := s.Snapshot()
	require.True(t, s.Apply(7, Hold{Key: 8, Failures: 2}))
	require.True(t, s.Apply(8, Hold{Key: 7}))
	want := []Hold{{Key: 8, Failures: 2, Number: 7}}
	require.Equal(t, want, s.List())
	require.False(t, s.Apply(5, Hold{Key: 7, Failures: 1}))
	require.False(t, s.Restore(older))
	require.Equal(t, want, s.List())
	var restarted HoldSet
	require.True(t, restarted.Restore(older))
	require.True(t, restarted.Restore(s.Snapshot()))
	require.Equal(t, want, restarted.List())
}

// TestHoldsAreBounded guards against a state that grows with each key that was ever held.
func TestHoldsAreBounded(t *testing.T) {
	var s HoldSet
	for i := range uint64(2 * maxHolds) {
		s.Apply(i+1, Hold{Key: i, Failures: 1})
	}
	require.Len(t, s.List(), maxHolds)
	require.Equal(t, uint64(maxHolds), s.List()[0].Key)
}
