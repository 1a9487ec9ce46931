package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/platform/standin"
)

// TestJudgeAppliesTheRuleOnLostRequests guards against a rule that excuses a request which a gateway
// has read and lost, or reports one that the rule excuses.
func TestJudgeAppliesTheRuleOnLostRequests(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	stopAt := func(first, last float64) []plannedStop { return []plannedStop{{at(first), at(last)}} }
	for name, c := range map[string]struct {
		sent, ended float64
		around      circumstances
		want        string
	}{
		"cut by a stop":                      {0, 1, circumstances{ran: true, working: true, stops: stopAt(0.9, 0.9)}, "LOST beside a stop"},
		"cut by a repeated signal":           {0, 3, circumstances{ran: true, working: true, stops: stopAt(-1, 2.9)}, "LOST beside a stop"},
		"not passed on, held":                {0, 0.3, circumstances{stops: stopAt(0.1, 0.1)}, "LOST beside a stop"},
		"not passed on, closed at once":      {0, 0.2, circumstances{stops: stopAt(0.1, 0.1)}, "excused: crossed a close"},
		"passed on, closed at once":          {0, 0.1, circumstances{ran: true, stops: stopAt(0, 0)}, "LOST beside a stop"},
		"in the aftermath of a stop":         {7, 8.9, circumstances{ran: true, stops: stopAt(0, 0)}, "LOST beside a stop"},
		"after the aftermath of a stop":      {8, 9.1, circumstances{ran: true, stops: stopAt(0, 0)}, "LOST without any cause"},
		"at work in the last sixth":          {2.9, 7, circumstances{ran: true, working: true, stops: stopAt(0, 0)}, "excused: at work until the end of a stop"},
		"at work, cut by the SIGKILL":        {2.9, 8.1, circumstances{ran: true, working: true, stops: stopAt(0, 0)}, "excused: at work until the end of a stop"},
		"finished, cut by the SIGKILL":       {2.9, 8.1, circumstances{ran: true, stops: stopAt(0, 0)}, "LOST beside a stop"},
		"sent late, at work in the last one": {3.1, 7, circumstances{ran: true, working: true, stops: stopAt(0, 0)}, "LOST beside a stop"},
		"finished, cut in the last sixth":    {2.9, 7, circumstances{ran: true, stops: stopAt(0, 0)}, "LOST beside a stop"},
		"cut before the last sixth":          {2, 6.6, circumstances{ran: true, working: true, stops: stopAt(0, 0)}, "LOST beside a stop"},
		"sent soon after a SIGHUP":           {1.9, 5, circumstances{ran: true, reloads: []time.Time{start}}, "LOST beside a SIGHUP"},
		"sent before a SIGHUP, cut before":   {-2, -1, circumstances{ran: true, reloads: []time.Time{start}}, "LOST without any cause"},
		"beside a change":                    {0, 3.5, circumstances{ran: true, changes: []change{{at(0), at(0.6)}}}, "LOST beside a change"},
		"beside a change in progress":        {0, 5, circumstances{ran: true, changes: []change{{sent: at(4)}}}, "LOST beside a change"},
		"long after a change":                {0, 3.7, circumstances{ran: true, changes: []change{{at(0), at(0.6)}}}, "LOST without any cause"},
		"most of its time used":              {0, 9, circumstances{ran: true, changes: []change{{sent: at(8)}}}, "LOST without any cause"},
		"deadline reached":                   {0, 12, circumstances{ran: true, stops: stopAt(11, 11)}, "excused: deadline reached"},
		"gateway killed":                     {0, 1, circumstances{ran: true, stops: stopAt(0, 0), gatewayForced: true}, "excused: gateway killed or paused"},
		"endpoint crashed":                   {0, 1, circumstances{ran: true, stops: stopAt(0, 0), endpointDisturbed: true}, "excused: endpoint disturbed"},
	} {
		e := exchange{kind: kindStream, timeout: streamDeadline, opened: at(c.sent), began: at(c.sent), sent: at(c.sent), ended: at(c.ended)}
		require.Equal(t, c.want, c.around.judge(e).String(), name)
	}
	require.Equal(t, "excused: not sent whole", circumstances{ran: true}.judge(exchange{}).String())
}

