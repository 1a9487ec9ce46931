package gateway

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sendWithin sends a stream request of a caller that waits for a while only.
func (f *fixture) sendWithin(patience time.Duration, header ...string) {
	ctx, cancel := context.WithTimeout(f.t.Context(), patience)
	defer cancel()
	f.sendWithContext(ctx, "POST", "/stream/", "", header...)
}

// TestModelsThatCallersInventLeaveNoTrace sends requests for models that no service has. It guards against reports, and memory here and at
// control, that grow with the names that callers choose, and against such names that displace those of real models.
func TestModelsThatCallersInventLeaveNoTrace(t *testing.T) {
	withFixture(t, func(f *fixture) {
		const invented = 300
		for i := range invented {
			f.sendWithin(50*time.Millisecond, "X-Model", fmt.Sprint("invented-", i, strings.Repeat("x", 1000)))
		}
		f.g.mu.Lock()
		require.Empty(t, f.g.demand)
		require.Empty(t, f.g.arrivals)
		f.g.mu.Unlock()
	})
}
