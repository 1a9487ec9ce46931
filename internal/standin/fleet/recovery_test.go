package fleet

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
		time.Sleep(300 * time.Millisecond)
		head := s.busyHead()
		_, err := s.Call(s.ctx, &message.Drain{Host: head, Reason: "a new power supply"})
		require.NoError(t, err)
		a := <-out
		want, _, err := engine.Answer([]byte(question))
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
