package portalstate

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/roster"
)

func depart(t *testing.T, m *Machine, index uint64, endpoints ...roster.Endpoint) {
	t.Helper()
	command, err := EncodeDepartures(endpoints)
	require.NoError(t, err)
	m.Apply(index, command)
}

func TestDepartureIsKeptForItsIncarnationOnly(t *testing.T) {
	var m Machine
	draining := roster.Endpoint{ID: "e", State: roster.StateDraining, StartedMs: 5, Sequence: 7}
	left := roster.Endpoint{ID: "e", State: roster.StateLeft, StartedMs: 5}
	require.False(t, m.KeepsDeparture(draining, 0))
	depart(t, &m, 1, draining)
	require.True(t, m.KeepsDeparture(draining, 6))
	require.False(t, m.KeepsDeparture(draining, 8), "it was ready again since")
	require.False(t, m.KeepsDeparture(left, 6))
	depart(t, &m, 2, left)
	depart(t, &m, 3, draining)
	require.True(t, m.KeepsDeparture(left, 0))
	require.True(t, m.KeepsDeparture(roster.Endpoint{ID: "e", State: roster.StateLeft, StartedMs: 4}, 0), "an earlier incarnation")
	require.False(t, m.KeepsDeparture(roster.Endpoint{ID: "e", State: roster.StateDraining, StartedMs: 6}, 0), "a later incarnation")

	endpoints, last := m.DeparturesAfter(1)
	require.Equal(t, []roster.Endpoint{left}, endpoints)
	require.Equal(t, uint64(2), last)
	endpoints, last = m.DeparturesAfter(last)
	require.Empty(t, endpoints)
	require.Equal(t, uint64(2), last)
}

// TestDeparturesAreBoundedAndOutlastASnapshot guards against a state that grows with each endpoint that leaves, and against departures that
// are lost with the entries that a snapshot covers.
func TestDeparturesAreBoundedAndOutlastASnapshot(t *testing.T) {
	var m Machine
	for i := range maxDepartures + 10 {
		depart(t, &m, uint64(i+1), roster.Endpoint{ID: strconv.Itoa(i), State: roster.StateLeft, StartedMs: 1})
	}
	data, err := m.Snapshot()
	require.NoError(t, err)
	var restored Machine
	require.NoError(t, restored.Restore(data))
	endpoints, last := restored.DeparturesAfter(0)
	require.Len(t, endpoints, maxDepartures)
	require.Equal(t, "10", endpoints[0].ID)
	require.Equal(t, uint64(maxDepartures+10), last)
	require.False(t, restored.KeepsDeparture(roster.Endpoint{ID: "9", State: roster.StateLeft, StartedMs: 1}, 0))
	require.True(t, restored.KeepsDeparture(endpoints[0], 0))
}
