package fleet

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/config"
)

// TestRestartedEngineGetsNoMoreRequestsThanItsWarmUp guards against a cold engine that gets more requests from all entries
// together than it takes, after its start and after a crash, and against a limit that does not end.
func TestRestartedEngineGetsNoMoreRequestsThanItsWarmUp(t *testing.T) {
	yaml := strings.Replace(string(config.DefaultYAML()), "    priority: 10\n", "    priority: 10\n    warm_up: {time: 10s, requests_per_second: 4}\n", 1)
	yaml = strings.Replace(yaml, "replicas: 2", "replicas: 1", 1)
	change := func(opts *Options) { opts.Config = []byte(yaml) }
	runChangedFleet(t, 2, 1, change, func(s *fixture) {
		head := s.Agent(s.replicas()[0].Head()).Engine
		sent := 0
		startedIn := func(d time.Duration) int {
			before := head.GenerationsStarted()
			for start := time.Now(); time.Since(start) < d; sent++ {
				s.sendAsync(sent%2, "POST", "/v1/chat/completions", bodyOf(chatBody, strconv.Itoa(sent)))
				advance(20 * time.Millisecond)
			}
			return head.GenerationsStarted() - before
		}
		const limit = 4*1.5 + 5
		afterStart := max(startedIn(time.Second), startedIn(time.Second), startedIn(time.Second))
		advance(30 * time.Second)
		warm := startedIn(time.Second)
		advance(30 * time.Second)
		head.Crash()
		s.waitFor(30*time.Second, s.allServing)
		afterCrash := max(startedIn(time.Second), startedIn(time.Second), startedIn(time.Second))
		advance(2 * time.Minute) // The deadline of all requests. A failure must not leave any in flight.
		require.LessOrEqual(t, afterStart, int(limit))
		require.LessOrEqual(t, afterCrash, int(limit))
		require.Greater(t, warm, int(limit), "the warm-up does not end")
	})
}
