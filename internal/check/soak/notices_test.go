package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/platform"
)

// after returns a time some seconds after start.
func after(start time.Time, seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// TestNoticeCheckFindsRequestsToALeavingEndpoint guards against a check that misses a request to an
// endpoint that leaves, or reports one that the rule allows or excuses.
func TestNoticeCheckFindsRequestsToALeavingEndpoint(t *testing.T) {
	start := time.Now()
	for name, c := range map[string]struct {
		// answer is when the request whose response says it was sent; the response comes at 0.
		answer, sent float64
		endpoint     string
		around       func(g *process)
		sameGateway  bool
		violations   int
	}{
		"sent too late":           {-0.1, 2.1, "be1-1", nil, true, 1},
		"sent in time":            {-0.1, 1.9, "be1-1", nil, true, 0},
		"the next incarnation":    {-0.1, 2.1, "be1-2", nil, true, 0},
		"another gateway":         {-0.1, 2.1, "be1-1", nil, false, 0},
		"gateway started again":   {-0.1, 2.1, "be1-1", func(g *process) { g.started = after(start, 1) }, true, 0},
		"gateway paused":          {-0.1, 2.1, "be1-1", func(g *process) { g.paused = true }, true, 0},
		"gateway was paused":      {-0.1, 2.1, "be1-1", func(g *process) { g.forcedAt = after(start, 1) }, true, 0},
		"gateway started before":  {-0.1, 2.1, "be1-1", func(g *process) { g.started = after(start, -1) }, true, 1},
		"gateway stops":           {-0.1, 2.1, "be1-1", func(g *process) { g.disturbed = after(start, 1) }, true, 1},
		"answer of the last run":  {-2, 2.1, "be1-1", func(g *process) { g.started = after(start, -1) }, true, 0},
		"paused before, answered": {-0.1, 2.1, "be1-1", func(g *process) { g.forcedAt = after(start, -1) }, true, 1},
	} {
		n, g := noticeCheck{}, &process{name: "g"}
		if c.around != nil {
			c.around(g)
		}
		n.recordSent("first", g, after(start, c.answer))
		n.passedOn("first", "be1-1", start)
		to := g
		if !c.sameGateway {
			to = &process{name: "other"}
		}
		n.recordSent("second", to, after(start, c.sent))
		got := n.arrived("second", c.endpoint, after(start, c.sent))
		require.Len(t, got, c.violations, "%s: %v", name, got)
	}
}

// TestNoticeCheckMeasuresFromTheFirstNotice guards against a check whose bound moves on with each
// further response, or that keeps the time from before a restart.
func TestNoticeCheckMeasuresFromTheFirstNotice(t *testing.T) {
	start := time.Now()
	n, g := noticeCheck{}, &process{name: "g"}
	pass := func(seconds float64) {
		id := fmt.Sprint("answer", seconds)
		n.recordSent(id, g, after(start, seconds-0.01))
		n.passedOn(id, "be1-1", after(start, seconds))
	}
	reach := func(seconds float64) []string {
		n.recordSent("later", g, after(start, seconds))
		return n.arrived("later", "be1-1", after(start, seconds))
	}
	pass(0)
	pass(1.5)
	require.Len(t, reach(2.1), 1)
	g.started = after(start, 3)
	require.Empty(t, reach(3.1))
	pass(4)
	require.Empty(t, reach(5.9))
	require.Len(t, reach(6.1), 1)
}

// TestNoticeCheckFindsRequestsToABusyEndpoint guards against a check that misses the third request to a
// busy endpoint, or counts those that the rule allows or excuses.
func TestNoticeCheckFindsRequestsToABusyEndpoint(t *testing.T) {
	start := time.Now()
	cut := func(string, time.Time) bool { return true }
	for name, c := range map[string]struct {
		arrivals   []float64
		around     func(n *noticeCheck, g *process)
		violations int
	}{
		"three in the window":   {[]float64{0.6, 1, 1.9}, nil, 1},
		"five in the window":    {[]float64{0.6, 0.7, 0.8, 1, 1.9}, nil, 1},
		"two in the window":     {[]float64{0.1, 0.2, 0.3, 0.5, 0.6, 1.9, 2, 2.1, 2.2}, nil, 0},
		"gateway started again": {[]float64{0.6, 1, 1.9}, func(_ *noticeCheck, g *process) { g.started = after(start, 0.1) }, 0},
		"gateway paused":        {[]float64{0.6, 1, 1.9}, func(_ *noticeCheck, g *process) { g.forcedAt = after(start, 0.1) }, 0},
		"cut":                   {[]float64{0.6, 1, 1.9}, func(n *noticeCheck, _ *process) { n.linkDisturbed = cut }, 0},
		"longer afterwards": {[]float64{0.7, 2.1, 2.2}, func(n *noticeCheck, _ *process) {
			n.refused("first", "be1-1", after(start, 0.1), after(start, 4))
		}, 1},
		"shorter afterwards": {[]float64{0.9, 1.3, 1.9}, func(n *noticeCheck, _ *process) {
			n.refused("first", "be1-1", after(start, 0.1), after(start, 1.5))
		}, 1},
	} {
		n, g := noticeCheck{}, &process{name: "g"}
		n.recordSent("first", g, start)
		n.refused("first", "be1-1", start, after(start, 2))
		if c.around != nil {
			c.around(&n, g)
		}
		var got []string
		for _, seconds := range c.arrivals {
			require.Empty(t, n.arrived("first", "be1-2", after(start, seconds)), name)
			got = append(got, n.arrived("first", "be1-1", after(start, seconds))...)
		}
		require.Len(t, got, c.violations, "%s: %v", name, got)
	}
}

// TestNoticesOfEndpointsReachTheReport guards against a recorder or caller that doesn't pass on what the
// check needs.
func TestNoticesOfEndpointsReachTheReport(t *testing.T) {
	tb, g := newQuietTestbed(), &process{name: "g"}
	start := time.Now()
	names := platform.Dialect().Headers
	resp := &http.Response{Header: http.Header{}}
	resp.Header.Set(names.Leaving, "1")
	resp.Header.Set(names.Signature, "be1-1")
	tb.recorder.notices.recordSent("r1", g, after(start, -1))
	(&caller{testbed: tb, gateway: g}).noteLeaving(&call{exchange: exchange{id: "r1", ended: start}}, resp)
	tb.recorder.notices.recordSent("r2", g, after(start, 2.1))
	tb.recorder.RequestArrived("r2", "be1-1")
	require.Len(t, tb.recorder.violations, 1)
	require.Contains(t, tb.recorder.violations[0], "DRAIN r2 reached be1-1 from g")

	tb.recorder.RequestRefused("r1", "be1-2", after(start, 9))
	tb.recorder.notices.busy[noticeKey{g, "be1-2"}][0].answered = after(start, -1)
	for range maxBusyRequests + 1 {
		tb.recorder.RequestArrived("r2", "be1-2")
	}
	require.Len(t, tb.recorder.violations, 2)
	require.Contains(t, tb.recorder.violations[1], "BUDGET r2 is the third to reach be1-2 from g")
}
