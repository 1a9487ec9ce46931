package fleet

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/config"
)

// TestRequestsStayInTheirRegions guards against a request that is sent out of the regions that its team allows, and against one that
// waits although no endpoint is left in them, since their only failure domain is evacuated.
func TestRequestsStayInTheirRegions(t *testing.T) {
	yaml := strings.Replace(string(config.DefaultYAML()), "  - name: cascadia\n", "  - name: cascadia\n    allowed_regions: [south]\n", 1)
	yaml += "regions:\n  a: north\n  b: south\n"
	change := func(opts *Options) {
		opts.Config = []byte(yaml)
		for i := 2; i < 4; i++ {
			opts.Engines[i].FailureDomain, opts.Engines[i].FabricDomain = "b", "rack-2"
		}
	}
	runChangedFleet(t, 4, defaultReplicas, change, func(s *fixture) {
		for i := range 20 {
			for _, a := range s.sendBoth(strconv.Itoa(i)) {
				require.Equal(t, "complete", a.header.Get("Egretreach-Outcome"), a.body)
			}
		}
		require.Zero(t, s.startedIn("a"))
		s.evacuate("b", false)
		advance(time.Second)
		start := time.Now()
		for _, a := range s.sendBoth("refused") {
			require.Equal(t, "not_run", a.header.Get("Egretreach-Outcome"), a.body)
			require.Contains(t, a.body, "outside the allowed regions")
		}
		require.Less(t, time.Since(start), 100*time.Millisecond)
		require.Zero(t, s.startedIn("a"))
	})
}
