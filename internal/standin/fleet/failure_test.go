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

const signoffs = "/services/records/signoffs"

var streamed = strings.Replace(question, "{", `{"stream":true,`, 1)

// later sends a request and returns where its answer will be.
func (s *scene) later(entry int, method, path, body string, header ...string) <-chan answer {
	out := make(chan answer, 1)
	go func() { out <- s.send(entry, method, path, body, header...) }()
	return out
}

// isolate cuts a host off from all others, in both directions, without a word.
func (s *scene) isolate(id host.ID) {
	for _, ip := range s.memory.IPs() {
		s.memory.Network.Cut(s.memory.IP(id), ip)
		s.memory.Network.Cut(ip, s.memory.IP(id))
	}
}

// busyHead returns the head of the replica that runs a generation.
func (s *scene) busyHead() host.ID {
	for _, r := range s.replicas() {
		if a := s.Agent(r.Head()); a.Engine.Running() > 0 {
			return r.Head()
		}
	}
	s.t.Fatal("no engine runs anything")
	return ""
}

func (s *scene) replicas() []replica.Replica {
	status, err := s.Status(s.ctx)
	require.NoError(s.t, err)
	return status.Replicas
}

// text joins the tokens of a stream, and fails unless it ends whole.
func (a answer) text(t *testing.T) string {
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

// TestStreamSurvivesTheLossOfItsReplica brings each loss about in the middle of a
// stream; the caller gets every token once.
func TestStreamSurvivesTheLossOfItsReplica(t *testing.T) {
	losses := map[string]func(s *scene, head host.ID){
		"engine hangs":    func(s *scene, head host.ID) { s.Agent(head).Engine.Hang() },
		"engine crashes":  func(s *scene, head host.ID) { s.Agent(head).Engine.Crash() },
		"agent killed":    func(s *scene, head host.ID) { s.Agent(head).Kill() },
		"host falls dark": func(s *scene, head host.ID) { s.isolate(head) },
		"one-way cut to the entry": func(s *scene, head host.ID) {
			s.memory.Network.Cut(s.memory.IP(head), s.memory.IP("entry-1"))
		},
		"one-way cut from the entry": func(s *scene, head host.ID) {
			s.memory.Network.Cut(s.memory.IP("entry-1"), s.memory.IP(head))
		},
		"member falls dark": func(s *scene, head host.ID) {
			for _, r := range s.replicas() {
				if r.Head() == head {
					s.isolate(r.Hosts[1])
				}
			}
		},
		"open connections go silent": func(s *scene, _ host.ID) { s.memory.Network.DropFlows() },
		"control falls dark":         func(s *scene, _ host.ID) { s.isolate(s.leader()) },
	}
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			inFleet(t, func(s *scene) {
				out := s.later(0, "POST", "/v1/chat/completions", streamed)
				pass(500 * time.Millisecond)
				lose(s, s.busyHead())
				a := <-out
				want, _, err := engine.Completion([]byte(question))
				require.NoError(t, err)
				require.Equal(t, want, a.text(t))
				require.Equal(t, "complete", a.trailer.Get("Egretreach-Outcome"))
			})
		})
	}
}

// TestSignoffRunsOnceWhateverFails brings a failure about while a sign-off runs, and
// then sends it again through the other entry.
func TestSignoffRunsOnceWhateverFails(t *testing.T) {
	cases := map[string]struct {
		mode          service.Failure
		fail          func(s *scene, busy host.ID)
		first, resend string
		runs          int
	}{
		"nothing":            {service.FailureHang, func(*scene, host.ID) {}, "complete", "complete", 1},
		"entry killed":       {service.FailureHang, func(s *scene, _ host.ID) { s.Entry(0).Kill() }, "", "complete", 1},
		"entry dark":         {service.FailureHang, func(s *scene, _ host.ID) { s.isolate("entry-1") }, "", "complete", 1},
		"agent killed":       {service.FailureHang, func(s *scene, busy host.ID) { s.Agent(busy).Kill() }, "unknown", "unknown", 1},
		"link cut":           {service.FailureHang, func(s *scene, busy host.ID) { s.cut("entry-1", busy) }, "unknown", "complete", 1},
		"links silent":       {service.FailureHang, func(s *scene, _ host.ID) { s.memory.Network.DropFlows() }, "complete", "complete", 1},
		"dropped after run":  {service.FailureDropAfter, func(*scene, host.ID) {}, "unknown", "unknown", 1},
		"dropped before run": {service.FailureDropBefore, func(*scene, host.ID) {}, "unknown", "unknown", 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			inFleet(t, func(s *scene) {
				for _, id := range []host.ID{"records-1", "records-2"} {
					s.Agent(id).Service.SetFailure(c.mode)
				}
				out := s.later(0, "POST", signoffs, `{"badge":"camping"}`, "Idempotency-Key", "k1")
				pass(time.Second)
				busy := host.ID("records-1")
				if s.Agent("records-2").Service.Counts().Total > 0 {
					busy = "records-2"
				}
				c.fail(s, busy)
				pass(time.Second)
				for _, id := range []host.ID{"records-1", "records-2"} {
					s.Agent(id).Service.ReleaseHanging()
				}
				first := <-out
				if c.first != "" {
					require.Equal(t, c.first, first.header.Get("Egretreach-Outcome"), first.body)
				}
				again := s.send(1, "POST", signoffs, `{"badge":"camping"}`, "Idempotency-Key", "k1")
				require.Equal(t, c.resend, again.header.Get("Egretreach-Outcome"), again.body)
				require.Equal(t, c.runs, s.signoffs())
			})
		})
	}
}

