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

// farApart is a one-way delay that makes each step of a request long enough to be hit.
const farApart = 200 * time.Millisecond

// steps are the moments at which a fault falls on a sign-off, counted from its start:
// a claim takes two round trips, the way to the agent and back one delay each, and
// the service answers after serviceTime.
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

const serviceTime = 2 * time.Second

// stepFaults are the faults of the matrix. A fault that is told of leaves the first
// caller without an answer.
var stepFaults = []struct {
	name string
	// callerless says that the first caller gets no answer, or none that counts.
	callerless bool
	bring      func(s *scene, gone context.CancelFunc, agent host.ID)
}{
	{"caller gone", true, func(_ *scene, gone context.CancelFunc, _ host.ID) { gone() }},
	{"entry killed", true, func(s *scene, _ context.CancelFunc, _ host.ID) { s.Entry(0).Kill() }},
	{"entry dark", true, func(s *scene, _ context.CancelFunc, _ host.ID) { s.isolate("entry-1") }},
	{"agent killed", false, func(s *scene, _ context.CancelFunc, agent host.ID) { s.Agent(agent).Kill() }},
	{"agent dark for 4 s", false, func(s *scene, _ context.CancelFunc, agent host.ID) { s.darkFor(4*time.Second, agent) }},
	{"link cut for 4 s", false, func(s *scene, _ context.CancelFunc, agent host.ID) {
		s.cut("entry-1", agent)
		time.AfterFunc(4*time.Second, func() { s.heal("entry-1", agent) })
	}},
	{"one-way cut to the agent", false, func(s *scene, _ context.CancelFunc, agent host.ID) {
		s.memory.Network.Cut(s.memory.IP("entry-1"), s.memory.IP(agent))
	}},
	{"one-way cut from the agent", false, func(s *scene, _ context.CancelFunc, agent host.ID) {
		s.memory.Network.Cut(s.memory.IP(agent), s.memory.IP("entry-1"))
	}},
	{"open links silent", false, func(s *scene, _ context.CancelFunc, _ host.ID) { s.memory.Network.DropFlows() }},
	{"control without quorum for 4 s", false, func(s *scene, _ context.CancelFunc, _ host.ID) {
		s.darkFor(4*time.Second, "control-1", "control-2")
	}},
	{"service crashes", false, func(s *scene, _ context.CancelFunc, agent host.ID) { s.Agent(agent).Service.DropHanging() }},
}

// darkFor isolates hosts for a time.
func (s *scene) darkFor(d time.Duration, hosts ...host.ID) {
	all := slices.Concat(hosts, []host.ID{"control-1", "control-2", "control-3", "entry-1", "entry-2", "records-1"})
	for _, id := range hosts {
		for _, other := range all {
			s.cut(id, other)
		}
	}
	time.AfterFunc(d, func() {
		for _, id := range hosts {
			for _, other := range all {
				s.heal(id, other)
			}
		}
	})
}

// TestOutcomesAtEveryStep brings each fault about at each step of a sign-off, with one
// endpoint of the service, and sends it again through the other entry until it is
// complete. The golden file is the table of docs/PROMISES.md.
func TestOutcomesAtEveryStep(t *testing.T) {
	cells := make([][]string, len(stepFaults))
	t.Run("cells", func(t *testing.T) {
		for i, fault := range stepFaults {
			cells[i] = make([]string, len(steps))
			for j, step := range steps {
				t.Run(fault.name+"/"+step.name, func(t *testing.T) {
					t.Parallel()
					inFleet(t, func(s *scene) {
						cells[i][j] = s.outcomeAt(step.at, fault.callerless, fault.bring)
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
		requireCell(t, cell, gotCells[i])
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

// requireCell compares a cell with the golden one, which names both outcomes with "or"
// where a retry's jitter decides between them.
func requireCell(t *testing.T, want, got string) {
	t.Helper()
	wantFirst, wantLast, _ := strings.Cut(strings.TrimSpace(want), ", then ")
	gotFirst, gotLast, _ := strings.Cut(strings.TrimSpace(got), ", then ")
	require.Contains(t, strings.Split(wantFirst, " or "), gotFirst)
	require.Equal(t, wantLast, gotLast)
}

// outcomeAt returns what the first caller and the last resend were told.
func (s *scene) outcomeAt(at time.Duration, callerless bool, bring func(*scene, context.CancelFunc, host.ID)) string {
	const only = host.ID("records-1")
	require.NoError(s.t, s.Agent("records-2").Shutdown(s.ctx))
	s.Agent(only).Service.SetFailure(service.FailureHang)
	s.memory.Network.SetDelay(farApart)
	pass(5 * time.Second)
	ctx, gone := context.WithCancel(s.ctx)
	defer gone()
	first := s.signOffOnce(ctx, 0)
	time.AfterFunc(serviceTime, func() {
		s.Agent(only).Service.SetFailure(service.FailureNone)
		s.Agent(only).Service.ReleaseHanging()
	})
	pass(at)
	bring(s, gone, only)
	told := "-"
	if a := <-first; !callerless {
		told = a.header.Get("Egretreach-Outcome")
		if told == "not_run" {
			require.Zero(s.t, s.ranAs(a.header.Get("Egretreach-Request-Id")))
		}
	}
	last := ""
	for range 20 {
		if last = (<-s.signOffOnce(s.ctx, 1)).header.Get("Egretreach-Outcome"); last == "complete" {
			break
		}
		pass(time.Second)
	}
	ran := s.signoffs()
	require.LessOrEqual(s.t, ran, 1)
	if last == "complete" || told == "complete" {
		require.Equal(s.t, 1, ran)
	}
	return fmt.Sprintf("%s, then %s", told, last)
}

func (s *scene) signOffOnce(ctx context.Context, entry int) <-chan answer {
	out := make(chan answer, 1)
	go func() {
		r := httptest.NewRequest(http.MethodPost, signoffs, strings.NewReader("{}")).WithContext(ctx)
		r.Header.Set("Authorization", "Bearer dev-token-jordan")
		r.Header.Set("Idempotency-Key", "tag-17")
		r.Header.Set("Egretreach-Timeout", "20s")
		w := httptest.NewRecorder()
		s.Entry(entry).Handler().ServeHTTP(w, r)
		out <- answer{status: w.Code, header: w.Result().Header, body: w.Body.String()}
	}()
	return out
}
