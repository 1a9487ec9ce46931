package gateway

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/identity"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/standin/memnet"
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
		forEach(f.heads, func(e *fakeEndpoint) { e.streamEvents(1, 0, endStream) })
		const invented = 300
		for i := range invented {
			f.sendWithin(50*time.Millisecond, "X-Model", fmt.Sprint("invented-", i, strings.Repeat("x", 1000)))
		}
		f.g.mu.Lock()
		require.Empty(t, f.g.demand)
		require.Empty(t, f.g.arrivals)
		f.g.mu.Unlock()

		f.sendWithin(50*time.Millisecond, "X-Model", "")
		f.sendWithin(50*time.Millisecond, "X-Model", "m")
		f.g.mu.Lock()
		require.Equal(t, map[string]int{"llm/": 1, "llm/m": 1}, f.g.arrivals)
		f.g.mu.Unlock()
	})
}

// TestReportThatIsTooLargeAsksItsQuestion lets a gateway compose a report that is larger than a frame. It guards against a gateway that sends
// no report and no question any more, so that it refuses all requests until it is restarted.
func TestReportThatIsTooLargeAsksItsQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var network memnet.Network
		control := newTestLink(t, &network, controlAddress, identity.Identity{Role: host.RoleControl, Host: "control"})
		entry := newTestLink(t, &network, "10.0.1.1:7340", identity.Identity{Role: host.RoleEntry, Host: "entry"})
		ctx, cancel := context.WithCancel(t.Context())
		reports := make(chan *message.GatewayReport, 100)
		go func() {
			_ = control.Serve(ctx, func(_ context.Context, s *transport.Stream) {
				for {
					m, err := s.Receive()
					if err != nil {
						return
					}
					if r, ok := m.(*message.GatewayReport); ok {
						reports <- r
					}
					_ = s.Send(&message.Picture{Leader: controlAddress})
				}
			})
		}()
		g := New(Options{Pool: pool.New(entry), Dialect: testDialect()})
		g.demand[strings.Repeat("x", message.MaxFrameBytes)] = &demand{}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			g.subscribeTo(ctx, &controlHosts{avoidUntil: map[string]time.Time{}}, controlAddress)
		}()
		time.Sleep(5 * reportInterval)
		require.GreaterOrEqual(t, len(reports), 3)
		first, second := <-reports, <-reports
		require.Empty(t, first.Demand)
		require.NotZero(t, first.Question.Number)
		require.Greater(t, second.Question.Number, first.Question.Number)
		cancel()
		<-ended
		_, _ = entry.Close(), control.Close()
		time.Sleep(10 * time.Second)
	})
}
