package metric

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/team"
)

func Example() {
	r := New()
	r.Counter("requests_total", "Requests by outcome.", Label{"outcome", "complete"}).Inc(3)
	r.GaugeFunc("streams", "Streams open.", func() float64 { return 2 })
	_, _ = r.WriteTo(os.Stdout)
	// Output:
	// # HELP egretreach_requests_total Requests by outcome.
	// # TYPE egretreach_requests_total counter
	// egretreach_requests_total{outcome="complete"} 3
	// # HELP egretreach_streams Streams open.
	// # TYPE egretreach_streams gauge
	// egretreach_streams 2
}

// TestTimerSumCoversAllObservations observes more durations than a timer's sample holds. Count and sum
// must cover all of them.
func TestTimerSumCoversAllObservations(t *testing.T) {
	r := New()
	for range 3 * reservoirSize {
		r.Observe(TokenGap, "troops", team.ClassBatch, 500*time.Millisecond)
	}
	var b strings.Builder
	_, err := r.WriteTo(&b)
	require.NoError(t, err)
	labels := `{team="troops",class="batch"`
	require.Contains(t, b.String(), "# TYPE egretreach_token_gap_seconds summary\n")
	require.Contains(t, b.String(), "egretreach_token_gap_seconds"+labels+",quantile=\"0.99\"} 0.5\n")
	require.Contains(t, b.String(), "egretreach_token_gap_seconds_sum"+labels+"} 768\n")
	require.Contains(t, b.String(), "egretreach_token_gap_seconds_count"+labels+"} 1536\n")
}

func TestTeamLabelsAreBounded(t *testing.T) {
	r := New()
	for i := range 3 * maxTeams {
		r.Observe(Total, team.ID(fmt.Sprintf("team \"%d\"\n", i)), team.ClassBatch, time.Second)
	}
	var b strings.Builder
	_, err := r.WriteTo(&b)
	require.NoError(t, err)
	require.Equal(t, maxTeams+1, strings.Count(b.String(), "_count{"))
	require.Contains(t, b.String(), `_count{team="other",class="batch"} 128`)
	require.Contains(t, b.String(), `team="team \"0\"\n"`)
	var none *Registry
	none.Counter("x", "").Inc(1)
	none.Observe(Total, "a", "b", time.Second)
}
