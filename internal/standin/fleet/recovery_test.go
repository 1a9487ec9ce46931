package fleet

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/config"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/standin/engine"
)

// TestCrashingRequestCostsTwoReplicasAtMost sends a body that crashes engines again
// and again, with new keys and through both entries.
func TestCrashingRequestCostsTwoReplicasAtMost(t *testing.T) {
	inFleet(t, func(s *scene) {
		body := strings.Replace(question, "Summarise", "CRASH", 1)
		for i := range 6 {
			s.send(i%2, "POST", "/v1/chat/completions", body, "Idempotency-Key", strings.Repeat("k", i+1))
			s.await(time.Minute, s.whole)
		}
		crashes := 0
		for _, spec := range s.opts.Engines {
			crashes += s.Agent(spec.ID).Engine.Crashes()
		}
		require.LessOrEqual(t, crashes, 2)
		a := s.send(0, "POST", "/v1/chat/completions", body)
		require.Equal(t, "not_run", a.header.Get("Egretreach-Outcome"), a.body)
		require.Contains(t, a.body, "quarantined")
		innocent := s.send(0, "POST", "/v1/chat/completions", question)
		require.Equal(t, http.StatusOK, innocent.status)
	})
}

// TestDrainedHostGetsNoNewWorkAndCutsNothing drains the head that streams.
func TestDrainedHostGetsNoNewWorkAndCutsNothing(t *testing.T) {
	inFleet(t, func(s *scene) {
		out := s.later(0, "POST", "/v1/chat/completions", streamed)
		pass(300 * time.Millisecond)
		head := s.busyHead()
		_, err := s.Call(s.ctx, &message.Drain{Host: head, Reason: "a new power supply"})
		require.NoError(t, err)
		a := <-out
		want, _, err := engine.Completion([]byte(question))
		require.NoError(t, err)
		require.Equal(t, want, a.text(t))
		s.await(time.Minute, func() bool {
			for _, r := range s.replicas() {
				if r.Has(head) {
					return false
				}
			}
			return s.whole()
		})
	})
}

// TestLostMemberClosesTheGateAndASpareTakesItsPlace kills a member without a word.
func TestLostMemberClosesTheGateAndASpareTakesItsPlace(t *testing.T) {
	inFleet(t, func(s *scene) {
		lost := s.replicas()[0].Hosts[1]
		s.isolate(lost)
		s.await(time.Minute, func() bool {
			for _, r := range s.replicas() {
				if r.Has(lost) {
					return false
				}
			}
			return s.whole()
		})
	})
}

// underLoad sends a generation and a sign-off every 100 ms for d while change is
// carried out; each must be answered in full.
func (s *scene) underLoad(d time.Duration, change func()) {
	s.t.Helper()
	var out []<-chan answer
	start := time.Now()
	go change()
	for i := 0; time.Since(start) < d; i++ {
		pass(100 * time.Millisecond)
		out = append(out, s.later(i%2, "POST", "/v1/chat/completions", question))
		out = append(out, s.later(i%2, "POST", signoffs, "{}", "Idempotency-Key", strconv.Itoa(i)))
	}
	for _, answered := range out {
		a := <-answered
		require.Equal(s.t, "complete", a.header.Get("Egretreach-Outcome"), a.body)
	}
	require.Equal(s.t, len(out)/2, s.signoffs())
	// An idempotent request that was cut off and resumed would be complete as well.
	require.Zero(s.t, s.resumed(), "a planned stop cut generations off")
}

// resumed returns the number of generations that an engine began behind a token that
// another one had given.
func (s *scene) resumed() int {
	n := 0
	for _, spec := range s.opts.Engines {
		n += s.Agent(spec.ID).Engine.GenerationsResumed()
	}
	return n
}

// TestPlannedStopsRefuseAndCutNothing stops daemons in good order under load.
func TestPlannedStopsRefuseAndCutNothing(t *testing.T) {
	stops := map[string]func(s *scene){
		"control leader": func(s *scene) {
			leader := s.leader()
			for i := range 3 {
				if s.Control(i).Host == leader {
					_ = s.Control(i).Shutdown(s.ctx)
					s.Control(i).Kill()
				}
			}
		},
		"agent of a head":    func(s *scene) { s.stopAgent(s.replicas()[0].Head()) },
		"agent of a member":  func(s *scene) { s.stopAgent(s.replicas()[0].Hosts[1]) },
		"agent of a service": func(s *scene) { s.stopAgent("records-1") },
	}
	for name, stop := range stops {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			inFleet(t, func(s *scene) {
				s.underLoad(8*time.Second, func() { stop(s) })
			})
		})
	}
}

// stopAgent stops an agent as its process does at SIGTERM.
func (s *scene) stopAgent(id host.ID) {
	_ = s.Agent(id).Shutdown(s.ctx)
	s.Agent(id).Kill()
}

// TestStoppingHeadGetsNoNewWork within 2 s of the start of its stop.
func TestStoppingHeadGetsNoNewWork(t *testing.T) {
	inFleet(t, func(s *scene) {
		head := s.replicas()[0].Head()
		s.underLoad(6*time.Second, func() {
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				_ = s.Agent(head).Shutdown(s.ctx)
			}()
			pass(2 * time.Second)
			begun := s.Agent(head).Engine.GenerationsStarted()
			<-stopped
			pass(time.Second)
			require.Equal(s.t, begun, s.Agent(head).Engine.GenerationsStarted())
		})
	})
}

// TestRolloutRefusesNothing moves a deployment to another version under load, and
// every replica that serves afterwards has it.
func TestRolloutRefusesNothing(t *testing.T) {
	inFleetOf(t, 6, func(s *scene) {
		next := strings.Replace(string(config.DefaultYAML()), `      - name: "1"
        weights: 64MiB
`, `      - name: "1"
        weights: 64MiB
      - name: "2"
        weights: 64MiB
`, 1)
		next = strings.Replace(next, `version: "1"`, `version: "2"`, 1)
		s.underLoad(20*time.Second, func() { require.NoError(s.t, s.Apply(s.ctx, 1, []byte(next))) })
		s.await(time.Minute, func() bool {
			for _, r := range s.replicas() {
				if r.Spec.Version != "2" {
					return false
				}
			}
			return s.whole()
		})
	})
}

// TestAllControlHostsStopTogether: the last leader finds no successor and does not
// wait for one.
func TestAllControlHostsStopTogether(t *testing.T) {
	inFleet(t, func(s *scene) {
		var stopped sync.WaitGroup
		start := time.Now()
		for i := range 3 {
			stopped.Go(func() { _ = s.Control(i).Shutdown(s.ctx) })
		}
		stopped.Wait()
		require.Less(t, time.Since(start), 15*time.Second)
	})
}
