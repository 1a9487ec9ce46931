package fleet

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/standin/engine"
)

// evacuationBound is the lease: a daemon that does not know of an evacuation serves no longer.
const evacuationBound = 4 * time.Second

// runTwoDomains runs a test on a fleet with hosts 1 and 2 and one endpoint of the records service in failure domain a, and
// hosts 3 and 4 and the other endpoint in b. Each domain has one replica and no spare.
func runTwoDomains(t *testing.T, test func(s *fixture)) {
	t.Helper()
	runChangedFleet(t, 4, defaultReplicas, func(opts *Options) {
		for i := 2; i < 4; i++ {
			opts.Engines[i].FailureDomain, opts.Engines[i].FabricDomain = "b", "rack-2"
		}
	}, test)
}

// evacuate begins or withdraws an evacuation and returns when it is acknowledged.
func (s *fixture) evacuate(d domain.Failure, undo bool) {
	s.t.Helper()
	answer, err := s.Call(s.ctx, &message.Evacuate{Domain: d, Undo: undo})
	require.NoError(s.t, err)
	require.IsType(s.t, &message.Ack{}, answer)
}

// startedIn returns how many requests the endpoints of failure domain a or b have got.
func (s *fixture) startedIn(d domain.Failure) int {
	started := 0
	for _, spec := range s.opts.Engines {
		if spec.FailureDomain == d {
			started += s.Agent(spec.ID).Engine.GenerationsStarted()
		}
	}
	for _, spec := range s.opts.Services {
		if spec.FailureDomain == d {
			started += s.Agent(spec.ID).Service.Counts().Total
		}
	}
	return started
}

// bodyOf returns a body of a generation that differs from those of other keys, so that it may go to another replica.
func bodyOf(body, key string) string { return strings.Replace(body, "Camping", key, 1) }

// sendBoth sends a generation and a sign-off to each entry, and returns their responses.
func (s *fixture) sendBoth(key string) []response {
	var out []<-chan response
	for entry := range 2 {
		out = append(out,
			s.sendAsync(entry, "POST", "/v1/chat/completions", bodyOf(chatBody, key)),
			s.sendAsync(entry, "POST", signoffsPath, "{}", "Idempotency-Key", key+strconv.Itoa(entry)))
	}
	var all []response
	for _, pending := range out {
		all = append(all, <-pending)
	}
	return all
}

// TestEvacuationOutlastsTheLossOfTheLeader evacuates a failure domain while streams run in it, and isolates the leader as soon as
// it has acknowledged that. It guards against an evacuation that the next leader does not know, against streams that it cuts, and
// against requests to the domain before the withdrawal or none after it.
func TestEvacuationOutlastsTheLossOfTheLeader(t *testing.T) {
	runTwoDomains(t, func(s *fixture) {
		var streams []<-chan response
		for i := range 8 {
			body := bodyOf(streamingChatBody, strconv.Itoa(i))
			streams = append(streams, s.sendAsync(i%2, "POST", "/v1/chat/completions", body))
		}
		advance(300 * time.Millisecond)
		require.Positive(t, s.Agent("host-1").Engine.Running()+s.Agent("host-2").Engine.Running())
		leader := s.leader()
		s.evacuate("a", false)
		s.isolate(leader)
		for i, stream := range streams {
			want, _, err := engine.Completion([]byte(bodyOf(chatBody, strconv.Itoa(i))))
			require.NoError(t, err)
			require.Equal(t, want, (<-stream).streamedText(t))
		}
		require.Zero(t, s.generationsResumed(), "the evacuation cut streams")
		advance(evacuationBound)
		before := s.startedIn("a")
		for i := range 100 {
			for _, a := range s.sendBoth("evacuated" + strconv.Itoa(i)) {
				require.Equal(t, "complete", a.header.Get("Egretreach-Outcome"), a.body)
			}
		}
		require.Equal(t, before, s.startedIn("a"))
		s.waitFor(10*time.Second, func() bool {
			status, err := s.Status(s.ctx)
			return err == nil && len(status.Evacuated) == 1 && status.Deployments[0].Serving == 1
		})
		s.evacuate("a", true)
		s.waitFor(10*time.Second, s.allServing)
		for i := range 40 {
			s.sendBoth("withdrawn" + strconv.Itoa(i))
		}
		require.Greater(t, s.startedIn("a"), before, "the domain is not used again")
	})
}

// TestLostLinksToControlEndWithTheEvacuation cuts daemons off from control before an evacuation. They cannot learn of it, but
// reach each other. It guards against requests to the domain later than one lease after the acknowledgement.
func TestLostLinksToControlEndWithTheEvacuation(t *testing.T) {
	inDomain := []host.ID{"host-1", "host-2", "records-1"}
	for name, cutOff := range map[string][]host.ID{
		"entries": {"entry-1", "entry-2"},
		"agents":  inDomain,
		"all":     append([]host.ID{"entry-1", "entry-2"}, inDomain...),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runTwoDomains(t, func(s *fixture) {
				for _, id := range cutOff {
					for _, control := range []host.ID{"control-1", "control-2", "control-3"} {
						s.cutLink(id, control)
					}
				}
				s.evacuate("a", false)
				atFirst := s.startedIn("a")
				send := func(d time.Duration) {
					for i := 0; time.Duration(i)*50*time.Millisecond < d; i++ {
						s.sendAsync(i%2, "POST", "/v1/chat/completions", bodyOf(chatBody, strconv.Itoa(i)))
						advance(50 * time.Millisecond)
					}
				}
				send(evacuationBound)
				before := s.startedIn("a")
				send(5 * time.Second)
				after := s.startedIn("a")
				advance(2 * time.Minute) // The deadline of all requests. A failure must not leave any in flight.
				require.Equal(t, before, after)
				if name != "agents" {
					require.Greater(t, before, atFirst, "the test needs requests that reach the domain")
				}
			})
		})
	}
}

// TestLossOfAllDomainsRefusesAtOnce evacuates all domains. It guards against requests that wait although no endpoint may get them,
// and against a refusal without its reason.
func TestLossOfAllDomainsRefusesAtOnce(t *testing.T) {
	runTwoDomains(t, func(s *fixture) {
		s.evacuate("a", false)
		s.evacuate("b", false)
		advance(time.Second)
		start := time.Now()
		for _, a := range s.sendBoth("key") {
			require.Equal(t, http.StatusServiceUnavailable, a.status, a.body)
			require.Equal(t, "not_run", a.header.Get("Egretreach-Outcome"))
			require.Contains(t, a.body, "no_allowed_endpoint")
			require.Contains(t, a.body, "evacuated failure domains")
			require.NotEmpty(t, a.header.Get("Retry-After"))
		}
		require.Less(t, time.Since(start), 100*time.Millisecond)
		s.evacuate("b", true)
		advance(time.Second)
		for _, a := range s.sendBoth("key") {
			require.Equal(t, "complete", a.header.Get("Egretreach-Outcome"), a.body)
		}
	})
}