func (s *scene) cut(a, b host.ID) {
	s.memory.Network.Cut(s.memory.IP(a), s.memory.IP(b))
	s.memory.Network.Cut(s.memory.IP(b), s.memory.IP(a))
}

// leader returns the leading control host.
func (s *scene) leader() host.ID {
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

// TestLossOfTheLeaderRefusesNothing sends requests every 100 ms while the leading
// control host is lost, and leases must outlast the election.
func TestLossOfTheLeaderRefusesNothing(t *testing.T) {
	losses := map[string]func(s *scene, leader host.ID){
		"dark": func(s *scene, leader host.ID) { s.isolate(leader) },
		"killed": func(s *scene, leader host.ID) {
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
			inFleet(t, func(s *scene) {
				lose(s, s.leader())
				var out []<-chan answer
				for i := range 60 {
					pass(100 * time.Millisecond)
					out = append(out, s.later(i%2, "POST", "/v1/chat/completions", question))
					out = append(out, s.later(i%2, "POST", signoffs, "{}", "Idempotency-Key", strconv.Itoa(i)))
				}
				for _, answered := range out {
					a := <-answered
					require.Equal(t, "complete", a.header.Get("Egretreach-Outcome"), a.body)
				}
				require.Equal(t, 60, s.signoffs())
			})
		})
	}
}

// TestWithoutQuorumNothingNewIsTaken: sign-offs are refused at once, and everything
// else once the lease has lapsed, all as not run.
func TestWithoutQuorumNothingNewIsTaken(t *testing.T) {
	inFleet(t, func(s *scene) {
		s.isolate("control-1")
		s.isolate("control-2")
		a := s.send(0, "POST", signoffs, `{}`, "Idempotency-Key", "k1", "Egretreach-Timeout", "10s")
		require.Equal(t, "not_run", a.header.Get("Egretreach-Outcome"), a.body)
		pass(5 * time.Second)
		a = s.send(0, "POST", "/v1/chat/completions", question)
		require.Equal(t, http.StatusServiceUnavailable, a.status)
		require.Equal(t, "not_run", a.header.Get("Egretreach-Outcome"))
		require.NotEmpty(t, a.header.Get("Retry-After"))
		require.Zero(t, s.signoffs())
	})
}

// TestEntryStopsWithoutCuttingAnything stops an entry while it streams.
func TestEntryStopsWithoutCuttingAnything(t *testing.T) {
	inFleet(t, func(s *scene) {
		long := strings.Replace(streamed, `"max_tokens":64`, `"max_tokens":300,"ignore_eos":true`, 1)
		out := s.later(0, "POST", "/v1/chat/completions", long)
		pass(500 * time.Millisecond)
		s.Entry(0).Shutdown(s.ctx)
		s.Entry(0).Kill()
		a := <-out
		want, _, err := engine.Completion([]byte(long))
		require.NoError(t, err)
		require.Equal(t, want, a.text(t))
		require.Error(t, s.Entry(0).Ready())
		late := s.send(0, "POST", "/v1/chat/completions", question)
		require.Equal(t, "not_run", late.header.Get("Egretreach-Outcome"))
	})
}

// TestCallerGoneCancelsItsGeneration: the engine stops soon after the caller left.
func TestCallerGoneCancelsItsGeneration(t *testing.T) {
	inFleet(t, func(s *scene) {
		ctx, leave := context.WithCancel(s.ctx)
		body := strings.Replace(streamed, `"max_tokens":64`, `"max_tokens":4000,"ignore_eos":true`, 1)
		r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body)).WithContext(ctx)
		r.Header.Set("Authorization", "Bearer dev-token-cascadia")
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.Entry(0).Handler().ServeHTTP(httptest.NewRecorder(), r)
		}()
		pass(500 * time.Millisecond)
		head := s.busyHead()
		leave()
		<-done
		took := s.await(2*time.Second, func() bool { return s.Agent(head).Engine.Running() == 0 })
		require.Less(t, took, time.Second)
	})
}
