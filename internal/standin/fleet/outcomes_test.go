package fleet

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/standin/service"
)

var update = flag.Bool("update", false, "write the golden files anew")

// networkDelay is the one-way delay of packets. It makes each step of a sign-off long enough
// for a fault to fall within it.
const networkDelay = 200 * time.Millisecond

// steps lists the steps of a sign-off and when the fault is injected, counted from the start of
// the sign-off: a claim takes two round trips, the way to the agent and the way back one
// delay each, and the service responds after serviceTime.
var steps = []struct {
	name string
	at   time.Duration
}{
	{"claiming", 300 * time.Millisecond},
	{"dispatched", 900 * time.Millisecond},
	{"running", 1500 * time.Millisecond},
	{"answering", 2100 * time.Millisecond},
	{"settling", 2500 * time.Millisecond},
}

// serviceTime is the time from the start of a sign-off to the response of the service.
const serviceTime = 2 * time.Second

// stepFaults lists the faults that are injected at each step.
var stepFaults = []struct {
	name string
	// callerless is set if the first caller gets no response or its response doesn't count.
	callerless bool
	inject     func(s *fixture, cancelCaller context.CancelFunc, agent host.ID)
}{
	{"caller gone", true, func(_ *fixture, cancelCaller context.CancelFunc, _ host.ID) { cancelCaller() }},
	{"entry killed", true, func(s *fixture, _ context.CancelFunc, _ host.ID) { s.Entry(0).Kill() }},
	{"entry dark", true, func(s *fixture, _ context.CancelFunc, _ host.ID) { s.isolate("entry-1") }},
	{"agent killed", false, func(s *fixture, _ context.CancelFunc, agent host.ID) { s.Agent(agent).Kill() }},
	{"agent dark for 4 s", false, func(s *fixture, _ context.CancelFunc, agent host.ID) { s.isolateFor(4*time.Second, agent) }},
	{"link cut for 4 s", false, func(s *fixture, _ context.CancelFunc, agent host.ID) {
		s.cutLink("entry-1", agent)
		time.AfterFunc(4*time.Second, func() { s.healLink("entry-1", agent) })
	}},
	{"one-way cut to the agent", false, func(s *fixture, _ context.CancelFunc, agent host.ID) {
		s.sockets.Network.Cut(s.sockets.IP("entry-1"), s.sockets.IP(agent))
	}},
	{"one-way cut from the agent", false, func(s *fixture, _ context.CancelFunc, agent host.ID) {
		s.sockets.Network.Cut(s.sockets.IP(agent), s.sockets.IP("entry-1"))
	}},
	{"open links silent", false, func(s *fixture, _ context.CancelFunc, _ host.ID) { s.sockets.Network.DropFlows() }},
	{"control without quorum for 4 s", false, func(s *fixture, _ context.CancelFunc, _ host.ID) {
		s.isolateFor(4*time.Second, "control-1", "control-2")
	}},
	{"service crashes", false, func(s *fixture, _ context.CancelFunc, agent host.ID) { s.Agent(agent).Service.DropHanging() }},
}

// isolateFor cuts the links of hosts in both directions for a time.
func (s *fixture) isolateFor(d time.Duration, hosts ...host.ID) {
	all := slices.Concat(hosts, []host.ID{"control-1", "control-2", "control-3", "entry-1", "entry-2", "records-1"})
	for _, id := range hosts {
		for _, other := range all {
			s.cutLink(id, other)
		}
	}
	time.AfterFunc(d, func() {
		for _, id := range hosts {
			for _, other := range all {
				s.healLink(id, other)
			}
		}
	})
}