// TestRequestSentAheadIsReadInItsTurn guards against a rule that counts a request as read while the response before it still comes, or
// excuses one behind the end of its connection that ran all the same.
func TestRequestSentAheadIsReadInItsTurn(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	stops := []plannedStop{{at(1), at(1)}}
	for name, c := range map[string]struct {
		turn, ended float64
		afterEnd    bool
		ran         bool
		want        string
	}{
		"closed at its turn":          {2, 2.1, false, false, "excused: crossed a close"},
		"closed long after its turn":  {2, 2.3, false, false, "LOST beside a stop"},
		"closed at its turn, but ran": {2, 2.1, false, true, "LOST beside a stop"},
		"behind the end":              {2, 3, true, false, "excused: sent to a connection that ended"},
		"behind the end, but ran":     {2, 3, true, true, "LOST beside a stop"},
		"sent after its turn":         {-1, 0.3, false, false, "LOST without any cause"},
	} {
		e := exchange{kind: kindStream, timeout: streamDeadline, opened: start, began: start, sent: start, turn: at(c.turn), ended: at(c.ended), afterEnd: c.afterEnd}
		require.Equal(t, c.want, circumstances{ran: c.ran, stops: stops}.judge(e).String(), name)
	}
}

// TestRequestThatHasWaitedIsOwedAnAnswer guards against a rule that excuses a request which had arrived before the response before it ended,
// and whose connection was closed behind that response.
func TestRequestThatHasWaitedIsOwedAnAnswer(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	for name, c := range map[string]struct {
		before, stop float64
		afterEnd     bool
		want         string
	}{
		"arrived long before":            {1.5, 1, false, "LOST beside a stop"},
		"arrived just before":            {0.1, 1, false, "excused: crossed a close"},
		"behind the end":                 {1.5, 1, true, "excused: sent to a connection that ended"},
		"when the time of a stop was up": {1.5, -5.5, false, "excused: crossed a close"},
	} {
		stops := []plannedStop{{at(c.stop), at(c.stop)}}
		e := exchange{
			kind: kindStream, timeout: streamDeadline, opened: start, began: start, sent: start, turn: at(2), ended: at(2.1),
			before: at(c.before), afterEnd: c.afterEnd,
		}
		require.Equal(t, c.want, circumstances{stops: stops}.judge(e).String(), name)
	}
}

// TestCallerTellsRefusedConnectsFromLostRequests guards against a caller that counts a request which
// was sent whole on an open connection as one that could not connect.
func TestCallerTellsRefusedConnectsFromLostRequests(t *testing.T) {
	closing := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = c.Close()
		}
	}))
	closing.Start()
	defer closing.Close()
	tb := newQuietTestbed()
	c := newCaller("c", newRunning(time.Now()), tb, newRand(1, 1))
	c.client.Transport = &http.Transport{DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, closing.Listener.Addr().String())
	}}
	e := c.sendOnce(t.Context(), kindStream, minStreamEvents)
	require.Equal(t, "sent whole, no answer", e.class())
	require.False(t, e.sent.IsZero())

	c.client.Transport = &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		return nil, io.EOF
	}}
	e = c.sendOnce(t.Context(), kindStream, minStreamEvents)
	require.Equal(t, "could not connect", e.class())
}

