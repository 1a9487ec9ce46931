package portal

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/entry/balance"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/link/message"
)

// observeHead lets gateways send requests to one head, each one after the other, and returns the silence of the head that their reports
// show at the end. The head answers at once up to stopsAt and then sends nothing.
func observeHead(gateways int, total, stopsAt time.Duration) time.Duration {
	const step = 10 * time.Millisecond
	start := time.Unix(1_000_000, 0)
	balancers := make([]*balance.Balancer, gateways)
	for i := range balancers {
		balancers[i] = &balance.Balancer{}
		balancers[i].UpdateEndpoints([]roster.Endpoint{{ID: "h", Engine: true, StartedMs: 1}})
	}
	next := 0
	for at := time.Duration(0); at < total; at += step {
		now := start.Add(at)
		b := balancers[next%gateways]
		next++
		b.RequestSent("h", balance.Request{}, now)
		if at < stopsAt {
			b.FirstEventReceived("h", balance.Request{}, 0, 0, now)
			b.RequestEnded("h", balance.Request{}, true, balance.ResultSuccess, now)
		}
	}
	now := start.Add(total)
	p := &Portal{reports: map[host.ID]receivedReport{}}
	for i, b := range balancers {
		var report message.GatewayReport
		for _, h := range b.HeadReports(now) {
			report.Heads = append(report.Heads, message.HeadReport{ID: h.ID, Waiting: h.InFlight, WaitingFor: h.WaitingFor, SinceLastData: h.SinceLastData})
		}
		p.reports[host.ID(fmt.Sprint("g", i))] = receivedReport{GatewayReport: report, at: now}
	}
	return p.headReports(now)["h"].SinceLastData
}

// TestSilentHeadIsSeenByManyGateways guards against replicas that stand still until the engine itself reports it: with many gateways there is
// always one that has just sent its first request to the head, and that was taken for a sign of life.
func TestSilentHeadIsSeenByManyGateways(t *testing.T) {
	const silence = 300 * time.Millisecond
	for _, gateways := range []int{1, 5, 15, 47} {
		seen := observeHead(gateways, 2*time.Second+silence, 2*time.Second)
		require.GreaterOrEqual(t, seen, headStallThreshold, "%d gateways", gateways)
		require.LessOrEqual(t, seen, silence+10*time.Millisecond, "%d gateways", gateways)
	}
}

// TestIdleHeadIsNotSilent guards against probes, and against lost replicas, because of a head that had no work: it is silent only since
// requests wait for it.
func TestIdleHeadIsNotSilent(t *testing.T) {
	for _, gateways := range []int{1, 47} {
		require.Less(t, observeHead(gateways, 100*time.Millisecond, 0), headStallThreshold, "%d gateways: the first requests", gateways)
		require.Less(t, observeHead(gateways, 2*time.Second, 2*time.Second), headStallThreshold, "%d gateways: all answered", gateways)
	}
}

// TestReportOfAnEarlierVersion reads a report without the time since the last data.
func TestReportOfAnEarlierVersion(t *testing.T) {
	o := headObservation{}.with(message.HeadReport{Waiting: 1, WaitingFor: time.Second}, time.Millisecond)
	require.Equal(t, 1001*time.Millisecond, o.report().SinceLastData)
}
