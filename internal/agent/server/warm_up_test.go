package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/config"
)

// TestColdEndpointGetsNoMoreThanItsWarmUpLimit guards against an endpoint that crashes since it gets more requests than it
// takes after its start, its return or the withdrawal of an evacuation, and against a limit that outlasts the warm-up.
func TestColdEndpointGetsNoMoreThanItsWarmUpLimit(t *testing.T) {
	limit := config.WarmUp{Time: 3 * time.Second, RequestsPerSecond: 32}
	now := time.Unix(1000, 0)
	causes := map[string]func(w *warmUp){
		"start":      func(w *warmUp) { w.begin(now, warmUpStart) },
		"withdrawal": func(w *warmUp) { w.begin(now, warmUpWithdrawal) },
		"return": func(w *warmUp) {
			w.observe(false, now.Add(-time.Minute))
			w.observe(true, now)
		},
	}
	for name, begin := range causes {
		t.Run(name, func(t *testing.T) {
			w := &warmUp{}
			require.NoError(t, w.admit(now, limit), "an endpoint is warm until a cause is known")
			begin(w)
			var admitted []time.Time
			for at := now; at.Before(now.Add(limit.Time)); at = at.Add(time.Millisecond) {
				err := w.admit(at, limit)
				if err == nil {
					admitted = append(admitted, at)
					continue
				}
				var limited ErrLimited
				require.ErrorAs(t, err, &limited)
				require.Positive(t, limited.RetryAfter)
			}
			for i, from := range admitted {
				inSecond := 0
				for _, at := range admitted[i:] {
					if at.Sub(from) < time.Second {
						inSecond++
					}
				}
				require.LessOrEqual(t, float64(inSecond), 1.5*limit.RequestsPerSecond+5)
			}
			require.GreaterOrEqual(t, float64(len(admitted)), limit.RequestsPerSecond*limit.Time.Seconds()*0.9)
			for range 1000 {
				require.NoError(t, w.admit(now.Add(limit.Time), limit))
			}
		})
	}
}

// TestEndpointWithoutWarmUpIsNeverLimited guards against a limit that no configuration asks for.
func TestEndpointWithoutWarmUpIsNeverLimited(t *testing.T) {
	w := &warmUp{}
	now := time.Unix(1000, 0)
	w.begin(now, warmUpStart)
	for range 1000 {
		require.NoError(t, w.admit(now, config.WarmUp{}))
	}
}
