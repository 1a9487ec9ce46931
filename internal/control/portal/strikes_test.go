package portal

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/link/message"
)

var noon = time.Unix(1_000_000, 0)

// TestARequestUnderWhichTwoEndpointsDiedIsHeldBack plays a request that crashes whoever runs
// it, beside innocent ones that were at the same endpoints.
func TestARequestUnderWhichTwoEndpointsDiedIsHeldBack(t *testing.T) {
	var s strikes
	dead := map[roster.Incarnation]bool{}
	died := func(l roster.Incarnation) bool { return dead[l] }
	s.take([]message.Crash{{Endpoint: "a", StartedMs: 1, Fingerprint: 7}, {Endpoint: "a", StartedMs: 1, Fingerprint: 8}}, noon)
	require.Empty(t, s.settle(noon, died), "its death has not shown yet")
	dead[roster.Incarnation{ID: "a", StartedMs: 1}] = true
	require.Empty(t, s.settle(noon.Add(time.Second), died), "one death may be a coincidence")
	s.take([]message.Crash{{Endpoint: "a", StartedMs: 1, Fingerprint: 7}}, noon)
	require.Empty(t, s.settle(noon.Add(time.Second), died), "the same death, told by another gateway")
	dead[roster.Incarnation{ID: "b", StartedMs: 1}] = true
	s.take([]message.Crash{{Endpoint: "b", StartedMs: 1, Fingerprint: 7}, {Endpoint: "b", StartedMs: 1, Fingerprint: 9}}, noon)
	require.Equal(t, []uint64{7}, s.settle(noon.Add(2*time.Second), died))
	require.Equal(t, []uint64{7}, s.held())
	s.settle(noon.Add(2*strikeLife), died)
	require.Empty(t, s.held(), "forgiven in time")
}

func TestAnAnswerThatWasLostIsNoDeath(t *testing.T) {
	var s strikes
	for range 5 {
		s.take([]message.Crash{{Endpoint: "a", StartedMs: 1, Fingerprint: 7}}, noon)
	}
	s.settle(noon.Add(strikeWait+time.Second), func(roster.Incarnation) bool { return false })
	require.Empty(t, s.suspected)
	require.Empty(t, s.held())
}