// TestOutcomesAtEveryStep injects each fault at each step of a sign-off, with a single endpoint
// of the service, and sends the sign-off again through the other entry until it is complete or
// 20 times. The golden file is the table in docs/PROMISES.md.
func TestOutcomesAtEveryStep(t *testing.T) {
	cells := make([][]string, len(stepFaults))
	t.Run("cells", func(t *testing.T) {
		for i, fault := range stepFaults {
			cells[i] = make([]string, len(steps))
			for j, step := range steps {
				t.Run(fault.name+"/"+step.name, func(t *testing.T) {
					t.Parallel()
					runFleet(t, func(s *fixture) {
						cells[i][j] = s.outcomeAt(step.at, fault.callerless, fault.inject)
					})
				})
			}
		}
	})
	path := filepath.Join("testdata", "outcomes.golden")
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(outcomeTable(cells)), 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	wantCells, gotCells := strings.Split(string(want), "|"), strings.Split(outcomeTable(cells), "|")
	require.Len(t, gotCells, len(wantCells))
	for i, cell := range wantCells {
		requireOutcomes(t, cell, gotCells[i])
	}
}

func outcomeTable(cells [][]string) string {
	var table strings.Builder
	table.WriteString("| fault |")
	for _, step := range steps {
		table.WriteString(" " + step.name + " |")
	}
	table.WriteString("\n|---|" + strings.Repeat("---|", len(steps)) + "\n")
	for i, fault := range stepFaults {
		table.WriteString("| " + fault.name + " | " + strings.Join(cells[i], " | ") + " |\n")
	}
	return table.String()
}

// requireOutcomes compares a cell with the golden one, which joins two first outcomes with "or"
// where the jitter of a retry decides between them.
func requireOutcomes(t *testing.T, want, got string) {
	t.Helper()
	wantFirst, wantLast, _ := strings.Cut(strings.TrimSpace(want), ", then ")
	gotFirst, gotLast, _ := strings.Cut(strings.TrimSpace(got), ", then ")
	require.Contains(t, strings.Split(wantFirst, " or "), gotFirst)
	require.Equal(t, wantLast, gotLast)
}

// outcomeAt injects a fault at a time after the start of a sign-off, and returns the outcomes of
// the first response and of the last resend.
func (s *fixture) outcomeAt(at time.Duration, callerless bool, inject func(*fixture, context.CancelFunc, host.ID)) string {
	const only = host.ID("records-1")
	require.NoError(s.t, s.Agent("records-2").Shutdown(s.ctx))
	s.Agent(only).Service.SetFailure(service.FailureHang)
	s.sockets.Network.SetDelay(networkDelay)
	advance(5 * time.Second)
	ctx, cancelCaller := context.WithCancel(s.ctx)
	defer cancelCaller()
	first := s.sendSignoff(ctx, 0)
	time.AfterFunc(serviceTime, func() {
		s.Agent(only).Service.SetFailure(service.FailureNone)
		s.Agent(only).Service.ReleaseHanging()
	})
	advance(at)
	inject(s, cancelCaller, only)
	firstOutcome := "-"
	if a := <-first; !callerless {
		firstOutcome = a.header.Get("Egretreach-Outcome")
		if firstOutcome == "not_run" {
			require.Zero(s.t, s.runsOf(a.header.Get("Egretreach-Request-Id")))
		}
	}
	last := ""
	for range 20 {
		if last = (<-s.sendSignoff(s.ctx, 1)).header.Get("Egretreach-Outcome"); last == "complete" {
			break
		}
		advance(time.Second)
	}
	ran := s.signoffRuns()
	require.LessOrEqual(s.t, ran, 1)
	if last == "complete" || firstOutcome == "complete" {
		require.Equal(s.t, 1, ran)
	}
	return fmt.Sprintf("%s, then %s", firstOutcome, last)
}

func (s *fixture) sendSignoff(ctx context.Context, entry int) <-chan response {
	out := make(chan response, 1)
	go func() {
		r := httptest.NewRequest(http.MethodPost, signoffsPath, strings.NewReader("{}")).WithContext(ctx)
		r.Header.Set("Authorization", "Bearer dev-token-jordan")
		r.Header.Set("Idempotency-Key", "tag-17")
		r.Header.Set("Egretreach-Timeout", "20s")
		w := httptest.NewRecorder()
		s.Entry(entry).Handler().ServeHTTP(w, r)
		out <- response{status: w.Code, header: w.Result().Header, body: w.Body.String()}
	}()
	return out
}
