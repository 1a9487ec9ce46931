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

// TestCrashingRequestCrashesAtMostTwoEngines repeatedly sends a body that crashes engines, with
// new idempotency keys and through both entries. Other requests must still be served.
func TestCrashingRequestCrashesAtMostTwoEngines(t *testing.T) {
	runFleet(t, func(s *fixture) {
		body := strings.Replace(chatBody, "Summarise", "CRASH", 1)
		for i := range 6 {
			s.send(i%2, "POST", "/v1/chat/completions", body, "Idempotency-Key", strings.Repeat("k", i+1))
			s.waitFor(time.Minute, s.allServing)
		}
		crashes := 0
		for _, spec := range s.opts.Engines {
			crashes += s.Agent(spec.ID).Engine.Crashes()
		}
		require.LessOrEqual(t, crashes, 2)
		a := s.send(0, "POST", "/v1/chat/completions", body)
		require.Equal(t, "not_run", a.header.Get("Egretreach-Outcome"), a.body)
		require.Contains(t, a.body, "quarantined")
		other := s.send(0, "POST", "/v1/chat/completions", chatBody)
		require.Equal(t, http.StatusOK, other.status)
	})
}

// TestDrainedHostFinishesItsWorkAndLeavesItsReplica drains the head of a replica during a stream.
func TestDrainedHostFinishesItsWorkAndLeavesItsReplica(t *testing.T) {
	runFleet(t, func(s *fixture) {
		out := s.sendAsync(0, "POST", "/v1/chat/completions", streamingChatBody)
		advance(300 * time.Millisecond)
		head := s.busyHead()
		_, err := s.Call(s.ctx, &message.Drain{Host: head, Reason: "a new power supply"})
		require.NoError(t, err)
		a := <-out
		want, _, err := engine.Completion([]byte(chatBody))
		require.NoError(t, err)
		require.Equal(t, want, a.streamedText(t))
		s.waitFor(time.Minute, func() bool {
			for _, r := range s.replicas() {
				if r.Has(head) {
					return false
				}
			}
			return s.allServing()
		})
	})
}

// TestLostMemberIsReplacedBySpare isolates a member of a replica without a planned stop.
func TestLostMemberIsReplacedBySpare(t *testing.T) {
	runFleet(t, func(s *fixture) {
		lost := s.replicas()[0].Hosts[1]
		s.isolate(lost)
		s.waitFor(time.Minute, func() bool {
			for _, r := range s.replicas() {
				if r.Has(lost) {
					return false
				}
			}
			return s.allServing()
		})
	})
}

// underLoad sends a generation and a sign-off every 100 ms for d while change runs. Each must be
// complete, and no generation may be resumed.
func (s *fixture) underLoad(d time.Duration, change func()) {
	s.t.Helper()
	var out []<-chan response
	start := time.Now()
	go change()
	for i := 0; time.Since(start) < d; i++ {
		advance(100 * time.Millisecond)
		out = append(out, s.sendAsync(i%2, "POST", "/v1/chat/completions", chatBody))
		out = append(out, s.sendAsync(i%2, "POST", signoffsPath, "{}", "Idempotency-Key", strconv.Itoa(i)))
	}
	for _, pending := range out {
		a := <-pending
		require.Equal(s.t, "complete", a.header.Get("Egretreach-Outcome"), a.body)
	}
	require.Equal(s.t, len(out)/2, s.signoffRuns())
	// A generation that was cut off and resumed has the outcome complete as well.
	require.Zero(s.t, s.generationsResumed(), "a planned stop interrupted generations")
}

// generationsResumed returns the number of generations that an engine continued after another
// one had sent some of their tokens.
func (s *fixture) generationsResumed() int {
	n := 0
	for _, spec := range s.opts.Engines {
		n += s.Agent(spec.ID).Engine.GenerationsResumed()
	}
	return n
}

// TestPlannedStopsRefuseAndInterruptNothing stops daemons as planned, under load.
func TestPlannedStopsRefuseAndInterruptNothing(t *testing.T) {
	stops := map[string]func(s *fixture){
		"control leader":     func(s *fixture) { s.stopControl(s.leader()) },
		"agent of a head":    func(s *fixture) { s.stopAgent(s.replicas()[0].Head()) },
		"agent of a member":  func(s *fixture) { s.stopAgent(s.replicas()[0].Hosts[1]) },
		"agent of a service": func(s *fixture) { s.stopAgent("records-1") },
	}
	for name, stop := range stops {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runFleet(t, func(s *fixture) {
				s.underLoad(8*time.Second, func() { stop(s) })
			})
		})
	}
}

// stopAgent stops an agent as its process does on SIGTERM.
func (s *fixture) stopAgent(id host.ID) {
	_ = s.Agent(id).Shutdown(s.ctx)
	s.Agent(id).Kill()
}

// stopControl stops a control host as its process does on SIGTERM.
func (s *fixture) stopControl(id host.ID) {
	for i := range 3 {
		if s.Control(i).Host == id {
			_ = s.Control(i).Shutdown(s.ctx)
			s.Control(i).Kill()
		}
	}
}

// TestStoppingHeadGetsNoNewWork checks that the head of a replica gets no new generations from 2 s
// after the start of its planned stop on.
func TestStoppingHeadGetsNoNewWork(t *testing.T) {
	runFleet(t, func(s *fixture) {
		head := s.replicas()[0].Head()
		s.underLoad(6*time.Second, func() {
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				_ = s.Agent(head).Shutdown(s.ctx)
			}()
			advance(2 * time.Second)
			started := s.Agent(head).Engine.GenerationsStarted()
			<-stopped
			advance(time.Second)
			require.Equal(s.t, started, s.Agent(head).Engine.GenerationsStarted())
		})
	})
}

// TestRolloutRefusesNothing moves a deployment to another version under load. Afterwards every
// replica must serve that version.
func TestRolloutRefusesNothing(t *testing.T) {
	runFleetWithHosts(t, 6, func(s *fixture) {
		next := strings.Replace(string(config.DefaultYAML()), `      - name: "1"
        weights: 64MiB
`, `      - name: "1"
        weights: 64MiB
      - name: "2"
        weights: 64MiB
`, 1)
		next = strings.Replace(next, `version: "1"`, `version: "2"`, 1)
		s.underLoad(20*time.Second, func() { require.NoError(s.t, s.Apply(s.ctx, 1, []byte(next))) })
		s.waitFor(time.Minute, func() bool {
			for _, r := range s.replicas() {
				if r.Spec.Version != "2" {
					return false
				}
			}
			return s.allServing()
		})
	})
}

// TestControlHostsStopTogetherWithoutDelay stops all control hosts at the same time. The last
// leader has no successor and must not wait for one.
func TestControlHostsStopTogetherWithoutDelay(t *testing.T) {
	runFleet(t, func(s *fixture) {
		var stopped sync.WaitGroup
		start := time.Now()
		for i := range 3 {
			stopped.Go(func() { _ = s.Control(i).Shutdown(s.ctx) })
		}
		stopped.Wait()
		require.Less(t, time.Since(start), 15*time.Second)
	})
}
