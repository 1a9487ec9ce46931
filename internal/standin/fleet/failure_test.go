package fleet

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/standin/engine"
	"github.com/egretreach/egretreach/internal/standin/service"
)

const signoffsPath = "/services/records/signoffs"

var streamingChatBody = strings.Replace(chatBody, "{", `{"stream":true,`, 1)

// sendAsync sends a request in the background and returns the channel of its response.
func (s *fixture) sendAsync(entry int, method, path, body string, header ...string) <-chan response {
	out := make(chan response, 1)
	go func() { out <- s.send(entry, method, path, body, header...) }()
	return out
}

// isolate cuts the links between a host and all others, in both directions. No host is notified.
func (s *fixture) isolate(id host.ID) {
	for _, ip := range s.sockets.IPs() {
		s.sockets.Network.Cut(s.sockets.IP(id), ip)
		s.sockets.Network.Cut(ip, s.sockets.IP(id))
	}
}

// busyHead returns the head of a replica that runs a generation.
func (s *fixture) busyHead() host.ID {
	for _, r := range s.replicas() {
		if a := s.Agent(r.Head()); a.Engine.Running() > 0 {
			return r.Head()
		}
	}
	s.t.Fatal("no engine runs anything")
	return ""
}

func (s *fixture) replicas() []replica.Replica {
	status, err := s.Status(s.ctx)
	require.NoError(s.t, err)
	return status.Replicas
}

// streamedText joins the tokens of a stream. It fails the test unless the stream is complete.
func (a response) streamedText(t *testing.T) string {
	t.Helper()
	require.True(t, strings.HasSuffix(a.body, "data: [DONE]\n\n"), a.body)
	var text strings.Builder
	for line := range strings.SplitSeq(a.body, "\n") {
		_, rest, ok := strings.Cut(line, `"content":"`)
		if piece, _, closed := strings.Cut(rest, `"`); ok && closed {
			text.WriteString(piece)
		}
	}
	return text.String()
}

// TestStreamSurvivesTheLossOfItsReplica causes each loss in the middle of a stream. The caller
// must get every token exactly once.
func TestStreamSurvivesTheLossOfItsReplica(t *testing.T) {
	failures := map[string]func(s *fixture, head host.ID){
		"engine hangs":   func(s *fixture, head host.ID) { s.Agent(head).Engine.Hang() },
		"engine crashes": func(s *fixture, head host.ID) { s.Agent(head).Engine.Crash() },
		"agent killed":   func(s *fixture, head host.ID) { s.Agent(head).Kill() },
		"host isolated":  func(s *fixture, head host.ID) { s.isolate(head) },
		"one-way cut to the entry": func(s *fixture, head host.ID) {
			s.sockets.Network.Cut(s.sockets.IP(head), s.sockets.IP("entry-1"))
		},
		"one-way cut from the entry": func(s *fixture, head host.ID) {
			s.sockets.Network.Cut(s.sockets.IP("entry-1"), s.sockets.IP(head))
		},
		"member isolated": func(s *fixture, head host.ID) {
			for _, r := range s.replicas() {
				if r.Head() == head {
					s.isolate(r.Hosts[1])
				}
			}
		},
		"open connections go silent": func(s *fixture, _ host.ID) { s.sockets.Network.DropFlows() },
		"control leader isolated":    func(s *fixture, _ host.ID) { s.isolate(s.leader()) },
	}
	for name, inject := range failures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runFleet(t, func(s *fixture) {
				out := s.sendAsync(0, "POST", "/v1/chat/completions", streamingChatBody)
				advance(500 * time.Millisecond)
				inject(s, s.busyHead())
				a := <-out
				want, _, err := engine.Completion([]byte(chatBody))
				require.NoError(t, err)
				require.Equal(t, want, a.streamedText(t))
				require.Equal(t, "complete", a.trailer.Get("Egretreach-Outcome"))
			})
		})
	}
}

// TestSignoffRunsOnceWhateverFails causes a failure while a sign-off runs, and then sends the
// sign-off again through the other entry.
func TestSignoffRunsOnceWhateverFails(t *testing.T) {
	cases := map[string]struct {
		failure       service.Failure
		inject        func(s *fixture, busy host.ID)
		first, resend string
		runs          int
	}{
		"nothing":            {service.FailureHang, func(*fixture, host.ID) {}, "complete", "complete", 1},
		"entry killed":       {service.FailureHang, func(s *fixture, _ host.ID) { s.Entry(0).Kill() }, "", "complete", 1},
		"entry isolated":     {service.FailureHang, func(s *fixture, _ host.ID) { s.isolate("entry-1") }, "", "complete", 1},
		"agent killed":       {service.FailureHang, func(s *fixture, busy host.ID) { s.Agent(busy).Kill() }, "unknown", "unknown", 1},
		"link cut":           {service.FailureHang, func(s *fixture, busy host.ID) { s.cutLink("entry-1", busy) }, "unknown", "complete", 1},
		"links silent":       {service.FailureHang, func(s *fixture, _ host.ID) { s.sockets.Network.DropFlows() }, "complete", "complete", 1},
		"dropped after run":  {service.FailureDropAfter, func(*fixture, host.ID) {}, "unknown", "unknown", 1},
		"invalid status":     {service.FailureInvalidStatus, func(*fixture, host.ID) {}, "unknown", "unknown", 1},
		"dropped before run": {service.FailureDropBefore, func(*fixture, host.ID) {}, "unknown", "unknown", 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runFleet(t, func(s *fixture) {
				for _, id := range []host.ID{"records-1", "records-2"} {
					s.Agent(id).Service.SetFailure(c.failure)
				}
				out := s.sendAsync(0, "POST", signoffsPath, `{"badge":"camping"}`, "Idempotency-Key", "k1")
				advance(time.Second)
				busy := host.ID("records-1")
				if s.Agent("records-2").Service.Counts().Total > 0 {
					busy = "records-2"
				}
				c.inject(s, busy)
				advance(time.Second)
				for _, id := range []host.ID{"records-1", "records-2"} {
					s.Agent(id).Service.ReleaseHanging()
				}
				first := <-out
				if c.first != "" {
					require.Equal(t, c.first, first.header.Get("Egretreach-Outcome"), first.body)
				}
				again := s.send(1, "POST", signoffsPath, `{"badge":"camping"}`, "Idempotency-Key", "k1")
				require.Equal(t, c.resend, again.header.Get("Egretreach-Outcome"), again.body)
				require.Equal(t, c.runs, s.signoffRuns())
			})
		})
	}
}

