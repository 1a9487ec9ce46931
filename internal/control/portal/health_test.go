package portal

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/roster"
)

// TestHealthWithProbe guards against an endpoint that counts as dead although only its process is
// silent for a second, and against one on a host that is down and counts as alive for longer than two
// probes.
func TestHealthWithProbe(t *testing.T) {
	const u, s, a, r = ProbeUnreachable, ProbeSilent, ProbeAlive, ProbeRefused
	for name, c := range map[string]struct {
		results []ProbeResult
		dead    bool
	}{
		"refused once":             {[]ProbeResult{r}, true},
		"unreachable once":         {[]ProbeResult{u}, false},
		"unreachable twice":        {[]ProbeResult{u, u}, true},
		"unreachable, then silent": {[]ProbeResult{u, s, u, s}, false},
		"silent for 1.3 s":         {[]ProbeResult{s, s, s, s, s, s, s, s, s, s, s}, false},
		"silent for 1.4 s":         {[]ProbeResult{s, s, s, s, s, s, s, s, s, s, s, s}, true},
		"silent, alive, silent":    {[]ProbeResult{s, s, s, s, s, s, s, a, s, s, s, s, s, s, s}, false},
		"alive again":              {[]ProbeResult{u, u, a}, false},
	} {
		now := time.Unix(1, 0)
		var h endpointHealth
		for _, result := range c.results {
			sentAt := now
			now = now.Add(probeTimeout)
			h = h.withProbe(result, roster.StateReady, sentAt, now)
		}
		require.Equal(t, c.dead, h.dead, name)
	}
}

// TestDrainingEndpointThatRefusesIsNotGone guards against members of a replica that are used for another one while their head, which drains and
// has stopped listening, still works on its requests.
func TestDrainingEndpointThatRefusesIsNotGone(t *testing.T) {
	now := time.Unix(1, 0)
	h := endpointHealth{}.withProbe(ProbeRefused, roster.StateDraining, now, now.Add(time.Millisecond))
	require.False(t, h.dead)
	require.False(t, h.connRefused)
	require.True(t, h.stoppedListening)
	h = h.withProbe(ProbeUnreachable, roster.StateDraining, now, now.Add(time.Millisecond))
	h = h.withProbe(ProbeUnreachable, roster.StateDraining, now, now.Add(time.Millisecond))
	require.True(t, h.dead, "its host is down")
}

// TestLateProbeTellsNothing guards against a portal that stands still for a moment and then takes the
// endpoints that it was probing for dead.
func TestLateProbeTellsNothing(t *testing.T) {
	sentAt := time.Unix(1, 0)
	for _, result := range []ProbeResult{ProbeUnreachable, ProbeSilent} {
		var h endpointHealth
		for range 2 {
			h = h.withProbe(result, roster.StateReady, sentAt, sentAt.Add(2*time.Second))
		}
		require.False(t, h.dead)
		require.False(t, h.probing)
	}
}

// TestOwnPauseBetweenProbesIsNotSilence guards against an endpoint that counts as dead after two probes
// without an answer, because this process stood still between them for longer than an endpoint may be
// silent.
func TestOwnPauseBetweenProbesIsNotSilence(t *testing.T) {
	for name, during := range map[string]bool{"during a probe": true, "between two probes": false} {
		now := time.Unix(1, 0)
		h := endpointHealth{}.withProbe(ProbeSilent, roster.StateReady, now, now.Add(probeTimeout))
		sentAt := now.Add(probeTimeout)
		now = sentAt.Add(2 * time.Second)
		if during {
			h = h.withProbe(ProbeSilent, roster.StateReady, sentAt, now)
		}
		h = h.withProbe(ProbeSilent, roster.StateReady, now, now.Add(probeTimeout))
		require.False(t, h.dead, name)
	}
}
