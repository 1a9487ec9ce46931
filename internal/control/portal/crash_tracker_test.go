package portal

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/link/message"
)

var noon = time.Unix(1_000_000, 0)

// TestRequestThatCrashedTwoEndpointsIsQuarantined reports a request that crashes each endpoint
// that runs it, together with harmless requests that ran at the same endpoints.
func TestRequestThatCrashedTwoEndpointsIsQuarantined(t *testing.T) {
	var s crashTracker
	dead := map[roster.Incarnation]bool{}
	died := func(l roster.Incarnation) bool { return dead[l] }
	s.add([]message.Crash{{Endpoint: "a", StartedMs: 1, Fingerprint: 7}, {Endpoint: "a", StartedMs: 1, Fingerprint: 8}}, noon)
	require.Empty(t, s.process(noon, died), "the death has not been detected yet")
	dead[roster.Incarnation{ID: "a", StartedMs: 1}] = true
	require.Empty(t, s.process(noon.Add(time.Second), died), "one death may be a coincidence")
	s.add([]message.Crash{{Endpoint: "a", StartedMs: 1, Fingerprint: 7}}, noon)
	require.Empty(t, s.process(noon.Add(time.Second), died), "the same death, reported by another gateway")
	dead[roster.Incarnation{ID: "b", StartedMs: 1}] = true
	s.add([]message.Crash{{Endpoint: "b", StartedMs: 1, Fingerprint: 7}, {Endpoint: "b", StartedMs: 1, Fingerprint: 9}}, noon)
	require.Equal(t, []uint64{7}, s.process(noon.Add(2*time.Second), died))
	require.Equal(t, []uint64{7}, s.quarantined())
	s.process(noon.Add(2*crashRetention), died)
	require.Empty(t, s.quarantined(), "the crashes have expired")
}

func TestLostResponseIsNotCountedAsCrash(t *testing.T) {
	var s crashTracker
	for range 5 {
		s.add([]message.Crash{{Endpoint: "a", StartedMs: 1, Fingerprint: 7}}, noon)
	}
	s.process(noon.Add(crashConfirmWait+time.Second), func(roster.Incarnation) bool { return false })
	require.Empty(t, s.suspected)
	require.Empty(t, s.quarantined())
}
