package explanation

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTextTellsEachVerdict guards against a verdict whose reason or Retry-After is missing from the text, and against an empty
// table that can be mistaken for a truncated one.
func TestTextTellsEachVerdict(t *testing.T) {
	for expected, v := range map[string]Verdict{
		"waits for capacity, at most 140 ms":                   {Action: ActionWaits, WaitMs: 140},
		"refused with 503: no room; Retry-After 0.25 s":        {Action: ActionRefused, Status: 503, Reason: "no room", RetryAfter: 0.25},
		"denied with 404: no route":                            {Action: ActionDenied, Status: 404, Reason: "no route"},
		"asks control first; without an answer refused with 5": {Action: ActionAsksControl, Status: 503, Reason: "old", RetryAfter: 0.5},
	} {
		d := Document{
			Verdict: v, Service: "one", TeamRegions: []string{"north", "south"}, Configuration: Configuration{AgeMs: -1}, Queue: Queue{Waiting: 5, Before: 3},
			Targets: []Target{{"one", 9}, {"two", 1}},
		}
		var out strings.Builder
		require.NoError(t, d.WriteText(&out))
		for _, part := range []string{
			expected, "team north, south", "never confirmed", "not following", "3 before it, 5 for", "drawn by weight from one 9, two 1",
			"no endpoint is ready",
		} {
			require.Contains(t, out.String(), part)
		}
	}
	var out strings.Builder
	require.NoError(t, Document{}.WriteText(&out))
	require.NotContains(t, out.String(), "no endpoint is ready", "the verdict did not depend on endpoints")
}
