package fleet

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/standin/engine"
)

// silences are pauses of one or more processes that go on afterwards.
var silences = map[string]func(s *fixture, d time.Duration){
	"engine of a head":   func(s *fixture, d time.Duration) { s.pauseEngine(d, s.replicas()[0].Head()) },
	"engine of a member": func(s *fixture, d time.Duration) { s.pauseEngine(d, s.replicas()[0].Hosts[1]) },
	"agent of a head":    func(s *fixture, d time.Duration) { s.pauseHosts(d, s.replicas()[0].Head()) },
	"agent of a member":  func(s *fixture, d time.Duration) { s.pauseHosts(d, s.replicas()[0].Hosts[1]) },
	"agent of a service": func(s *fixture, d time.Duration) { s.pauseHosts(d, "records-1") },
	"entry":              func(s *fixture, d time.Duration) { s.pauseHosts(d, "entry-1") },
	"control leader":     func(s *fixture, d time.Duration) { s.pauseHosts(d, s.leader()) },
	"all control hosts":  func(s *fixture, d time.Duration) { s.pauseHosts(d, "control-1", "control-2", "control-3") },
}

// TestSilenceOfASecondLosesNoAnswer pauses a process while streams run and sign-offs are sent.
// Every stream must end whole, and every sign-off must be complete or have not run.
func TestSilenceOfASecondLosesNoAnswer(t *testing.T) {
	loads := []struct {
		streams int
		silence time.Duration
	}{{1, time.Second}, {32, 1500 * time.Millisecond}}
	for name, silence := range silences {
		for _, replicas := range []int{1, 2} {
			for _, load := range loads {
				t.Run(fmt.Sprintf("%s/replicas=%d/streams=%d/%s", name, replicas, load.streams, load.silence), func(t *testing.T) {
					t.Parallel()
					runFleetWithReplicas(t, 5, replicas, func(s *fixture) {
						s.requireNothingLost(load.streams, func() { silence(s, load.silence) })
					})
				})
			}
		}
	}
}

// pauseHosts keeps the packets from and to hosts for a time.
func (s *fixture) pauseHosts(d time.Duration, hosts ...host.ID) {
	for _, id := range hosts {
		ip := s.sockets.IP(id)
		s.sockets.Network.Hold(ip)
		time.AfterFunc(d, func() { s.sockets.Network.Release(ip) })
	}
}

// pauseEngine pauses the engine of a host for a time.
func (s *fixture) pauseEngine(d time.Duration, id host.ID) {
	e := s.Agent(id).Engine
	e.Pause()
	time.AfterFunc(d, e.Resume)
}

// requireNothingLost starts streams of at least 2 s, calls disturb after 0.5 s and then sends a
// sign-off every 100 ms for 2 s.
func (s *fixture) requireNothingLost(streams int, disturb func()) {
	s.t.Helper()
	var running, signoffs []<-chan response
	for n := range streams {
		running = append(running, s.sendAsync(n%2, "POST", "/v1/chat/completions", streamBody(n)))
	}
	advance(500 * time.Millisecond)
	disturb()
	for n := range 20 {
		advance(100 * time.Millisecond)
		signoffs = append(signoffs, s.sendAsync(n%2, "POST", signoffsPath, "{}", "Idempotency-Key", strconv.Itoa(n)))
	}
	for n, out := range running {
		want, _, err := engine.Completion([]byte(streamBody(n)))
		require.NoError(s.t, err)
		require.Equal(s.t, want, (<-out).streamedText(s.t))
	}
	complete := 0
	for _, out := range signoffs {
		a := <-out
		require.Contains(s.t, []string{"complete", "not_run"}, a.header.Get("Egretreach-Outcome"), a.body)
		if a.header.Get("Egretreach-Outcome") == "complete" {
			complete++
		}
	}
	require.Equal(s.t, complete, s.signoffRuns())
}

// streamBody returns the body of the n-th stream, of 100 tokens.
func streamBody(n int) string {
	body := strings.Replace(streamingChatBody, `"max_tokens":64`, `"max_tokens":100,"ignore_eos":true`, 1)
	return strings.Replace(body, "Camping", "Camping "+strconv.Itoa(n), 1)
}