// TestCallerUsesConnectionOpenedEarly guards against a late caller that opens a new connection in place
// of the one opened ahead.
func TestCallerUsesConnectionOpenedEarly(t *testing.T) {
	early, other := net.Pipe()
	defer func() { _ = other.Close() }()
	c := newCaller("c", &process{}, newQuietTestbed(), newRand(1, 1))
	c.early = early
	got, err := c.dial(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.Same(t, early, got)
	require.Nil(t, c.early)
}

// TestStopsOfOneRunAreJoined guards against a repeated SIGTERM that counts as the start of another stop,
// which would excuse what it cuts.
func TestStopsOfOneRunAreJoined(t *testing.T) {
	p := &process{command: &exec.Cmd{}, started: time.Now()}
	p.recordStopLocked(p.started.Add(time.Second))
	p.recordStopLocked(p.started.Add(2 * time.Second))
	require.Equal(t, []plannedStop{{p.started.Add(time.Second), p.started.Add(2 * time.Second)}}, p.stops)
	p.started = p.started.Add(5 * time.Second)
	p.recordStopLocked(p.started.Add(time.Second))
	require.Len(t, p.stops, 2)
}

// TestSeriesOfSignalsEndsWithItsRun guards against a series of signals that goes on into the next run of a process, which would never start.
func TestSeriesOfSignalsEndsWithItsRun(t *testing.T) {
	started := time.Now()
	p := &process{started: started}
	require.False(t, p.signalRun(started, syscall.SIGTERM), "it has ended")
	p = newRunning(started)
	p.started = started.Add(time.Second)
	require.False(t, p.signalRun(started, syscall.SIGTERM), "it was started again")
	require.Empty(t, p.stops)
}

// TestFaultKindsSelect guards against an option that selects other faults than it names.
func TestFaultKindsSelect(t *testing.T) {
	rng := newRand(1, 1)
	only := faultKinds{faultSilence, faultChange}
	require.NoError(t, only.validate())
	for range 20 {
		require.Equal(t, faultSilence, only.pick(rng))
	}
	require.True(t, only.has(faultChange))
	require.False(t, only.has(faultLate))
	require.Empty(t, faultKinds{faultLate}.pick(rng))
	require.Error(t, faultKinds{"no-such"}.validate())
	require.True(t, faultKinds(nil).has(faultLate))
	require.Equal(t, len(allKinds()), len(strings.Split(allKinds().String(), ", ")))
}

// TestDisturbancesConcernTheEndpointsThatRan guards against a disturbance of one endpoint that excuses a
// request which ran on another.
func TestDisturbancesConcernTheEndpointsThatRan(t *testing.T) {
	start := time.Now()
	tb := newQuietTestbed()
	for _, name := range []string{"be1", "be2"} {
		tb.backends = append(tb.backends, &backend{name: name, proxy: &proxy{}, testbed: tb})
	}
	tb.backends[0].lastCrash = start
	require.False(t, tb.backendsUndisturbed([]string{"be1-1"}, start))
	require.True(t, tb.backendsUndisturbed([]string{"be2-1"}, start))
	require.False(t, tb.backendsUndisturbed(nil, start))
	tb.backends[1].endpoint = &standin.Endpoint{}
	tb.backends[1].silence(time.Second)
	require.True(t, tb.backendsUndisturbed([]string{"be2-1"}, start), "a silence is no disturbance")
}

// TestSecondDiskIsLostOnlyAfterTheFirstIsReplaced guards against a rig that removes two of three disks
// before the state of the first is copied back, which no quorum survives.
func TestSecondDiskIsLostOnlyAfterTheFirstIsReplaced(t *testing.T) {
	first := &process{name: "portal-1", folder: t.TempDir()}
	second := &process{name: "portal-2", folder: first.folder}
	f := &faultInjector{}
	require.True(t, f.othersAdmitted(second))
	write := func(lines string) { require.NoError(t, os.WriteFile(first.logPath(), []byte(lines), 0o600)) }
	const admitted = "{\"name\":\"quorum_admitted\"}\n"
	write(admitted)
	f.wiped, f.admissions = first, first.admissions()
	require.False(t, f.othersAdmitted(second))
	require.True(t, f.othersAdmitted(first))
	write(admitted + admitted)
	require.True(t, f.othersAdmitted(second))
}

// TestRequestOnTheConnectionOfAnEarlierProcessIsOwedNoResponse guards against a report of a request that was sent on a kept connection whose
// gateway had been killed since, and against a shorter time without disturbances for other requests.
func TestRequestOnTheConnectionOfAnEarlierProcessIsOwedNoResponse(t *testing.T) {
	began := time.Now()
	e := exchange{opened: began}
	require.Equal(t, began.Add(-settleTime), e.undisturbedFrom())
	e.connOpenedAt = began.Add(-settleTime / 2)
	require.Equal(t, began.Add(-settleTime), e.undisturbedFrom())
	e.connOpenedAt = began.Add(-2 * settleTime)
	require.Equal(t, e.connOpenedAt, e.undisturbedFrom())
}