// cutLink cuts the link between two hosts in both directions.
func (s *fixture) cutLink(a, b host.ID) {
	s.sockets.Network.Cut(s.sockets.IP(a), s.sockets.IP(b))
	s.sockets.Network.Cut(s.sockets.IP(b), s.sockets.IP(a))
}

// leader returns the control host that leads.
func (s *fixture) leader() host.ID {
	status, err := s.Status(s.ctx)
	require.NoError(s.t, err)
	for _, c := range status.Control {
		if c.State == "leader" {
			return c.Host
		}
	}
	s.t.Fatal("no control host leads")
	return ""
}

// TestLossOfTheLeaderRefusesNothing sends requests every 100 ms after the loss of the leading
// control host. None may be refused, which requires that leases outlast the election.
func TestLossOfTheLeaderRefusesNothing(t *testing.T) {
	losses := map[string]func(s *fixture, leader host.ID){
		"isolated": func(s *fixture, leader host.ID) { s.isolate(leader) },
		"killed": func(s *fixture, leader host.ID) {
			for i := range 3 {
				if s.Control(i).Host == leader {
					s.Control(i).Kill()
				}
			}
		},
	}
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runFleet(t, func(s *fixture) {
				lose(s, s.leader())
				var out []<-chan response
				for i := range 60 {
					advance(100 * time.Millisecond)
					out = append(out, s.sendAsync(i%2, "POST", "/v1/chat/completions", chatBody))
					out = append(out, s.sendAsync(i%2, "POST", signoffsPath, "{}", "Idempotency-Key", strconv.Itoa(i)))
				}
				for _, pending := range out {
					a := <-pending
					require.Equal(t, "complete", a.header.Get("Egretreach-Outcome"), a.body)
				}
				require.Equal(t, 60, s.signoffRuns())
			})
		})
	}
}

// TestWithoutQuorumNewWorkIsRefused checks that without a quorum of control hosts sign-offs are
// refused at once, and all other requests once the lease has lapsed, each with the outcome
// not_run.
func TestWithoutQuorumNewWorkIsRefused(t *testing.T) {
	runFleet(t, func(s *fixture) {
		s.isolate("control-1")
		s.isolate("control-2")
		a := s.send(0, "POST", signoffsPath, `{}`, "Idempotency-Key", "k1", "Egretreach-Timeout", "10s")
		require.Equal(t, "not_run", a.header.Get("Egretreach-Outcome"), a.body)
		advance(5 * time.Second)
		a = s.send(0, "POST", "/v1/chat/completions", chatBody)
		require.Equal(t, http.StatusServiceUnavailable, a.status)
		require.Equal(t, "not_run", a.header.Get("Egretreach-Outcome"))
		require.NotEmpty(t, a.header.Get("Retry-After"))
		require.Zero(t, s.signoffRuns())
	})
}

// TestStoppingEntryFinishesItsResponses stops an entry during a stream. The stream must end
// complete, and the entry must refuse later requests.
func TestStoppingEntryFinishesItsResponses(t *testing.T) {
	runFleet(t, func(s *fixture) {
		long := strings.Replace(streamingChatBody, `"max_tokens":64`, `"max_tokens":300,"ignore_eos":true`, 1)
		out := s.sendAsync(0, "POST", "/v1/chat/completions", long)
		advance(500 * time.Millisecond)
		s.Entry(0).Shutdown(s.ctx)
		s.Entry(0).Kill()
		a := <-out
		want, _, err := engine.Completion([]byte(long))
		require.NoError(t, err)
		require.Equal(t, want, a.streamedText(t))
		require.Error(t, s.Entry(0).Ready())
		late := s.send(0, "POST", "/v1/chat/completions", chatBody)
		require.Equal(t, "not_run", late.header.Get("Egretreach-Outcome"))
	})
}

// TestCallerGoneCancelsItsGeneration checks that the engine ends a generation within 1 s after
// its caller has disconnected.
func TestCallerGoneCancelsItsGeneration(t *testing.T) {
	runFleet(t, func(s *fixture) {
		ctx, disconnect := context.WithCancel(s.ctx)
		body := strings.Replace(streamingChatBody, `"max_tokens":64`, `"max_tokens":4000,"ignore_eos":true`, 1)
		r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body)).WithContext(ctx)
		r.Header.Set("Authorization", "Bearer dev-token-cascadia")
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.Entry(0).Handler().ServeHTTP(httptest.NewRecorder(), r)
		}()
		advance(500 * time.Millisecond)
		head := s.busyHead()
		disconnect()
		<-done
		took := s.waitFor(2*time.Second, func() bool { return s.Agent(head).Engine.Running() == 0 })
		require.Less(t, took, time.Second)
	})
}
